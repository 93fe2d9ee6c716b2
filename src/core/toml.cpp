#include "core/toml.hpp"

namespace cardamombay::impl {

namespace {

/// True if parsing \p text runs into a check of the parser.
bool failsCheck(std::string_view text)
{
    try {
        (void)toml::parse(text);
    } catch (const TomlCheckFailure &) {
        return true;
    } catch (const toml::parse_error &) {
        return false;
    }
    return false;
}

/// The line whose parsing fails; the check itself does not tell.
std::uint32_t failingLine(std::string_view text)
{
    std::uint32_t line = 1;
    for (auto end = text.find('\n'); end != std::string_view::npos;
         end = text.find('\n', end + 1)) {
        if (failsCheck(text.substr(0, end + 1)))
            break;
        ++line;
    }
    return line;
}

} // namespace

void failTomlCheck(const char *check)
{
    throw TomlCheckFailure(check);
}

toml::table parseToml(std::string_view text, std::string_view file)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        throw TomlFault{{std::string(file), begin.line, begin.column},
                        std::string(error.description())};
    } catch (const TomlCheckFailure &) {
        throw TomlFault{{std::string(file), failingLine(text), 0}, "the syntax is not TOML"};
    }
}

} // namespace cardamombay::impl
