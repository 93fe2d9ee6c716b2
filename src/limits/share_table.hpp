/// \file
/// \brief The part of a service's capacity that this entry VM and its teams may use.
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
struct OwnDemand
{
    TeamName team_;
    double demand_ = 0;
};

/// \brief Shares of one service, in slots.
struct ShareTable
{
    std::uint32_t capacity_ = 0; ///< Over all entry VMs.
    std::uint32_t slots_ = 0;    ///< This entry VM's part.
    double level_ = 0;           ///< Slots a team of weight 1 may have, over all entry VMs.
    std::size_t entries_ = 1;
    std::unordered_map<TeamName, double> byTeam_; ///< What each team may have here.

    /// \brief What \p team may have here; an equal part if no digest has shown it yet.
    [[nodiscard]] double of(const TeamName &team) const;
};

/// \brief Slots of \p service that are declared and serve at \p now.
[[nodiscard]] std::uint32_t servingCapacity(const routing::RoutingSnapshot &snapshot,
                                            const config::Service &service, TimePoint now);

/// \brief Divides \p capacity between teams, then each team's share between entry VMs.
/// \details Each entry VM computes the whole division from the same figures and reads its own part,
/// so the parts sum to the capacity without a message beyond the digests.
[[nodiscard]] ShareTable divideCapacity(const routing::RoutingSnapshot &snapshot,
                                        const ServiceName &service, std::uint32_t capacity,
                                        std::span<const OwnDemand> own, const LimitsPolicy &policy);

} // namespace cardamombay::limits::impl
