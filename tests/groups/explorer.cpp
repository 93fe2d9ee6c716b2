/// Random sequences of faults in a zone of two domains with two planners each, reproducible by
/// seed.
#include "support/planner_fleet.hpp"

#include <cstdlib>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::groups;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::minutes;

namespace {

class Explorer
{
public:
    explicit Explorer(std::uint64_t seed)
        : random_(seed)
        , fleet_(shape(seed))
    {
        fleet_.addNode(0);
        fleet_.addNode(1);
    }

    void step()
    {
        injectFault();
        fleet_.advance(milliseconds(random_.below(4000)));
    }

    void heal()
    {
        fleet_.platform_.faults_ = StoreFaults{};
        fleet_.leaving_.clear();
        for (auto &node : fleet_.nodes_) {
            node->resume();
            node->store_.isCutOff_ = false;
            node->orders_.isCutOff_ = false;
            node->orders_.losesAnswers_ = false;
        }
        for (const VmId &vm : std::set<VmId>(fleet_.dead_))
            bringBack(vm);
        fleet_.advance(minutes(6));
    }

    /// False if a manager that holds its lease reports a group as serving although one of its
    /// members has been down for longer than detection takes.
    bool servesOnlyComplete()
    {
        const Duration detectionTime = std::chrono::seconds(5);
        for (const VmId &vm : fleet_.dead_)
            deadSince_.try_emplace(vm, fleet_.clock_.now());
        std::erase_if(deadSince_,
                      [&](const auto &each) { return !fleet_.dead_.contains(each.first); });
        for (auto &node : fleet_.nodes_) {
            for (std::uint32_t domain = 0; domain < 2; ++domain) {
                if (node->isPaused() || !node->lease(domain).isHeld())
                    continue;
                for (const GroupStatus &status : node->manager(domain).groups()) {
                    for (const VmId &member : status.row_.members_) {
                        const auto dead = deadSince_.find(member);
                        const bool isNoticed
                            = dead != deadSince_.end()
                              && fleet_.clock_.now() > dead->second + detectionTime;
                        if (isNoticed && status.phase_ == GroupPhase::Serving)
                            return false;
                    }
                }
            }
        }
        return true;
    }

    PlannerFleet &fleet() { return fleet_; }

private:
    static FleetShape shape(std::uint64_t seed)
    {
        FleetShape shape;
        shape.domains_ = 2;
        shape.vmsPerDomain_ = 8;
        shape.services_ = {modelService(3, 3), modelService(1, 2, "lm-low", 50)};
        shape.checksFencing_ = seed % 2 == 0;
        shape.chartFolder_ = SOURCE_FOLDER "/charts";
        return shape;
    }

    VmId anyVm()
    {
        return PlannerFleet::vm(static_cast<std::uint32_t>(random_.below(8)),
                                static_cast<std::uint32_t>(random_.below(2)));
    }

    void bringBack(const VmId &vm)
    {
        if (paused_.erase(vm) > 0)
            fleet_.resumeVm(vm);
        else
            fleet_.restart(vm);
    }

    void injectFault()
    {
        PlannerNode &node = *fleet_.nodes_[random_.below(2)];
        const VmId vm = anyVm();
        const bool isDown = fleet_.dead_.contains(vm);
        switch (random_.below(14)) {
        case 0:
            if (!isDown)
                fleet_.kill(vm);
            return;
        case 1:
            if (!isDown) {
                fleet_.pauseVm(vm);
                paused_.insert(vm);
            }
            return;
        case 2:
        case 3:
        case 4:
            if (isDown)
                bringBack(vm);
            return;
        case 5:
            node.pause();
            return;
        case 6:
        case 7:
            for (auto &each : fleet_.nodes_)
                each->resume();
            return;
        case 8:
            fleet_.platform_.faults_.loseNextAnswers_ = 1 + random_.below(3);
            return;
        case 9:
            fleet_.platform_.faults_.isDown_ = random_.below(3) == 0;
            return;
        case 10:
            node.store_.isCutOff_ = random_.below(3) == 0;
            return;
        case 11:
            node.orders_.losesAnswers_ = random_.below(3) == 0;
            return;
        case 12:
            if (random_.below(4) == 0)
                fleet_.leaving_.insert(vm);
            else
                fleet_.leaving_.clear();
            return;
        default:
            if (!isDown)
                fleet_.restart(vm);
        }
    }

    Random random_;
    PlannerFleet fleet_;
    std::set<VmId> paused_;
    std::map<VmId, TimePoint> deadSince_;
};

/// First seed and number of seeds; CARDAMOMBAY_SEEDS=<first>:<count> overrides the default.
std::pair<std::uint64_t, std::uint64_t> seedRange()
{
    const char *text = std::getenv("CARDAMOMBAY_SEEDS");
    if (text == nullptr)
        return {1, 40};
    char *rest = nullptr;
    const std::uint64_t first = std::strtoull(text, &rest, 10);
    return {first, *rest == ':' ? std::strtoull(rest + 1, nullptr, 10) : 1};
}

} // namespace

Test(group_explorer, no_vm_is_in_two_groups_and_all_groups_serve_after_the_faults)
{
    const auto [first, count] = seedRange();
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        Explorer explorer(seed);
        for (int step = 0; step < 120; ++step) {
            explorer.step();
            cr_assert(explorer.servesOnlyComplete(), "seed %lu step %d: an incomplete group serves",
                      seed, step);
            cr_assert(explorer.fleet().isExclusive(), "seed %lu step %d: VM in two groups", seed,
                      step);
        }
        explorer.heal();
        cr_assert_eq(explorer.fleet().servingCount(), 4U, "seed %lu: only %u groups serve", seed,
                     explorer.fleet().servingCount());
    }
}
