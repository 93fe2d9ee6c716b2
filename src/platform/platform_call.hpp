/// \file
/// \brief What the calls to the platform have in common: the request and the reading of failures.
#pragma once

#include <cardamombay/core/error.hpp>
#include <cardamombay/net/http_client.hpp>
#include <cardamombay/platform/http_endpoint.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::platform::impl {

/// \brief Whether a call changes anything; decides what a lost answer means.
enum class CallKind { Read, Write };

/// \brief Name of a call for errors, and the id its answer must echo.
struct Call
{
    std::string operation_;
    std::string requestId_;
    CallKind kind_ = CallKind::Read;
};

/// \brief A request with the fields that every call carries.
[[nodiscard]] net::HttpRequest makeRequest(const HttpEndpoint &endpoint, const Call &call,
                                           std::string_view method, std::string_view target,
                                           std::string body = {});

/// \brief The answer whose effect cannot be told: lost for a write, unavailable for a read.
[[nodiscard]] Error unreadable(const Call &call, std::string detail);

/// \brief The error that \p result stands for whatever the call was; nothing for an answer that
/// the caller has to read, which are the statuses 200, 404 and 409.
[[nodiscard]] std::optional<Error> commonError(const Call &call, const net::HttpResult &result);

} // namespace cardamombay::platform::impl
