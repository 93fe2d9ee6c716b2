/// \file
/// \brief Fleet configurations shared by the watching tests.
#pragma once

#include "support/fake_watch_fleet.hpp"

#include <cstddef>

namespace fixture {

inline constexpr std::size_t vmCount = 54;

inline cardamombay::support::FleetShape shape(std::size_t nodes, std::size_t zones = 3,
                                              std::size_t regions = 1)
{
    return {nodes, zones, regions, SOURCE_FOLDER "/charts"};
}

} // namespace fixture
