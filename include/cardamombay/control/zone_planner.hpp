/// \file
/// \brief Plans the fabric domains for which this entry VM is a lease candidate.
/// \details Owns one lease keeper and one group manager per fabric domain, updates this entry VM's
/// candidate rank for each lease, and ticks the managers whose lease is held. An availability zone
/// with fewer than two entry VMs of its own is planned by those of its region.
#pragma once

#include <cardamombay/control/control_settings.hpp>
#include <cardamombay/control/node_charts.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/groups/group_manager.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/membership/digest.hpp>

#include <map>
#include <memory>
#include <span>
#include <vector>

namespace cardamombay::control {

/// \brief Input of the planner for one tick.
struct PlanTickInput
{
    config::ConfigurationPtr configuration_;
    std::span<const platform::VmRecord> vms_;
    std::span<const membership::MemberEntry> alive_;
    const groups::VmView *view_ = nullptr;
    groups::GroupCache *groupCache_ = nullptr;
};

/// \brief Planner of all fabric domains for which this entry VM is a candidate.
class ZonePlanner
{
public:
    ZonePlanner(Clock &clock, platform::TableStore &store, endpoint::EndpointOrders &orders,
                DecisionSink &decisions, const ControlSettings &settings, const NodeCharts &charts);
    ZonePlanner(const ZonePlanner &) = delete;
    ZonePlanner &operator=(const ZonePlanner &) = delete;
    ~ZonePlanner();

    /// \brief Updates the candidate ranks and ticks the group manager of every held lease.
    void tick(const PlanTickInput &tickInput);

    /// \brief Releases all leases and stops planning.
    void release();

    /// \brief True once every lease is released.
    [[nodiscard]] bool isReleased() const;

    /// \brief Current states of the groups in the fabric domains that this entry VM plans.
    [[nodiscard]] std::vector<groups::GroupStatus> groups() const;

    /// \brief Leases currently held.
    [[nodiscard]] std::vector<const leases::LeaseKeeper *> heldLeases() const;

    /// \brief Lease keeper of \p domain, whether its lease is held or not; null if this entry VM
    /// never was a candidate.
    [[nodiscard]] const leases::LeaseKeeper *lease(const FabricDomain &domain) const;

private:
    struct Domain
    {
        AvailabilityZone zone_;
        std::unique_ptr<leases::LeaseKeeper> lease_;
        std::unique_ptr<groups::GroupManager> manager_;
    };

    /// Cached results of planningEntries() for one tick.
    using ZoneEntries = std::map<AvailabilityZone, std::vector<EntryId>>;

    static const std::vector<EntryId> &
    entriesOf(const AvailabilityZone &zone, const PlanTickInput &tickInput, ZoneEntries &entries);
    void addDomains(const PlanTickInput &tickInput, ZoneEntries &entries);
    Domain makeDomain(const platform::VmRecord &record);
    void rank(const FabricDomain &name, Domain &domain, std::span<const EntryId> entries);
    void plan(Domain &domain, const PlanTickInput &tickInput);

    Clock &clock_;
    platform::TableStore &store_;
    endpoint::EndpointOrders &orders_;
    DecisionSink &decisions_;
    const ControlSettings &settings_;
    NodeCharts charts_;
    Random random_;
    bool isReleasing_ = false;
    std::map<FabricDomain, Domain> domains_;
};

/// \brief Entry VMs that may plan \p zone: its own, or its region's if it has fewer than two.
[[nodiscard]] std::vector<EntryId> planningEntries(const AvailabilityZone &zone,
                                                   const config::Configuration &configuration,
                                                   std::span<const membership::MemberEntry> alive);

} // namespace cardamombay::control
