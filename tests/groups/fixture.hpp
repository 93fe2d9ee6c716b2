/// \file
/// \brief Steps that the tests of group planning share.
#pragma once

#include "support/planner_fleet.hpp"

#include <cstdint>

#include <criterion/criterion.h>

namespace fixture {

/// \brief A fleet whose groups have three VMs each.
inline cardamombay::support::FleetShape shapeOf(std::uint32_t domains, std::uint32_t vmsPerDomain,
                                                std::uint32_t replicas)
{
    cardamombay::support::FleetShape shape;
    shape.domains_ = domains;
    shape.vmsPerDomain_ = vmsPerDomain;
    shape.services_ = {cardamombay::support::modelService(replicas, 3)};
    shape.chartFolder_ = SOURCE_FOLDER "/charts";
    return shape;
}

/// \brief Lets \p time pass and checks all the while that no VM is in two groups.
inline void run(cardamombay::support::PlannerFleet &fleet, cardamombay::Duration time)
{
    constexpr auto step = std::chrono::milliseconds(250);
    for (; time > cardamombay::Duration::zero(); time -= step) {
        fleet.advance(step);
        cr_assert(fleet.isExclusive(), "a VM is in two groups");
    }
}

/// \brief Waits until that many groups serve, and a little longer.
inline void serveAll(cardamombay::support::PlannerFleet &fleet, std::uint32_t groups)
{
    cr_assert(fleet.advanceUntil([&] { return fleet.servingCount() == groups; },
                                 std::chrono::minutes(3)));
    fleet.advance(std::chrono::seconds(5));
}

} // namespace fixture
