/// \file
/// \brief Understands callers' requests: service, team, repeatability and deadline.
/// \details Decides what a request is and refuses what it cannot be sure of; a refused request was
/// not run. Does no input or output.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/server_exchange.hpp>
#include <cardamombay/traffic/parsed_request.hpp>
#include <cardamombay/traffic/problem.hpp>

#include <variant>

namespace cardamombay::traffic {

/// \brief A request, or why it is refused.
using ParseResult = std::variant<ParsedRequest, Problem>;

/// \brief Understands \p request.
/// \param request what arrived; its body is moved into the result.
/// \param id identifier that the request gets.
/// \param configuration the configuration in force.
/// \param now the present instant, for the deadline.
[[nodiscard]] ParseResult parseRequest(net::ServerRequest request, RequestId id,
                                       const config::Configuration &configuration, TimePoint now);

} // namespace cardamombay::traffic
