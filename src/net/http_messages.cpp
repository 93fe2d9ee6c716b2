#include "net/http_messages.hpp"

#include "net/field_syntax.hpp"

#include <cardamombay/net/asio_http_client.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::net::impl {

namespace http = boost::beast::http;

bool isWellFormed(const HttpRequest &request)
{
    const bool hasBadTarget
        = hasControlCharacter(request.target_) || request.target_.find(' ') != std::string::npos;
    const bool hasBadField
        = std::any_of(request.fields_.begin(), request.fields_.end(), [](const HttpField &field) {
              return hasControlCharacter(field.name_) || hasControlCharacter(field.value_);
          });
    return !hasBadTarget && !hasBadField && !hasControlCharacter(request.method_);
}

RequestMessage toMessage(HttpRequest &request)
{
    RequestMessage message;
    message.version(11);
    message.method_string(request.method_);
    message.target(request.target_);
    message.set(http::field::host, request.address_.text());
    for (const auto &field : request.fields_)
        message.set(field.name_, field.value_);
    message.body() = std::move(request.body_);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(ResponseMessage message)
{
    HttpResponse response;
    response.status_ = message.result_int();
    for (const auto &field : message)
        response.fields_.push_back({std::string(field.name_string()), std::string(field.value())});
    response.body_ = std::move(message.body());
    return response;
}

bool isCrossed(const RequestMessage &request, const ResponseMessage &response)
{
    const auto asked = request.find(requestIdField);
    const auto echoed = response.find(requestIdField);
    return asked != request.end() && echoed != response.end() && asked->value() != echoed->value();
}

} // namespace cardamombay::net::impl
