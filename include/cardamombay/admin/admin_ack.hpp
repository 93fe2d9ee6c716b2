/// \file
/// \brief Answer to POST /admin/drain/... and /admin/undrain/...
/// \details One line for the operator. It decides nothing.
#pragma once

#include <cardamombay/core/result.hpp>

#include <string>
#include <string_view>

namespace cardamombay::admin {

/// \brief What was done.
struct AdminAck
{
    std::string done_; ///< One line.

    friend bool operator==(const AdminAck &, const AdminAck &) = default;
};

/// \brief Writes \p ack as JSON.
[[nodiscard]] std::string encode(const AdminAck &ack);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<AdminAck> decodeAck(std::string_view text);

} // namespace cardamombay::admin
