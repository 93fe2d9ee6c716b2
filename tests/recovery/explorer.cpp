#include "recovery/explorer.hpp"

#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <algorithm>
#include <set>

namespace cardamombay::support {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr Duration versionLimit = seconds(5);
constexpr Duration formingLimit = minutes(3);
constexpr Duration servingLimit = minutes(10);
constexpr std::size_t trailLength = 25;

ControlFleetShape explorerShape(std::uint64_t seed)
{
    ControlFleetShape shape;
    shape.charts_ = SOURCE_FOLDER "/charts";
    shape.checksFencing_ = seed % 2 == 0;
    if (seed % 3 == 0)
        shape.entriesPerZone_ = {2, 2, 1};
    return shape;
}

} // namespace

ControlExplorer::ControlExplorer(std::uint64_t seed)
    : random_(seed)
    , fleet_(explorerShape(seed), seed)
    , promises_(fleet_)
    , isWithoutHealing_(seed % 4 == 1)
{
}

std::string ControlExplorer::explore(std::size_t steps)
{
    fleet_.applyConfiguration("first");
    if (!fleet_.runUntil([this] { return fleet_.isServing(); }, formingLimit))
        return "the fleet does not form";
    for (std::size_t step = 0; step < steps; ++step) {
        act();
        const auto end = fleet_.clock_.now() + milliseconds(random_.below(4000));
        while (fleet_.clock_.now() <= end) {
            fleet_.run(milliseconds(500));
            const auto fault = promises_.check();
            if (!fault.empty()) {
                std::string text = "step " + std::to_string(step) + ": " + fault + "; after:";
                for (const auto &each : trail_)
                    text += " | " + each;
                return text;
            }
        }
    }
    fleet_.heal();
    return finish();
}

void ControlExplorer::note(std::string fault)
{
    trail_.push_back(std::to_string(toMilliseconds(fleet_.clock_.now().time_since_epoch())) + " "
                     + std::move(fault));
    if (trail_.size() > trailLength)
        trail_.erase(trail_.begin());
}

// ---- faults --------------------------------------------------------------------------------

void ControlExplorer::act()
{
    switch (below(12)) {
    case 0:
    case 1:
        return actOnEntry();
    case 2:
    case 3:
    case 4:
        return actOnVm();
    case 5:
        return actOnDomain();
    case 6:
    case 7:
        return actOnStore();
    case 8:
        return actOnNodeLinks();
    case 9:
        return partition();
    case 10:
        return applyConfiguration();
    default:
        break;
    }
    if (below(4) == 0) {
        note("jump");
        fleet_.jump(seconds(random_.below(20)));
    } else {
        if (isWithoutHealing_)
            return;
        note("heal");
        fleet_.heal();
    }
}

void ControlExplorer::actOnEntry()
{
    const std::size_t index = below(fleet_.size());
    const std::size_t kind = below(6);
    note("entry " + std::to_string(index) + " kind " + std::to_string(kind));
    if (kind == 0)
        fleet_.killEntry(index, below(2) == 0);
    if (kind == 1)
        fleet_.restartEntry(index);
    if (kind == 2)
        fleet_.pauseEntry(index);
    if (kind == 3)
        fleet_.resumeEntry(index);
    const bool isPlanned = kind >= 4 && fleet_.entry(index).isRunning();
    if (isPlanned)
        fleet_.entry(index).node_->drain();
    if (isPlanned && kind == 5)
        fleet_.entry(index).node_->leave();
}

void ControlExplorer::actOnVm()
{
    const VmId vm = fleet_.vms()[below(fleet_.vms().size())];
    const std::size_t kind = below(9);
    note("vm " + vm.text() + " kind " + std::to_string(kind));
    if (kind == 0)
        fleet_.killVm(vm);
    if (kind == 1)
        fleet_.restartVm(vm);
    if (kind == 2)
        fleet_.pauseVm(vm);
    if (kind == 3)
        fleet_.resumeVm(vm);
    if (kind == 4)
        fleet_.setLeaving(vm, true);
    if (kind == 5)
        fleet_.endpoints_.faults(vm).loseNextAnswers_ = 2;
    if (kind == 6)
        fleet_.endpoints_.faults(vm).loseNextOrders_ = 2;
    if (kind == 7)
        fleet_.endpoints_.faults(vm).failsLoading_ = true;
    if (kind == 8)
        fleet_.endpoints_.faults(vm).extraLatency_ = milliseconds(below(600));
}

void ControlExplorer::actOnDomain()
{
    const auto domain = fleet_.domains()[below(fleet_.domains().size())];
    const std::size_t kind = below(4);
    note("domain " + domain.text() + " kind " + std::to_string(kind));
    for (const VmId &vm : fleet_.vmsOf(domain)) {
        if (kind == 0)
            fleet_.pauseVm(vm);
        if (kind == 1)
            fleet_.resumeVm(vm);
        if (kind == 2)
            fleet_.killVm(vm);
        if (kind == 3 && fleet_.truth(vm).isDead_)
            fleet_.restartVm(vm);
    }
}

