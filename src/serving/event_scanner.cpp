#include <cardamombay/serving/event_scanner.hpp>

#include <charconv>

namespace cardamombay::serving {

namespace {

constexpr std::string_view idField = "id:";

std::string_view withoutCarriageReturn(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

std::optional<std::uint64_t> parseId(std::string_view line)
{
    if (!line.starts_with(idField))
        return std::nullopt;
    line.remove_prefix(idField.size());
    while (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto *end = line.data() + line.size();
    const auto read = std::from_chars(line.data(), end, id);
    if (read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return id;
}

} // namespace

CompleteEvents scanCompleteEvents(std::string_view text)
{
    CompleteEvents result;
    std::optional<std::uint64_t> id;
    std::size_t lineStart = 0;
    while (true) {
        const auto lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos)
            return result;
        const auto line = withoutCarriageReturn(text.substr(lineStart, lineEnd - lineStart));
        lineStart = lineEnd + 1;
        if (!line.empty()) {
            if (const auto found = parseId(line))
                id = found;
            continue;
        }
        result.size_ = lineStart;
        ++result.count_;
        if (id)
            result.lastId_ = id;
    }
}

} // namespace cardamombay::serving
