/// \file
/// \brief Simulates a fleet in one process: control nodes, fake endpoint VMs and a fake platform.
#pragma once

#include "support/fake_endpoints.hpp"
#include "support/fake_peers.hpp"
#include "support/fake_store.hpp"

#include <cardamombay/control/control_node.hpp>
#include <cardamombay/core/decision_log.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamombay::support {

/// \brief Size and layout of the fleet.
struct ControlFleetShape
{
    std::vector<std::uint32_t> entriesPerZone_ = {3, 2};
    std::uint32_t domainsPerZone_ = 2;
    std::uint32_t vmsPerDomain_ = 5;
    std::uint32_t concurrentLoads_ = 4; ///< Per fabric domain.
    bool checksFencing_ = true;         ///< Engines reject outdated fencing tokens.
    std::string charts_ = "charts";     ///< Folder of the state charts.
};

/// \brief Simulated process of one entry VM: running, paused or dead. Answers are deferred while it
/// is paused.
class NodeProcess
{
public:
    explicit NodeProcess(PausableClock &clock)
        : clock_(clock)
    {
    }

    Duration extraStoreLatency_{};
    bool losesStoreAnswers_ = false;

    /// \brief Runs \p action now, on wake() if the process is paused, or never if it is dead.
    void run(std::function<void()> action);
    void wake();
    void die() { isDead_ = true; }
    [[nodiscard]] PausableClock &clock() { return clock_; }

private:
    PausableClock &clock_;
    bool isDead_ = false;
    std::vector<std::function<void()>> deferred_;
};

class ControlFleet;

/// \brief One entry VM; its links outlive its process, since messages may still be in flight.
struct ControlEntry
{
    EntryId id_;
    Address address_;
    AvailabilityZone zone_;
    std::uint64_t runs_ = 0;
    bool isPaused_ = false;
    TimePoint runsSince_{};        ///< Time of the last start or resume.
    ConfigVersion highestInForce_; ///< Maximum over all runs.
    struct Links;
    std::shared_ptr<Links> links_;
    std::unique_ptr<control::ControlNode> node_; ///< Null while dead.

    [[nodiscard]] bool isRunning() const { return node_ && !isPaused_; }
};

/// \brief Counts calls of the entry VMs to the table service, including unanswered ones.
struct StoreCalls
{
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0; ///< Includes scans.
};

/// \brief Actual state of an endpoint VM, for checks; not visible to the nodes.
struct EndpointTruth
{
    bool isDead_ = false;
    bool isPaused_ = false;
    endpoint::EndpointState state_;
    TimePoint changedAt_{}; ///< Last change of the state above, except load.
};

/// \brief Simulated fleet with fault injection.
/// \code
/// ControlFleet fleet(shape, seed);
/// fleet.applyConfiguration("first");
/// fleet.run(std::chrono::minutes(2));
/// \endcode
class ControlFleet
{
public:
    explicit ControlFleet(ControlFleetShape shape, std::uint64_t seed = 1);
    ~ControlFleet();

    /// \brief Advances time in small steps and updates truth() after each.
    void run(Duration time);
    /// \brief Moves all clocks forward while no process runs.
    void jump(Duration time);
    /// \brief Runs until \p condition holds; false if it does not within \p limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// \brief Clears all faults, restarts dead VMs and replaces leaving ones.
    void heal();

    /// \name Entry VMs
    /// \{
    void killEntry(std::size_t index, bool isSilent = true);
    void restartEntry(std::size_t index); ///< Also if it is dead; always as a new incarnation.
    void pauseEntry(std::size_t index);
    void resumeEntry(std::size_t index);
    void cut(std::size_t from, std::size_t to);
    void healCuts();
    [[nodiscard]] ControlEntry &entry(std::size_t index) { return *entries_[index]; }
    [[nodiscard]] const ControlEntry &entry(std::size_t index) const { return *entries_[index]; }
    [[nodiscard]] FakeTableStore &store(std::size_t index);
    [[nodiscard]] FakeEndpointOrders &orders(std::size_t index);
    [[nodiscard]] NodeProcess &process(std::size_t index);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// \}

