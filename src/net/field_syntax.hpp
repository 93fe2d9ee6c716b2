/// \file
/// \brief Syntax of names and values of HTTP fields (RFC 9110, 5).
#pragma once

#include <string_view>

namespace cardamombay::net::impl {

/// \brief True for a name of a field: at least one character, and only those of a token.
[[nodiscard]] bool isToken(std::string_view text);

/// \brief True if \p text has a control character other than a tab.
[[nodiscard]] bool hasControlCharacter(std::string_view text);

} // namespace cardamombay::net::impl
