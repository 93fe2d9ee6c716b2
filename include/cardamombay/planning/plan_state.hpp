/// \file
/// \brief What the planner decides on: one fabric domain and the availability zone around it.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/groups/group_row.hpp>

#include <cstdint>
#include <vector>

namespace cardamombay::planning {

/// \brief An engine VM of the availability zone.
struct PlannedVm
{
    VmId vm_;
    FabricDomain domain_;
    bool isHealthy_ = false; ///< Heard of recently.
    bool isLeaving_ = false;
    bool isStraggler_ = false;
    bool isIdle_ = false;     ///< Reports no assignment.
    bool isAssigned_ = false; ///< Its row names a group, or a transaction about to do so runs.
    Duration lostFor_{};      ///< Time since it was last heard of; zero while healthy.

    /// \brief True if it may join a group at once.
    [[nodiscard]] bool isSpare() const
    {
        return isHealthy_ && isIdle_ && !isLeaving_ && !isAssigned_;
    }
};

/// \brief A group of the availability zone that is not dissolved.
struct PlannedGroup
{
    GroupId group_;
    ServiceName service_;
    FabricDomain domain_;
    groups::GroupPhase phase_ = groups::GroupPhase::Forming;
    std::vector<VmId> members_;
    std::uint32_t vmsPerReplica_ = 1;
    endpoint::ModelSpec model_;
    Duration timeInPhase_{};  ///< Time in the present phase.
    bool isBusy_ = false;     ///< A transaction on its row is under way.
    bool needsReset_ = false; ///< A healthy member restarted, failed or was stopped.
};

/// \brief A slot that a transaction under way is going to form.
struct PendingSlot
{
    GroupId group_;
    ServiceName service_;
};

/// \brief A model service with the capacity declared for the availability zone.
struct PlannedService
{
    ServiceName service_;
    std::uint32_t replicas_ = 0;
    std::uint32_t vmsPerReplica_ = 1;
    std::uint32_t priority_ = 100;
    Duration loadTime_{};
    endpoint::ModelSpec model_;
};

/// \brief Input of Planner::plan(). Lists are sorted by identifier.
struct PlanState
{
    FabricDomain domain_;
    AvailabilityZone zone_;
    config::PlannerPolicy policy_;
    std::vector<PlannedVm> vms_;
    std::vector<PlannedGroup> groups_;
    std::vector<PendingSlot> pending_;
    std::vector<PlannedService> services_;

    /// \brief The VM of that name, or null.
    [[nodiscard]] const PlannedVm *vm(const VmId &vm) const;
    /// \brief The service of that name, or null.
    [[nodiscard]] const PlannedService *service(const ServiceName &service) const;
};

} // namespace cardamombay::planning
