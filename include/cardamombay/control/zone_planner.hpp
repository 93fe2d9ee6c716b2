/// \file
/// \brief Plans the fabric domains that this entry VM may have to plan.
/// \details Keeps one lease keeper and one group manager for each fabric domain of the availability
/// zone, ranks itself among the candidates of each, and ticks the managers. An availability zone
/// without enough entry VMs of its own is planned by those of its region.
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

/// \brief What the planner sees at one tick.
struct PlanPicture
{
    config::ConfigurationPtr configuration_;
    std::span<const platform::VmRecord> vms_;
    std::span<const membership::MemberEntry> alive_;
    const groups::VmView *view_ = nullptr;
    groups::GroupCache *groupCache_ = nullptr;
};

/// \brief Planner of all fabric domains that concern this entry VM.
class ZonePlanner
{
public:
    ZonePlanner(Clock &clock, platform::TableStore &store, endpoint::EndpointOrders &orders,
                DecisionSink &decisions, const ControlSettings &settings, const NodeCharts &charts);
    ZonePlanner(const ZonePlanner &) = delete;
    ZonePlanner &operator=(const ZonePlanner &) = delete;
    ~ZonePlanner();

    /// \brief Ranks the candidates anew and ticks every group manager.
    void tick(const PlanPicture &picture);

    /// \brief Gives all leases back and plans no more.
    void release();

    /// \brief True once every lease has been given back.
    [[nodiscard]] bool isReleased() const;

    /// \brief Live states of the groups whose fabric domain this entry VM plans.
    [[nodiscard]] std::vector<groups::GroupStatus> groups() const;

    /// \brief Leases held at this moment.
    [[nodiscard]] std::vector<const leases::LeaseKeeper *> heldLeases() const;

    /// \brief This entry VM's side of a lease, held or not; null if it never was a candidate.
    [[nodiscard]] const leases::LeaseKeeper *lease(const FabricDomain &domain) const;

private:
    struct Domain
    {
        AvailabilityZone zone_;
        std::unique_ptr<leases::LeaseKeeper> lease_;
        std::unique_ptr<groups::GroupManager> manager_;
    };

    /// Results of planningEntries() for one tick.
    using ZoneEntries = std::map<AvailabilityZone, std::vector<EntryId>>;

    static const std::vector<EntryId> &entriesOf(const AvailabilityZone &zone,
                                                 const PlanPicture &picture, ZoneEntries &entries);
    void addDomains(const PlanPicture &picture, ZoneEntries &entries);
    Domain makeDomain(const platform::VmRecord &record);
    void rank(const FabricDomain &name, Domain &domain, std::span<const EntryId> entries);
    void plan(Domain &domain, const PlanPicture &picture);

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