void ControlExplorer::actOnStore()
{
    const std::size_t kind = below(6);
    note("store kind " + std::to_string(kind));
    StoreFaults faults;
    faults.isDown_ = kind == 0;
    faults.losesAnswers_ = kind == 1;
    faults.losesRequests_ = kind == 2;
    if (kind == 3)
        faults.latency_ = milliseconds(100 + below(3000));
    fleet_.platform_.faults_ = faults;
}

void ControlExplorer::actOnNodeLinks()
{
    const std::size_t index = below(fleet_.size());
    const std::size_t kind = below(6);
    note("links of " + std::to_string(index) + " kind " + std::to_string(kind));
    fleet_.store(index).isCutOff_ = kind == 0;
    fleet_.process(index).losesStoreAnswers_ = kind == 1;
    fleet_.process(index).extraStoreLatency_ = kind == 2 ? Duration(seconds(2)) : Duration{};
    fleet_.orders(index).isCutOff_ = kind == 3;
    fleet_.orders(index).losesAnswers_ = kind == 4;
}

void ControlExplorer::partition()
{
    const std::size_t kind = below(4);
    note("partition kind " + std::to_string(kind));
    fleet_.healCuts();
    if (kind == 3) {
        auto &faults = fleet_.network_.faults_;
        faults.loss_ = 0.1;
        faults.duplication_ = 0.1;
        faults.jitter_ = milliseconds(300);
        return;
    }
    if (kind == 2)
        return;
    std::set<std::size_t> side;
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        if (below(2) == 0)
            side.insert(index);
    }
    for (std::size_t from = 0; from < fleet_.size(); ++from) {
        for (std::size_t to = 0; to < fleet_.size(); ++to) {
            if (side.contains(from) && !side.contains(to)) {
                fleet_.cut(from, to);
                if (kind == 0)
                    fleet_.cut(to, from);
            }
        }
    }
}

void ControlExplorer::applyConfiguration()
{
    const bool isRace = below(2) == 0;
    note(isRace ? "two operators" : "operator");
    fleet_.applyConfiguration("change " + std::to_string(++notes_), 0);
    if (isRace)
        fleet_.applyConfiguration("change " + std::to_string(++notes_), 1);
}

/// Rows and VMs that are not in order, for people who look into a seed.
std::string ControlExplorer::describe() const
{
    std::string text;
    std::set<VmId> used;
    for (const auto &row : fleet_.groupRows()) {
        used.insert(row.members_.begin(), row.members_.end());
        if (row.isActive() && fleet_.isWhole(row))
            continue;
        text += "\n  " + row.group_.text() + " " + std::string(groups::nameOf(row.phase_))
                + " generation " + std::to_string(row.generation_.value()) + " " + row.reason_;
        for (const VmId &member : row.members_)
            text += " " + describe(member);
    }
    for (const VmId &vm : fleet_.vms()) {
        if (!used.contains(vm))
            text += "\n  no group: " + describe(vm);
    }
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        const auto &entry = fleet_.entry(index);
        text += "\n  " + entry.id_.text() + " plans";
        for (const auto *lease : entry.node_->planner().heldLeases())
            text += " " + lease->domain().text();
        text += "; leaving";
        for (const VmId &vm : entry.node_->watcher().leaving())
            text += " " + vm.text();
    }
    return text;
}

std::string ControlExplorer::describe(const VmId &vm) const
{
    const auto &state = fleet_.truth(vm).state_;
    std::string text = vm.text() + "=" + std::string(endpoint::nameOf(state.phase_));
    if (state.assignment_)
        text += ":" + state.assignment_->group_.text() + "/"
                + std::to_string(state.assignment_->generation_.value());
    return text;
}

std::string ControlExplorer::finish()
{
    const TimePoint healedAt = fleet_.clock_.now();
    const bool serves = fleet_.runUntil([this] { return fleet_.isServing(); }, servingLimit);
    recoveryTime_ = fleet_.clock_.now() - healedAt;
    if (!serves)
        return "after healing " + std::to_string(fleet_.wholeGroups()) + " of "
               + std::to_string(fleet_.declaredReplicas()) + " replicas are whole" + describe();
    const auto isInForce = [this] { return fleet_.isInForce(); };
    if (!fleet_.runUntil(isInForce, seconds(30)))
        return "after healing an entry VM lacks the accepted version";
    if (!fleet_.runUntil([this] { return fleet_.isEveryoneAlive(); }, minutes(1)))
        return "after healing an entry VM that runs is not seen alive";
    if (!fleet_.runUntil([this] { return !fleet_.strandedVm(); }, minutes(2)))
        return "after healing a VM holds an assignment that no group row has" + describe();
    const auto before = fleet_.stored();
    fleet_.applyConfiguration("last");
    fleet_.runUntil([&] { return fleet_.stored() > before; }, seconds(5));
    if (fleet_.stored() == before)
        return "the store takes no configuration after healing";
    if (!fleet_.runUntil(isInForce, versionLimit))
        return "an accepted version is not in force everywhere after 5 s";
    return promises_.check();
}

} // namespace cardamombay::support
