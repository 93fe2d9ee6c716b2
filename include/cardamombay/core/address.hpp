/// \file
/// \brief A TCP address by IP number.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace cardamombay {

/// \brief IP number and port of a listener.
struct Address
{
    std::string ip_;
    std::uint16_t port_ = 0;

    [[nodiscard]] std::string text() const { return ip_ + ":" + std::to_string(port_); }
    friend auto operator<=>(const Address &, const Address &) = default;
    friend std::ostream &operator<<(std::ostream &out, const Address &address)
    {
        return out << address.text();
    }
};

} // namespace cardamombay
