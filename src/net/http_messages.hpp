/// \file
/// \brief Requests and responses of the HTTP client as messages of Beast, and their checks.
/// \details Decides whether a request may be written at all and whether a response belongs to it:
/// it guards the promise that a caller gets the answer to its own request. It does no I/O.
#pragma once

#include <cardamombay/net/http_client.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cardamombay::net::impl {

using RequestMessage = boost::beast::http::request<boost::beast::http::string_body>;
using ResponseMessage = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief False if the head has characters that would end the line they stand on and so could
/// forge fields or a second request.
[[nodiscard]] bool isWellFormed(const HttpRequest &request);

/// \brief The message to write; takes the body out of \p request.
[[nodiscard]] RequestMessage toMessage(HttpRequest &request);

[[nodiscard]] HttpResponse toResponse(ResponseMessage message);

/// \brief True if the response says that it answers another request.
[[nodiscard]] bool isCrossed(const RequestMessage &request, const ResponseMessage &response);

} // namespace cardamombay::net::impl
