/// \file
/// \brief Division of capacity by weighted max-min fairness, rounded by largest remainder.
/// \details Pure functions of demand and weights, so that all entry VMs with the same digests
/// compute the same shares.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cardamombay::limits {

/// \brief Weight and demand of one team.
struct WeightedDemand
{
    double weight_ = 1.0;
    double demand_ = 0;
};

/// \brief Weighted max-min shares: no team gets more than its demand, and capacity that a team
/// does not use is divided between the others by weight.
/// \param capacity the capacity to divide.
/// \param demands one element per team; a team with a weight of zero or less gets nothing.
/// \returns the share of each team; their sum is the smaller of capacity and the total demand of
/// the teams with a positive weight.
[[nodiscard]] std::vector<double> weightedMaxMin(double capacity,
                                                 std::span<const WeightedDemand> demands);

/// \brief Divides \p total slots in the given \p proportions and rounds to whole slots by largest
/// remainder; ties go to the earlier element. All results are zero if the proportions sum to zero.
[[nodiscard]] std::vector<std::uint32_t> largestRemainder(std::uint32_t total,
                                                          std::span<const double> proportions);

} // namespace cardamombay::limits
