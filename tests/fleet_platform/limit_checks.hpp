/// \file
/// \brief What real gateways send to endpoints that limit the rate of requests.
#pragma once

#include "fleet_platform/crowd.hpp"

#include <algorithm>
#include <cstdio>
#include <map>

#include <criterion/criterion.h>

namespace cardamombay::test {

inline constexpr double limitOfPlain = 3;
inline constexpr double limitOfEngines = 2;

inline std::size_t mostWithin(const std::vector<std::int64_t> &arrivals, std::int64_t window)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// All endpoints name their limits, and count from then on.
inline void limitAll(const Deployment &deployment)
{
    for (const auto *plain : {"p-0", "p-1"})
        deployment.tell(std::string("limit/") + plain, std::to_string(limitOfPlain));
    for (const auto &[id, port] : deployment.report().ports_) {
        if (id.starts_with("e-"))
            deployment.tell("limit/" + id, std::to_string(limitOfEngines));
    }
}

/// What the users' platform allows in four seconds.
inline double allowed(double perSecond)
{
    return 1.5 * 4 * perSecond + 5;
}

/// Arrivals in each second since the limits were announced, for messages of failed tests.
inline void printArrivals(const std::string &endpoint, const std::vector<std::int64_t> &arrivals)
{
    std::map<std::int64_t, std::size_t> bySecond;
    for (const auto at : arrivals)
        ++bySecond[(at - arrivals.front()) / 1000];
    std::printf("%s got %zu:", endpoint.c_str(), arrivals.size());
    for (const auto &[second, count] : bySecond)
        std::printf(" %lld:%zu", static_cast<long long>(second), count);
    std::printf("\n");
}

inline void check(const Deployment &deployment, Duration time)
{
    std::size_t atPlain = 0;
    for (const auto &[id, arrivals] : deployment.report().arrivals_) {
        const bool isPlain = id.starts_with("p-");
        const auto most = mostWithin(arrivals, 4000);
        cr_expect_leq(static_cast<double>(most), allowed(isPlain ? limitOfPlain : limitOfEngines),
                      "%s got %zu", id.c_str(), most);
        atPlain += isPlain ? arrivals.size() : 0;
        if (isPlain)
            printArrivals(id, arrivals);
    }
    const auto share = static_cast<double>(atPlain) / (2 * limitOfPlain * toSeconds(time));
    std::printf("share of the plain endpoints' limits that was used: %.2f\n", share);
    cr_expect_geq(share, 0.6);
}

} // namespace cardamombay::test
