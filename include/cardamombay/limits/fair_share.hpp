/// \file
/// \brief Division of capacity: weighted max-min, and whole slots by largest remainder.
/// \details Pure functions of demand and weights, so that all entry VMs with the same digests
/// compute the same shares. They admit nothing themselves.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cardamombay::limits {

/// \brief What one team asks of a capacity.
struct WeightedDemand
{
    double weight_ = 1.0;
    double demand_ = 0;
};

/// \brief Weighted max-min shares: nobody gets more than its demand, and what one leaves is
/// divided between the others by weight.
/// \param capacity what is divided.
/// \param demands one for each team; a weight of zero or less gets nothing while others want it.
/// \returns the share of each team; their sum is the lesser of capacity and demand.
[[nodiscard]] std::vector<double> weightedMaxMin(double capacity,
                                                 std::span<const WeightedDemand> demands);

/// \brief Rounds \p parts to whole slots whose sum is \p total, by largest remainder; among equal
/// remainders the earlier part wins.
[[nodiscard]] std::vector<std::uint32_t> largestRemainder(std::uint32_t total,
                                                          std::span<const double> parts);

} // namespace cardamombay::limits
