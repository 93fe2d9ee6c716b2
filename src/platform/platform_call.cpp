#include "platform/platform_call.hpp"

#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_status.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cardamombay::platform::impl {

namespace {

constexpr std::int64_t defaultRetryAfterSeconds = 1;
constexpr std::int64_t longestRetryAfterSeconds = 60;

Duration retryAfter(const net::HttpResponse &response)
{
    const std::string text = response.field("Retry-After");
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (text.empty() || !isWhole)
        seconds = defaultRetryAfterSeconds;
    return std::chrono::seconds(std::clamp(seconds, std::int64_t{0}, longestRetryAfterSeconds));
}

std::string statusText(const net::HttpResponse &response)
{
    return "status " + std::to_string(response.status_);
}

} // namespace

net::HttpRequest makeRequest(const HttpEndpoint &endpoint, const Call &call,
                             std::string_view method, std::string_view target, std::string body)
{
    net::HttpRequest request;
    request.address_ = endpoint.address_;
    request.method_ = method;
    request.target_ = target;
    request.fields_ = {{std::string(net::requestIdField), call.requestId_}};
    if (!body.empty())
        request.fields_.push_back({"Content-Type", "application/json"});
    request.body_ = std::move(body);
    request.timeout_ = endpoint.timeout_;
    return request;
}

Error unreadable(const Call &call, std::string detail)
{
    if (call.kind_ == CallKind::Read)
        return StoreUnavailable{call.operation_, std::move(detail)};
    return StoreAnswerLost{call.operation_, std::move(detail)};
}

std::optional<Error> commonError(const Call &call, const net::HttpResult &result)
{
    if (const auto *failure = std::get_if<net::HttpFailure>(&result)) {
        if (!failure->mayHaveLeft_)
            return StoreUnavailable{call.operation_, failure->detail_};
        return unreadable(call, failure->detail_);
    }
    const auto &response = std::get<net::HttpResponse>(result);
    // Without the echo, an answer that an earlier call left behind could pass for this one's.
    if (response.field(net::requestIdField) != call.requestId_)
        return unreadable(call, "the answer does not echo the request id");
    switch (response.status_) {
    case net::statusOk:
    case net::statusNotFound:
    case net::statusConflict:
        return std::nullopt;
    case net::statusThrottled:
        return StoreThrottled{call.operation_, retryAfter(response)};
    case net::statusUnavailable:
        return StoreUnavailable{call.operation_, statusText(response)};
    default:
        break;
    }
    constexpr std::uint32_t firstRefusal = 400;
    const bool isRefusal
        = response.status_ >= firstRefusal && response.status_ < net::statusServerError;
    if (isRefusal)
        return StoreUnavailable{call.operation_, statusText(response)};
    return unreadable(call, statusText(response));
}

} // namespace cardamombay::platform::impl
