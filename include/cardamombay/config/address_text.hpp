/// \file
/// \brief Addresses as operators write them: "10.1.0.11:8080".
#pragma once

#include <cardamombay/core/address.hpp>

#include <optional>
#include <string_view>

namespace cardamombay::config {

/// \brief Reads an IPv4 number with a port from 1 to 65535; names are not resolved.
/// \returns the address, or nothing if \p text is not of that form.
[[nodiscard]] std::optional<Address> addressOf(std::string_view text);

} // namespace cardamombay::config
