/// \file
/// \brief Finds the team that a request belongs to.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/net/server_exchange.hpp>
#include <cardamombay/traffic/problem.hpp>

#include <variant>

namespace cardamombay::traffic::impl {

/// \brief The team by bearer token or, for a team without declared tokens, by the X-Team field.
[[nodiscard]] std::variant<TeamName, Problem> findTeam(const net::ServerRequest &request,
                                                       const config::Configuration &configuration);

} // namespace cardamombay::traffic::impl
