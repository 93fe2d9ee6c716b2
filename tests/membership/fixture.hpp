/// \file
/// \brief Fleet configurations and checks shared by the membership tests.
#pragma once

#include "support/fake_fleet.hpp"

#include <cstddef>
#include <vector>

namespace fixture {

inline cardamombay::support::FleetShape shape(std::size_t nodes, std::size_t zones = 3,
                                              std::size_t regions = 1)
{
    return {nodes, zones, regions, SOURCE_FOLDER "/charts"};
}

inline std::vector<std::size_t> allExcept(const cardamombay::support::Fleet &fleet,
                                          std::size_t left)
{
    std::vector<std::size_t> indexes = fleet.all();
    std::erase(indexes, left);
    return indexes;
}

inline bool isEveryoneAlive(const cardamombay::support::Fleet &fleet)
{
    return fleet.allSee(cardamombay::membership::MemberStatus::Alive, fleet.all(), fleet.all());
}

} // namespace fixture
