#include <cardamombay/config/address_text.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace cardamombay::config {

std::optional<Address> addressOf(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string ip(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [rest, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPort = error == std::errc() && rest == digits.data() + digits.size() && port != 0;
    if (!isPort)
        return std::nullopt;
    return Address{ip, port};
}

} // namespace cardamombay::config
