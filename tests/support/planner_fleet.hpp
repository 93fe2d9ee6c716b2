/// \file
/// \brief In-memory simulation of endpoint VMs in fabric domains, with planners on entry VMs and a
/// manual clock.
#pragma once

#include "support/fake_endpoints.hpp"
#include "support/fake_store.hpp"
#include "support/pausable_node.hpp"

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/groups/group_manager.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief Size and configuration of a fleet in one availability zone.
struct FleetShape
{
    std::uint32_t domains_ = 1;
    std::uint32_t vmsPerDomain_ = 4;
    std::vector<config::Service> services_;
    config::PlannerPolicy policy_;
    AvailabilityZone zone_{"zone"};
    bool checksFencing_ = true;
    std::string chartFolder_ = "charts";
};

/// \brief A model service with \p replicas replicas of \p vmsPerReplica VMs in the zone "zone".
[[nodiscard]] config::Service modelService(std::uint32_t replicas, std::uint32_t vmsPerReplica,
                                           const std::string &name = "lm",
                                           std::uint32_t priority = 100);

/// \brief Polls the endpoint VMs of a fleet, in place of an endpoint watcher.
class PollingView final : public groups::VmView
{
public:
    PollingView(Clock &clock, endpoint::EndpointOrders &orders,
                const std::vector<platform::VmRecord> &vms, const std::set<VmId> &leaving);

    [[nodiscard]] groups::VmObservation observe(const VmId &vm) const override;

private:
    void poll();

    Clock &clock_;
    endpoint::EndpointOrders &orders_;
    const std::vector<platform::VmRecord> &vms_;
    const std::set<VmId> &leaving_;
    std::map<VmId, groups::VmObservation> observations_;
};

class PlannerFleet;

/// \brief Simulated entry VM, with a planner lease and a group manager for each fabric domain.
class PlannerNode
{
public:
    PlannerNode(PlannerFleet &fleet, EntryId self, planning::Planner planner);

    [[nodiscard]] bool isPaused() const { return clock_.isPaused(); }
    void pause() { clock_.pause(); }
    void resume() { clock_.resume(); }

    [[nodiscard]] leases::LeaseKeeper &lease(std::uint32_t domain = 0) { return *leases_[domain]; }
    [[nodiscard]] groups::GroupManager &manager(std::uint32_t domain = 0)
    {
        return *managers_[domain];
    }

    PlannerFleet &fleet_;
    EntryId self_;
    PausableClock clock_;
    FakeTableStore store_;
    FakeEndpointOrders orders_;
    PausableStore nodeStore_;
    PausableOrders nodeOrders_;
    PollingView view_;
    groups::GroupCache groupCache_;
    DecisionLog log_;

private:
    void tick();

    std::vector<std::unique_ptr<leases::LeaseKeeper>> leases_;
    std::vector<std::unique_ptr<groups::GroupManager>> managers_;
};

/// \brief Endpoint VMs with a fake platform; addNode() adds entry VMs.
class PlannerFleet
{
public:
    explicit PlannerFleet(FleetShape shape);

    /// \brief Adds an entry VM that competes for the lease of every domain with candidate rank \p
    /// rank.
    PlannerNode &addNode(std::uint32_t rank = 0, planning::Planner planner = planning::Planner());

    /// \brief Identifier of VM \p number in domain \p domain.
    [[nodiscard]] static VmId vm(std::uint32_t number, std::uint32_t domain = 0);
    [[nodiscard]] static FabricDomain domain(std::uint32_t number);
    [[nodiscard]] std::vector<VmId> vmsOf(std::uint32_t domain) const;

    void advance(Duration step) { clock_.advance(step); }
    /// \brief Advances until \p condition holds; false if it does not within \p limit.
    bool advanceUntil(const std::function<bool()> &condition, Duration limit);

    /// \name State of the platform and the VMs
    /// \{
    [[nodiscard]] std::optional<groups::GroupRow> row(std::uint32_t slot = 0,
                                                      const std::string &service = "lm") const;
    [[nodiscard]] std::optional<groups::VmRow> vmRow(const VmId &vm) const;
    /// \brief True if all members of the slot's formation are alive and report it as ready.
    [[nodiscard]] bool isServing(std::uint32_t slot = 0, const std::string &service = "lm") const;
    [[nodiscard]] std::uint32_t servingCount() const;
    /// \brief True if no VM is a member of two groups and each member's row names its formation.
    [[nodiscard]] bool isExclusive() const;
    /// \}

    FleetShape shape_;
    ManualClock clock_;
    FakePlatform platform_;
    FakeEndpoints endpoints_;
    config::ConfigurationPtr configuration_;
    std::vector<platform::VmRecord> vms_;
    std::set<VmId> leaving_;
    std::set<VmId> dead_; ///< VMs that a test killed or paused; for isServing().
    leases::LeaseProgramPtr leaseProgram_;
    groups::GroupProgramPtr groupProgram_;
    std::vector<std::unique_ptr<PlannerNode>> nodes_;

    void kill(const VmId &vm);
    void restart(const VmId &vm);
    void pauseVm(const VmId &vm);
    void resumeVm(const VmId &vm);
    void setServices(std::vector<config::Service> services);
};

} // namespace cardamombay::support
