// Shows how the planner weighs waiting for a lost VM against replacing it, under a paused clock.
//
//     example_repair_plan [RETURN_PROBABILITY]
//
// One service has one group of three VMs in a fabric domain with two spare VMs. A member of the
// group is lost; the program prints what the planner decides while time passes.
#include <cardamombay/cardamombay.hpp>

#include <charconv>
#include <iostream>
#include <optional>
#include <string_view>

namespace {

using namespace cardamombay;
using std::chrono::seconds;

constexpr auto loadTime = seconds(240);
constexpr auto step = seconds(5);
constexpr int mostSteps = 24;
constexpr std::uint32_t vmsPerReplica = 3;
constexpr std::uint32_t vmCount = 5;

const AvailabilityZone zone("zone-a");
const FabricDomain domain("zone-a-fabric-1");
const ServiceName service("assistant");
const endpoint::ModelSpec model{ModelName("assistant-70b"), ModelVersion("1"), {}};

planning::PlannedVm vmNumber(std::uint32_t number)
{
    planning::PlannedVm vm;
    vm.vm_ = VmId("vm-" + std::to_string(number));
    vm.domain_ = domain;
    vm.isHealthy_ = true;
    vm.isAssigned_ = number < vmsPerReplica;
    vm.isIdle_ = !vm.isAssigned_;
    return vm;
}

/// The domain before anything happened: one group that serves, and the spare VMs.
planning::PlanState wholeDomain(double returnProbability)
{
    planning::PlanState state;
    state.domain_ = domain;
    state.zone_ = zone;
    state.policy_.returnProbability_ = returnProbability;
    state.policy_.returnTime_ = seconds(30);
    state.policy_.strandedWeight_ = 0.1; // Spare VMs are cheap here, downtime is not.
    state.services_.push_back({service, 1, vmsPerReplica, 100, loadTime, model});
    planning::PlannedGroup group;
    group.group_ = groups::slotId(service, zone, 0);
    group.service_ = service;
    group.domain_ = domain;
    group.phase_ = groups::GroupPhase::Serving;
    group.vmsPerReplica_ = vmsPerReplica;
    group.model_ = model;
    for (std::uint32_t number = 0; number < vmCount; ++number) {
        state.vms_.push_back(vmNumber(number));
        if (number < vmsPerReplica)
            group.members_.push_back(state.vms_.back().vm_);
    }
    state.groups_.push_back(group);
    return state;
}

void loseFirstMember(planning::PlanState &state, Duration lostFor)
{
    state.vms_.front().isHealthy_ = false;
    state.vms_.front().lostFor_ = lostFor;
    state.groups_.front().phase_ = groups::GroupPhase::Degraded;
    state.groups_.front().timeInPhase_ = lostFor;
}

void print(const planning::PlanDecision &decision, Duration lostFor)
{
    std::cout << std::chrono::duration_cast<seconds>(lostFor).count()
              << " s lost: " << nameOf(decision.action_) << ' ' << decision.group_ << " ("
              << decision.reason_ << ")";
    for (const Alternative &alternative : decision.alternatives_)
        std::cout << ' ' << alternative.name_ << '=' << alternative.cost_;
    for (const VmId &member : decision.members_)
        std::cout << ' ' << member;
    std::cout << '\n';
}

/// Prints decisions until one is something else than to wait; false if none is.
bool followLoss(planning::PlanState state)
{
    ManualClock clock;
    const planning::Planner planner;
    const TimePoint lostAt = clock.now();
    for (int turn = 0; turn < mostSteps; ++turn) {
        loseFirstMember(state, clock.now() - lostAt);
        bool isWaiting = true;
        for (const planning::PlanDecision &decision : planner.plan(state)) {
            print(decision, clock.now() - lostAt);
            isWaiting &= decision.action_ == planning::PlanAction::Wait;
        }
        if (!isWaiting)
            return true;
        clock.advance(step);
    }
    return false;
}

std::optional<double> probability(std::string_view text)
{
    double value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = failure == std::errc() && end == text.data() + text.size();
    if (!isWhole || value < 0 || value > 1)
        return std::nullopt;
    return value;
}

} // namespace

int main(int argc, char **argv)
{
    const auto returnProbability = probability(argc > 1 ? argv[1] : "0.95");
    if (!returnProbability) {
        std::cerr << "usage: example_repair_plan [RETURN_PROBABILITY from 0 to 1]\n";
        return cli::exitWrongInput;
    }
    if (!followLoss(wholeDomain(*returnProbability)))
        std::cout << "the planner still waits\n";
    return cli::exitOk;
}
