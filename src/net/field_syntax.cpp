#include "net/field_syntax.hpp"

#include <algorithm>

namespace cardamombay::net::impl {

namespace {

/// Not std::isalnum, which depends on the locale.
bool isTokenCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit
           || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

} // namespace cardamombay::net::impl
