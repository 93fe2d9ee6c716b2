/// \file
/// \brief Values of HTTP fields that are lists, such as codings (RFC 9110, 5.6.1 and 12.5.3).
#pragma once

#include <cardamombay/net/http_client.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::net::impl {

/// \returns the values of all fields with that name, separated by commas.
[[nodiscard]] std::string valueOf(std::span<const HttpField> fields, std::string_view name);

/// \returns the elements of the comma-separated list in all fields with that name, without blanks
/// around them; they point into \p fields.
[[nodiscard]] std::vector<std::string_view> elementsOf(std::span<const HttpField> fields,
                                                       std::string_view name);

/// \param accepted the value of Accept-Encoding.
/// \param coding a name of a coding; "identity" is always accepted.
[[nodiscard]] bool acceptsCoding(std::string_view accepted, std::string_view coding);

} // namespace cardamombay::net::impl
