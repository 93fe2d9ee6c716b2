/// \file
/// \brief Input of the planner: one fabric domain and the availability zone that contains it.
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
    bool isHealthy_ = false; ///< Its last report is recent.
    bool isLeaving_ = false;
    bool isStraggler_ = false;
    bool isIdle_ = false;     ///< Reports no assignment.
    bool isAssigned_ = false; ///< Named by its row or by a pending transaction.
    Duration lostFor_{};      ///< Time since its last report; zero while healthy.

    /// \brief True if it can be assigned to a group now.
    [[nodiscard]] bool isSpare() const
    {
        return isHealthy_ && isIdle_ && !isLeaving_ && !isAssigned_;
    }
};

/// \brief A group of the availability zone whose slot is not free.
struct PlannedGroup
{
    GroupId group_;
    ServiceName service_;
    FabricDomain domain_;
    groups::GroupPhase phase_ = groups::GroupPhase::Forming;
    std::vector<VmId> members_;
    std::uint32_t vmsPerReplica_ = 1;
    endpoint::ModelSpec model_;
    Duration timeInPhase_{};  ///< Time spent in phase_.
    bool isBusy_ = false;     ///< A transaction on its row is pending.
    bool needsReset_ = false; ///< All members are healthy, but not all are ready.
};

/// \brief A slot that is being formed by a pending transaction.
struct PendingSlot
{
    GroupId group_;
    ServiceName service_;
};

/// \brief A model service with its declared capacity in the availability zone.
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

    /// \brief The VM with that identifier, or null.
    [[nodiscard]] const PlannedVm *vm(const VmId &vm) const;
    /// \brief The service with that name, or null.
    [[nodiscard]] const PlannedService *service(const ServiceName &service) const;
};

} // namespace cardamombay::planning
