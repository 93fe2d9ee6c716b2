/// \file
/// \brief Processor time of planning and of a manager's tick against the number of VMs of a fabric
/// domain, and rows written per formed group.
/// \details Usage: bench_groups_slopes [charts folder].
#include "support/planner_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <vector>

using namespace cardamombay;
using namespace cardamombay::support;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t vmsPerGroup = 16;

double processorMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/// Least processor time of one call over several rounds, in microseconds.
double timeOf(const std::function<void()> &action)
{
    constexpr int rounds = 7;
    constexpr int calls = 30;
    double least = 1e18;
    for (int round = 0; round < rounds; ++round) {
        const double begin = processorMicroseconds();
        for (int call = 0; call < calls; ++call)
            action();
        least = std::min(least, (processorMicroseconds() - begin) / calls);
    }
    return least;
}

struct Sample
{
    double size_;
    double value_;
};

void printFit(const char *name, const std::vector<Sample> &samples)
{
    double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
    for (const Sample &sample : samples) {
        n += 1;
        sx += sample.size_;
        sy += sample.value_;
        sxx += sample.size_ * sample.size_;
        sxy += sample.size_ * sample.value_;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double base = (sy - slope * sx) / n;
    double worst = 0;
    for (const Sample &sample : samples) {
        const double fitted = base + slope * sample.size_;
        worst = std::max(worst, std::abs(fitted - sample.value_) / sample.value_);
    }
    for (const Sample &sample : samples)
        std::printf("| %s | %.0f | %.1f |\n", name, sample.size_, sample.value_);
    std::printf("fit of %s: %.2f + %.4f * VMs, largest residual %.0f %%\n", name, base, slope,
                worst * 100);
}

planning::PlanState stateOf(std::uint32_t vms, bool isBroken)
{
    planning::PlanState state;
    state.domain_ = PlannerFleet::domain(0);
    state.zone_ = AvailabilityZone("zone");
    const std::uint32_t groupCount = vms / vmsPerGroup - (vms > vmsPerGroup ? 1 : 0);
    const config::Service service = modelService(groupCount, vmsPerGroup);
    state.services_.push_back(
        {service.name_, groupCount, vmsPerGroup, 100, seconds(60), service.model_});
    for (std::uint32_t each = 0; each < vms; ++each) {
        planning::PlannedVm vm;
        vm.vm_ = PlannerFleet::vm(each);
        vm.domain_ = state.domain_;
        vm.isHealthy_ = !isBroken || each != 0;
        vm.lostFor_ = vm.isHealthy_ ? Duration::zero() : seconds(10);
        vm.isAssigned_ = each < groupCount * vmsPerGroup;
        vm.isIdle_ = !vm.isAssigned_;
        state.vms_.push_back(std::move(vm));
    }
    for (std::uint32_t number = 0; number < groupCount; ++number) {
        planning::PlannedGroup group;
        group.group_ = groups::slotId(service.name_, state.zone_, number);
        group.service_ = service.name_;
        group.domain_ = state.domain_;
        group.model_ = service.model_;
        group.vmsPerReplica_ = vmsPerGroup;
        const bool isLost = isBroken && number == 0;
        group.phase_ = isLost ? groups::GroupPhase::Degraded : groups::GroupPhase::Serving;
        for (std::uint32_t each = 0; each < vmsPerGroup; ++each)
            group.members_.push_back(PlannerFleet::vm(number * vmsPerGroup + each));
        state.groups_.push_back(std::move(group));
    }
    return state;
}

void measurePlanning(const char *name, bool isBroken)
{
    const planning::Planner planner;
    std::vector<Sample> samples;
    for (const std::uint32_t vms : {32U, 64U, 128U, 256U, 512U}) {
        const planning::PlanState state = stateOf(vms, isBroken);
        samples.push_back({static_cast<double>(vms), timeOf([&] { (void)planner.plan(state); })});
    }
    printFit(name, samples);
}

void measureTick(const std::string &chartFolder)
{
    std::vector<Sample> times;
    for (const std::uint32_t vms : {32U, 64U, 128U, 256U}) {
        FleetShape shape;
        shape.vmsPerDomain_ = vms;
        shape.chartFolder_ = chartFolder;
        shape.services_ = {modelService(vms / vmsPerGroup - 1, vmsPerGroup)};
        shape.policy_.concurrentLoads_ = 100;
        PlannerFleet fleet(shape);
        PlannerNode &node = fleet.addNode();
        const std::uint32_t wanted = vms / vmsPerGroup - 1;
        fleet.advanceUntil([&] { return fleet.servingCount() == wanted; }, minutes(5));
        fleet.advance(seconds(10));
        const groups::PlanInput input{fleet.configuration_, shape.zone_, fleet.vms_, &node.view_,
                                      &node.groupCache_};
        times.push_back({static_cast<double>(vms), timeOf([&] { node.manager().tick(input); })});
        double rows = 0;
        for (const auto &[key, row] : fleet.platform_.rows())
            rows += key.table_ == groups::groupTable || key.table_ == groups::vmTable ? 1 : 0;
        std::printf("%u VMs: %u groups formed, %.1f rows each in one transaction\n", vms, wanted,
                    rows / wanted);
    }
    printFit("tick of a manager, nothing to do (us)", times);
}

} // namespace

int main(int count, char **arguments)
{
    measurePlanning("plan, nothing to do (us)", false);
    measurePlanning("plan, one group broken (us)", true);
    measureTick(count > 1 ? arguments[1] : "charts");
}
