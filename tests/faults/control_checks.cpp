// Faults against whole control nodes in each state of the charts lease, group, config and member.
#include "support/promise_check.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "faults/matrix.hpp"

namespace cardamombay::faults {

using namespace support;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Duration reachLimit = minutes(2);
constexpr Duration settleLimit = minutes(8);

ControlFleetShape benchShape()
{
    ControlFleetShape shape;
    shape.entriesPerZone_ = {3};
    shape.domainsPerZone_ = 1;
    shape.vmsPerDomain_ = 9;
    shape.concurrentLoads_ = 1; // Formations wait for each other, so that the state is seen.
    shape.charts_ = SOURCE_FOLDER "/charts";
    return shape;
}

/// One fleet with an entry VM and an endpoint VM that the fault hits.
class ControlBench
{
public:
    explicit ControlBench(std::string chart)
        : chart_(std::move(chart))
    {
        fleet_.applyConfiguration("first");
    }

    bool reach(const std::string &state)
    {
        if (chart_ == "lease")
            return reachLease(state);
        if (chart_ == "group")
            return reachGroup(state);
        if (chart_ == "config")
            return reachConfig(state);
        return reachMember(state);
    }

    /// \name Faults
    /// \{
    void kill()
    {
        if (isOfVms())
            fleet_.killVm(vm_);
        else
            fleet_.killEntry(entry_);
        run(seconds(20));
    }
    void pausePastLease()
    {
        fleet_.pauseEntry(entry_);
        run(seconds(40));
        fleet_.resumeEntry(entry_);
        run(seconds(2));
    }
    void pauseAndWake()
    {
        if (isOfVms())
            fleet_.pauseVm(vm_);
        else
            fleet_.pauseEntry(entry_);
        run(seconds(4));
        fleet_.resumeVm(vm_);
        fleet_.resumeEntry(entry_);
        run(seconds(4));
    }
    void leave()
    {
        if (isOfVms()) {
            fleet_.setLeaving(vm_, true);
            run(seconds(20));
            fleet_.killVm(vm_);
        } else if (fleet_.entry(entry_).node_) {
            fleet_.entry(entry_).node_->drain();
            run(seconds(5));
            fleet_.entry(entry_).node_->leave();
            run(seconds(1));
            fleet_.killEntry(entry_);
        }
        run(seconds(10));
    }
    void partition()
    {
        for (std::size_t other = 0; other < fleet_.size(); ++other) {
            if (other == entry_)
                continue;
            fleet_.cut(entry_, other);
            fleet_.cut(other, entry_);
        }
        fleet_.store(entry_).isCutOff_ = true;
        run(seconds(30));
    }
    void storeDown()
    {
        fleet_.platform_.faults_.isDown_ = true;
        run(seconds(30));
    }
    void storeSlow()
    {
        fleet_.platform_.faults_.latency_ = milliseconds(2500);
        run(seconds(30));
    }
    void answerLost()
    {
        fleet_.platform_.faults_.loseNextAnswers_ = 3;
        run(seconds(20));
    }
    void clockStep()
    {
        fleet_.jump(seconds(20));
        run(seconds(5));
    }
    void operatorRace()
    {
        const auto before = fleet_.stored();
        fleet_.applyConfiguration("one", 0);
        fleet_.applyConfiguration("other", 1);
        run(seconds(10));
        if (fleet_.stored().value() > before.value() + 1)
            fault_ = "two operators who changed the same version were both accepted";
    }
    void staleOrder()
    {
        const auto isOrdered
            = [&](const VmId &vm) { return !fleet_.truth(vm).state_.highestFencing_.isNone(); };
        const auto &vms = fleet_.vms();
        const auto isAnyOrdered = [&] { return std::any_of(vms.begin(), vms.end(), isOrdered); };
        if (!fleet_.runUntil(isAnyOrdered, reachLimit)) {
            fault_ = "no VM was ever ordered";
            return;
        }
        sendStaleOrder(*std::find_if(vms.begin(), vms.end(), isOrdered));
        run(seconds(10));
    }
    void sameTwice()
    {
        for (int round = 0; round < 2; ++round) {
            if (isOfVms()) {
                fleet_.killVm(vm_);
                run(seconds(4));
                fleet_.restartVm(vm_);
            } else {
                fleet_.pauseEntry(entry_);
                run(seconds(15));
                fleet_.resumeEntry(entry_);
            }
            run(seconds(4));
        }
    }
    void twoAtOnce()
    {
        fleet_.killVm(vm_);
        fleet_.platform_.faults_.loseNextAnswers_ = 2;
        fleet_.store(entry_).isCutOff_ = true;
        run(seconds(20));
    }
    /// \}

