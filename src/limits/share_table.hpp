/// \file
/// \brief The share of a service's capacity that this entry VM and its teams may use.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/limits/limits_policy.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamombay::limits::impl {

/// \brief Demand of one team at this entry VM.
struct LocalDemand
{
    TeamName team_;
    double demand_ = 0;
};

/// \brief Shares of one service, in slots.
struct ShareTable
{
    std::uint32_t capacity_ = 0; ///< Over all entry VMs.
    std::uint32_t slots_ = 0;    ///< Slots of this entry VM.
    double slotsPerWeight_ = 0;  ///< Slots of a team of weight 1, over all entry VMs.
    std::size_t entryCount_ = 1;
    std::unordered_map<TeamName, double> byTeam_; ///< Share of each team at this entry VM.

    /// \brief Share of \p team at this entry VM; an equal part if its demand is not known yet.
    [[nodiscard]] double shareOf(const TeamName &team) const;

    /// \brief Multiplies the slots and shares of this entry VM by \p factor, at most 1.
    void scale(double factor);
};

/// \brief Slots of \p service that serve at \p now, at most the declared ones of each zone.
[[nodiscard]] std::uint32_t servingCapacity(const routing::RoutingSnapshot &snapshot,
                                            const config::Service &service, TimePoint now);

/// \brief Fraction of its slots that an entry VM may use according to the load reports of the
/// groups: below 1 if they hold clearly more requests than their capacity.
/// \details Entry VMs on different sides of a network partition each divide the whole capacity.
/// They all probe the groups, so the reports still show the overload.
[[nodiscard]] double reportedLoadAllowance(const routing::RoutingSnapshot &snapshot,
                                           const ServiceName &service, TimePoint now);

/// \brief Divides \p capacity between teams, then each team's share between entry VMs.
/// \details Every entry VM computes the whole division from the same inputs and uses its own
/// result, so the slots sum to the capacity without messages other than the digests.
[[nodiscard]] ShareTable divideCapacity(const routing::RoutingSnapshot &snapshot,
                                        const ServiceName &service, std::uint32_t capacity,
                                        std::span<const LocalDemand> localDemands,
                                        const LimitsPolicy &policy);

} // namespace cardamombay::limits::impl
