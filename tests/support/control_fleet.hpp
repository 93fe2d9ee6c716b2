/// \file
/// \brief Whole control nodes in one process: entry VMs, endpoint VMs and the platform in memory.
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

/// \brief How many VMs, and where.
struct ControlFleetShape
{
    std::vector<std::uint32_t> entriesPerZone_ = {3, 2};
    std::uint32_t domainsPerZone_ = 2;
    std::uint32_t vmsPerDomain_ = 5;
    std::uint32_t concurrentLoads_ = 4; ///< In one fabric domain.
    bool checksFencing_ = true;         ///< Engines refuse an old fencing number.
    std::string charts_ = "charts";     ///< Folder of the state charts.
};

/// \brief Process of one entry VM: runs, stands still or is dead; answers wait while it stands.
class NodeProcess
{
public:
    explicit NodeProcess(PausableClock &clock)
        : clock_(clock)
    {
    }

    Duration extraStoreLatency_{};
    bool losesStoreAnswers_ = false;

    /// \brief Gives an answer to the process now, at its wake, or never.
    void run(std::function<void()> action);
    void wake();
    void die() { isDead_ = true; }
    [[nodiscard]] PausableClock &clock() { return clock_; }

private:
    PausableClock &clock_;
    bool isDead_ = false;
    std::vector<std::function<void()>> waiting_;
};

class ControlFleet;

/// \brief One entry VM; its links outlive its process, since messages may still be under way.
struct ControlEntry
{
    EntryId id_;
    Address address_;
    AvailabilityZone zone_;
    std::uint64_t runs_ = 0;
    bool isPaused_ = false;
    TimePoint runsSince_{};        ///< Start or wake, whichever was later.
    ConfigVersion highestInForce_; ///< Over all runs.
    struct Links;
    std::shared_ptr<Links> links_;
    std::unique_ptr<control::ControlNode> node_; ///< Null while dead.

    [[nodiscard]] bool isRunning() const { return node_ && !isPaused_; }
};

/// \brief Calls of the entry VMs to the table service, answered or not.
struct StoreCalls
{
    std::uint64_t commits_ = 0;
    std::uint64_t reads_ = 0; ///< Scans too.
};

/// \brief What is true of an endpoint VM, for checks; the nodes cannot see it.
struct EndpointTruth
{
    bool isDead_ = false;
    bool isPaused_ = false;
    endpoint::EndpointState state_;
    TimePoint changedAt_{}; ///< When anything of the above changed but load.
};

/// \brief The fleet.
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

    /// \brief Lets time pass, in small steps, and keeps truth() up to date.
    void run(Duration time);
    /// \brief Time passes for everybody while nobody runs.
    void jump(Duration time);
    /// \brief Runs until \p condition holds; false if it does not within \p limit.
    bool runUntil(const std::function<bool()> &condition, Duration limit);

    /// \brief Ends all faults; dead VMs come back, leaving ones are replaced.
    void heal();

    /// \name Entry VMs
    /// \{
    void killEntry(std::size_t index, bool isSilent = true);
    void restartEntry(std::size_t index); ///< Also of a dead one; always a new incarnation.
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
    /// \brief Since when VMs are listed as leaving.
    [[nodiscard]] const std::map<VmId, TimePoint> &leaving() const { return leaving_; }
    /// \}

    /// \name Configuration
    /// \{
    /// \brief An operator applies a configuration that differs by \p note; \p operatorIndex lets
    /// two race. The answer arrives as time passes.
    void applyConfiguration(const std::string &note, std::size_t operatorIndex = 0);
    /// \brief Highest version that an operator was told is accepted.
    [[nodiscard]] ConfigVersion accepted() const { return accepted_; }
    /// \brief Version that the platform's store holds.
    [[nodiscard]] ConfigVersion stored() const;
    /// \}

    /// \name What the platform and the VMs say
    /// \{
    [[nodiscard]] std::vector<groups::GroupRow> groupRows() const;
    /// \brief True if the VM's row names that formation.
    [[nodiscard]] bool isRowOf(const VmId &vm, const groups::GroupRow &row) const;
    /// \brief A VM that holds an assignment which no group row has; none if all is in order.
    [[nodiscard]] std::optional<VmId> strandedVm() const;
    /// \brief True if every entry VM runs and sees all others alive.
    [[nodiscard]] bool isEveryoneAlive() const;
    /// \brief True if every member of the formation is alive, ready and holds it.
    [[nodiscard]] bool isWhole(const groups::GroupRow &row) const;
    /// \brief Formations that are active and whole.
    [[nodiscard]] std::size_t wholeGroups() const;
    /// \brief Replicas declared over all zones.
    [[nodiscard]] std::size_t declaredReplicas() const;
    /// \brief True if every entry VM runs and has the stored version in force.
    [[nodiscard]] bool isInForce() const;
    /// \brief True if every declared replica is whole and usable at each node of its zone.
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
    void renewTruth();
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
    std::vector<std::shared_ptr<ControlEntry::Links>> formerLinks_;
    Random operatorRandom_{99};
    FakeTableStore operatorTable_;
    FakeObjectStore operatorObjects_;
    std::vector<std::unique_ptr<config::ConfigStore>> operators_;
    ConfigVersion accepted_;
};

} // namespace cardamombay::support