    std::string settle()
    {
        fleet_.heal();
        fleet_.endpoints_.latency_ = milliseconds(1);
        const TimePoint end = fleet_.clock_.now() + settleLimit;
        while (!isSettled() && fleet_.clock_.now() < end)
            run(seconds(1));
        if (fault_.empty() && !isSettled())
            fault_ = whyUnsettled();
        return fault_;
    }

private:
    [[nodiscard]] bool isOfVms() const { return chart_ == "group"; }

    void run(Duration time)
    {
        for (; time > Duration::zero(); time -= milliseconds(500)) {
            fleet_.run(milliseconds(500));
            if (fault_.empty())
                fault_ = promises_.check();
        }
    }

    [[nodiscard]] const leases::LeaseKeeper *leaseOf(std::size_t index) const
    {
        const auto &node = fleet_.entry(index).node_;
        return node ? node->planner().lease(fleet_.domains().front()) : nullptr;
    }
    [[nodiscard]] std::size_t holders() const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            count += leaseOf(index) && leaseOf(index)->isHeld() ? 1 : 0;
        return count;
    }
    [[nodiscard]] std::string whyUnsettled() const
    {
        if (!fleet_.isServing())
            return "not every declared replica serves after healing";
        if (!fleet_.isInForce())
            return "the accepted configuration is not in force everywhere after healing";
        if (!fleet_.isEveryoneAlive())
            return "an entry VM that runs is not seen alive after healing";
        if (fleet_.strandedVm())
            return "a VM holds an assignment that no group row has, after healing";
        return holders() == 1 ? "" : "the lease has no single holder after healing";
    }
    [[nodiscard]] bool isSettled() const { return whyUnsettled().empty(); }

    bool form()
    {
        const bool isFormed = fleet_.runUntil([this] { return isSettled(); }, reachLimit);
        chooseHolder();
        return isFormed;
    }

    /// The fault hits the planner and the first member of the first formation.
    void chooseHolder()
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            if (leaseOf(index) && leaseOf(index)->isHeld())
                entry_ = index;
        }
        for (const auto &row : fleet_.groupRows()) {
            if (!row.members_.empty())
                vm_ = row.members_.front();
        }
    }

    bool reachLease(const std::string &state)
    {
        if (state != "acquiring" && !form())
            return false;
        fleet_.platform_.faults_.latency_ = milliseconds(300);
        if (state == "releasing" || state == "resting")
            fleet_.entry(entry_).node_->drain();
        return fleet_.runUntil(
            [&] {
                for (std::size_t index = 0; index < fleet_.size(); ++index) {
                    if (!leaseOf(index) || leaseOf(index)->state() != state)
                        continue;
                    entry_ = index;
                    return true;
                }
                return false;
            },
            reachLimit);
    }

    bool reachGroup(const std::string &state)
    {
        const bool isEarly = state == "forming" || state == "loading" || state == "verifying";
        fleet_.endpoints_.latency_ = milliseconds(isEarly ? 300 : 1);
        if (!isEarly && !form())
            return false;
        if (state == "degraded")
            fleet_.pauseVm(vm_);
        const bool isGivenUp = state == "draining" || state == "dissolving" || state == "dissolved";
        if (isGivenUp)
            fleet_.setLeaving(vm_, true);
        if (state == "dissolving")
            fleet_.platform_.faults_.latency_ = milliseconds(300);
        return fleet_.runUntil([&] { return isAnyGroupIn(state); }, reachLimit);
    }
    bool isAnyGroupIn(const std::string &state)
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            const auto &node = fleet_.entry(index).node_;
            if (!node)
                continue;
            for (const auto &status : node->planner().groups()) {
                if (groups::nameOf(status.phase_) != state)
                    continue;
                entry_ = index;
                vm_ = status.row_.members_.empty() ? vm_ : status.row_.members_.front();
                return true;
            }
        }
        // A planner forgets a formation once its row is free.
        const auto rows = fleet_.groupRows();
        return state == "dissolved" && std::any_of(rows.begin(), rows.end(), [](const auto &row) {
                   return row.phase_ == groups::GroupPhase::Dissolved;
               });
    }

    bool reachConfig(const std::string &state)
    {
        if (!form())
            return false;
        fleet_.platform_.faults_.latency_ = milliseconds(300);
        if (state == "confirming" || state == "asking-peers")
            fleet_.restartEntry(entry_);
        if (state == "asking-peers") {
            fleet_.platform_.faults_.isDown_ = true;
            const auto &membership = fleet_.entry(entry_).node_->membership();
            // It asks whom it knows, so it joins first; the store's refusal comes later.
            fleet_.runUntil([&] { return membership.aliveMembers().size() > 1; }, reachLimit);
            for (std::size_t other = 0; other < fleet_.size(); ++other) {
                if (other != entry_)
                    fleet_.pauseEntry(other); // The peers' answers are under way for longer.
            }
        }
        const bool isReached = fleet_.runUntil(
            [&] { return fleet_.entry(entry_).node_->configuration().state() == state; },
            reachLimit);
        for (std::size_t other = 0; other < fleet_.size(); ++other)
            fleet_.resumeEntry(other);
        return isReached;
    }

    bool reachMember(const std::string &state)
    {
        if (!form())
            return false;
        if (state == "left") {
            fleet_.entry(entry_).node_->drain();
            fleet_.entry(entry_).node_->leave();
        } else if (state != "alive") {
            fleet_.pauseEntry(entry_);
        }
        const auto viewer = (entry_ + 1) % fleet_.size();
        return fleet_.runUntil([&] { return statusAt(viewer) == state; }, reachLimit);
    }
    [[nodiscard]] std::string statusAt(std::size_t viewer) const
    {
        static const std::map<membership::MemberStatus, std::string> names
            = {{membership::MemberStatus::Alive, "alive"},
               {membership::MemberStatus::Suspect, "suspect"},
               {membership::MemberStatus::Dead, "dead"},
               {membership::MemberStatus::Left, "left"}};
        for (const auto &member : fleet_.entry(viewer).node_->membership().members()) {
            if (member.id_ == fleet_.entry(entry_).id_)
                return names.at(member.status_);
        }
        return "unknown";
    }

    void sendStaleOrder(const VmId &vm)
    {
        const auto before = fleet_.truth(vm).state_;
        endpoint::EndpointOrder order;
        order.id_ = OrderId("stale");
        order.vm_ = vm;
        order.fencing_ = Epoch{};
        order.assignment_ = {GroupId("former"), Generation(1), 0};
        bool isRefused = false;
        stranger_.send(fleet_.addressOf(vm), order,
                       [&isRefused](const Result<endpoint::EndpointState> &result) {
                           isRefused = !isOk(result);
                       });
        fleet_.clock_.advance(fleet_.endpoints_.latency_ * 2);
        const auto &after = fleet_.endpoints_.state(vm);
        const bool isTaken = after.assignment_ && after.assignment_->group_ == GroupId("former");
        if (!isRefused || isTaken)
            fault_ = "a VM took an order with an old fencing number";
    }

    std::string chart_;
    ControlFleet fleet_{benchShape()};
    PromiseCheck promises_{fleet_};
    FakeEndpointOrders stranger_{fleet_.endpoints_, EntryId("former")};
    std::size_t entry_ = 0;
    VmId vm_{fleet_.vms().front()};
    std::string fault_;
};