    /// \name Endpoint VMs
    /// \{
    void killVm(const VmId &vm);
    void restartVm(const VmId &vm);
    void pauseVm(const VmId &vm);
    void resumeVm(const VmId &vm);
    void setLeaving(const VmId &vm, bool isLeaving);
    [[nodiscard]] const std::vector<VmId> &vms() const { return vms_; }
    [[nodiscard]] Address addressOf(const VmId &vm) const;
    [[nodiscard]] std::vector<VmId> vmsOf(const FabricDomain &domain) const;
    [[nodiscard]] const std::vector<FabricDomain> &domains() const { return domains_; }
    [[nodiscard]] const EndpointTruth &truth(const VmId &vm) const { return truths_.at(vm); }
    /// \brief VMs listed as leaving, with the time since when.
    [[nodiscard]] const std::map<VmId, TimePoint> &leaving() const { return leaving_; }
    /// \}

    /// \name Configuration
    /// \{
    /// \brief Applies a configuration that differs by \p note as operator \p operatorIndex; two
    /// operators can race. The answer arrives asynchronously as time advances.
    void applyConfiguration(const std::string &note, std::size_t operatorIndex = 0);
    /// \brief Highest version that was reported to an operator as accepted.
    [[nodiscard]] ConfigVersion accepted() const { return accepted_; }
    /// \brief Version in the platform's store.
    [[nodiscard]] ConfigVersion stored() const;
    /// \}

    /// \name Queries of platform and VM state
    /// \{
    [[nodiscard]] std::vector<groups::GroupRow> groupRows() const;
    /// \brief True if the VM's row refers to the group and generation of \p row.
    [[nodiscard]] bool isRowOf(const VmId &vm, const groups::GroupRow &row) const;
    /// \brief A VM whose assignment matches no group row, if there is one.
    [[nodiscard]] std::optional<VmId> strandedVm() const;
    /// \brief True if every entry VM runs and considers all others alive.
    [[nodiscard]] bool isEveryoneAlive() const;
    /// \brief True if every member is running, ready and holds the assignment of \p row.
    [[nodiscard]] bool isWhole(const groups::GroupRow &row) const;
    /// \brief Number of active groups for which isWhole() holds.
    [[nodiscard]] std::size_t wholeGroups() const;
    /// \brief Number of replicas declared in all zones.
    [[nodiscard]] std::size_t declaredReplicas() const;
    /// \brief True if every entry VM runs and uses the stored configuration version.
    [[nodiscard]] bool isInForce() const;
    /// \brief True if every declared replica is whole, and usable at each running node of its zone.
    [[nodiscard]] bool isServing() const;
    /// \}

    ManualClock clock_;
    FakePlatform platform_;
    StoreCalls storeCalls_;
    FakeEndpoints endpoints_;
    FakePeerNetwork network_;
    control::NodeCharts charts_;

private:
    class Directory;
    class Peers;
    class Table;
    class Objects;

    void addEntries(std::uint64_t seed);
    void addVms();
    void startEntry(std::size_t index);
    void updateTruth();
    [[nodiscard]] std::size_t indexAt(const Address &address) const;

    ControlFleetShape shape_;
    std::uint64_t seed_;
    std::vector<platform::VmRecord> list_;
    std::vector<VmId> vms_;
    std::vector<FabricDomain> domains_;
    std::map<VmId, EndpointTruth> truths_;
    std::map<VmId, TimePoint> leaving_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<std::unique_ptr<ControlEntry>> entries_;
    std::vector<std::shared_ptr<ControlEntry::Links>> retiredLinks_;
    Random operatorRandom_{99};
    FakeTableStore operatorTable_;
    FakeObjectStore operatorObjects_;
    std::vector<std::unique_ptr<config::ConfigStore>> operators_;
    ConfigVersion accepted_;
};

} // namespace cardamombay::support
