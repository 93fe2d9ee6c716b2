/// \file
/// \brief Requests that reached an endpoint.
#pragma once

#include "fleet_platform/crowd.hpp"

#include <cstdio>

namespace cardamombay::test {

/// What three callers of each gateway may have under way when the first is turned away.
inline constexpr std::size_t underWay = 3 * Deployment::gatewayCount;

inline std::size_t arrivedAt(const Deployment &deployment, const std::string &endpoint)
{
    const auto result = deployment.report().arrivals_.at(endpoint).size();
    std::printf("%s got %zu\n", endpoint.c_str(), result);
    return result;
}

} // namespace cardamombay::test