using Injections = std::map<std::string, std::pair<std::string, void (ControlBench::*)()>>;

Injections injections(bool isOfVms)
{
    const std::string subject = isOfVms ? "a member" : "the entry VM";
    return {
        {"kill", {subject + " is killed, back after 20 s", &ControlBench::kill}},
        {"pause past a lease",
         {"the entry VM stands still for 40 s", &ControlBench::pausePastLease}},
        {"pause and wake", {subject + " stands still for 4 s", &ControlBench::pauseAndWake}},
        {"leave", {subject + " leaves in order, a new one comes", &ControlBench::leave}},
        {"partition",
         {"the entry VM hears no peer and no store for 30 s", &ControlBench::partition}},
        {"store down", {"the store is down for 30 s", &ControlBench::storeDown}},
        {"store slow", {"the store takes 2.5 s for 30 s", &ControlBench::storeSlow}},
        {"answer lost", {"three commits' answers are lost", &ControlBench::answerLost}},
        {"clock step", {"all clocks step by 20 s", &ControlBench::clockStep}},
        {"operator race", {"two operators change the same version", &ControlBench::operatorRace}},
        {"stale order",
         {"an order with an old fencing number reaches a VM", &ControlBench::staleOrder}},
        {"same fault twice",
         {isOfVms ? "a member is killed and back, twice"
                  : "the entry VM stands still for 15 s, twice",
          &ControlBench::sameTwice}},
        {"two at once",
         {"a member is killed while two answers are lost and the entry VM is cut off the store",
          &ControlBench::twoAtOnce}},
    };
}

} // namespace

std::vector<ChartChecks> controlChecks()
{
    std::vector<ChartChecks> all;
    for (const std::string chart : {"group", "lease", "config", "member"}) {
        ChartChecks checks;
        checks.chart_ = chart;
        checks.assertion_
            = "Twice a second: no node uses a group with a member that was dead, paused, or held "
              "something else for longer than the freshness window, nor one that leaves for longer "
              "than 3 s; no VM is in two group rows; the lease has at most one holder; no entry VM "
              "goes back to an earlier configuration. After healing, within 8 min: every declared "
              "replica serves, no VM holds an assignment without a row, one entry VM holds the "
              "lease, all see all alive, and the accepted "
              "configuration is in force at all.";
        addChecks<ControlBench>(checks, injections(chart == "group"),
                                [chart] { return std::make_unique<ControlBench>(chart); });
        all.push_back(std::move(checks));
    }
    return all;
}

} // namespace cardamombay::faults
