/// \file
/// \brief Figures from which entry VMs decide which requests to admit.
/// \details Work is measured in seconds of one full group's time, so a rate of work is a number of
/// groups. Plain values without behaviour that depends on time.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace cardamombay::overload {

/// \brief Urgency of a request; 0 is the most urgent.
using Rank = std::uint32_t;

/// \brief Ranks above this one are treated as this one.
inline constexpr Rank maxRank = 9;

/// \brief Work that the callers of one model ask for at one entry VM or at several.
struct ModelDemand
{
    std::map<Rank, double> offered_;   ///< Rate of work, including refused requests, in groups.
    std::map<Rank, double> waiting_;   ///< Held requests, in seconds of work.
    std::map<TeamName, double> teams_; ///< Offered work of teams in the divided rank, in groups.
    double promised_ = 0; ///< Seconds of work that refused callers were told to bring back.

    [[nodiscard]] bool isEmpty() const;
    /// \brief Adds the figures of other entry VMs.
    ModelDemand &operator+=(const ModelDemand &other);
    /// \brief Subtracts the figures of an entry VM that are part of these; none falls below 0.
    ModelDemand &operator-=(const ModelDemand &part);
    friend bool operator==(const ModelDemand &, const ModelDemand &) = default;
};

/// \brief Demand of all models, as carried by digests.
using FleetDemand = std::map<ModelName, ModelDemand>;

/// \brief Groups of one model that this entry VM may use.
struct ModelCapacity
{
    double groups_ = 0;    ///< A group that runs n times slower counts as 1/n.
    double occupancy_ = 0; ///< Requests in flight over all entry VMs, as a share of the slots.

    friend bool operator==(const ModelCapacity &, const ModelCapacity &) = default;
};

/// \brief Takes over the teams of \p before for models whose \p demand names none, since teams are
/// not named in every digest.
void keepTeams(FleetDemand &demand, const FleetDemand &before);

/// \brief Removes the teams of all models.
void dropTeams(FleetDemand &demand);

/// \brief Properties of a request that admission depends on.
struct AdmissionRequest
{
    ModelName model_;
    Rank rank_ = 0;
    TeamName team_;          ///< Empty if the route requires no key.
    std::uint64_t draw_ = 0; ///< Uniform hash of the request that a caller cannot choose.
};

} // namespace cardamombay::overload
