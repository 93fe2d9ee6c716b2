/// \file
/// \brief Helpers for tests of group planning.
#pragma once

#include "support/planner_fleet.hpp"

#include <cstdint>

#include <criterion/criterion.h>

namespace fixture {

/// \brief Shape of a fleet with groups of three VMs.
inline cardamombay::support::FleetShape makeShape(std::uint32_t domains, std::uint32_t vmsPerDomain,
                                                  std::uint32_t replicas)
{
    cardamombay::support::FleetShape shape;
    shape.domains_ = domains;
    shape.vmsPerDomain_ = vmsPerDomain;
    shape.services_ = {cardamombay::support::modelService(replicas, 3)};
    shape.chartFolder_ = SOURCE_FOLDER "/charts";
    return shape;
}

/// \brief Advances the clock in small steps and checks after each that no VM is in two groups.
inline void advanceChecked(cardamombay::support::PlannerFleet &fleet, cardamombay::Duration time)
{
    constexpr auto step = std::chrono::milliseconds(250);
    for (; time > cardamombay::Duration::zero(); time -= step) {
        fleet.advance(step);
        cr_assert(fleet.isExclusive(), "a VM is in two groups");
    }
}

/// \brief Advances the clock until \p groups groups serve, and 5 s more.
inline void waitUntilServing(cardamombay::support::PlannerFleet &fleet, std::uint32_t groups)
{
    cr_assert(fleet.advanceUntil([&] { return fleet.servingCount() == groups; },
                                 std::chrono::minutes(3)));
    fleet.advance(std::chrono::seconds(5));
}

} // namespace fixture
