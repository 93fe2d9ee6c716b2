#include "net/upstream_messages.hpp"

#include <cardamombay/net/asio_http_client.hpp>

#include <boost/beast/core/string.hpp>

#include <charconv>

namespace cardamombay::net::impl {

namespace {

bool carriesBody(const UpstreamRequest &request)
{
    return !request.body_.isEmpty() || request.method_ == "POST" || request.method_ == "PUT"
           || request.method_ == "PATCH";
}

} // namespace

std::string headText(const UpstreamRequest &request)
{
    std::string text = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
    for (const auto &field : request.fields_) {
        text += field.name_;
        text += ": ";
        text += field.value_;
        text += "\r\n";
    }
    if (carriesBody(request))
        text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    return text + "\r\n";
}

std::string requestIdOf(const UpstreamRequest &request)
{
    for (const auto &field : request.fields_) {
        if (boost::beast::iequals(field.name_, requestIdField))
            return field.value_;
    }
    return {};
}

std::optional<Duration> idleTimeoutIn(std::string_view keepAlive)
{
    constexpr std::string_view name = "timeout=";
    const auto place = keepAlive.find(name);
    if (place == std::string_view::npos)
        return std::nullopt;
    const auto text = keepAlive.substr(place + name.size());
    std::uint32_t seconds = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (read.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace cardamombay::net::impl
