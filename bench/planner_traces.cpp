/// \file
/// \brief Group downtime and stranded VM time of repair policies on the same fault traces.
/// \details Usage: bench_planner_traces [charts folder] [hours] [deployment]. Real leases, boards
/// and group managers on in-memory endpoints and store with the paused clock. Seeds 1 to 8 were
/// used for tuning, seeds 101 to 108 were not.
#include "support/planner_fleet.hpp"

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <vector>

using namespace cardamombay;
using namespace cardamombay::support;
using planning::Planner;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// A deployment as its fleet looks in one zone, and its weights.
struct Deployment
{
    const char *name_;
    std::uint32_t domains_;
    std::uint32_t vmsPerDomain_;
    std::uint32_t replicas_;
    std::uint32_t vmsPerReplica_;
    double downtimeWeight_;
    double strandedWeight_;
};

constexpr std::uint32_t zones = 3;
constexpr Deployment quieteSonora{"Quiete Sonora", 2, 9, 4, 4, 8.0, 1.0};
constexpr Deployment wasata{"Wasata", 1, 17, 4, 4, 1.0, 2.0};

struct Totals
{
    double downtime_ = 0; ///< Group seconds.
    double stranded_ = 0; ///< VM seconds.

    [[nodiscard]] double cost(const Deployment &deployment) const
    {
        return deployment.downtimeWeight_ * downtime_ + deployment.strandedWeight_ * stranded_;
    }
    Totals &operator+=(const Totals &other)
    {
        downtime_ += other.downtime_;
        stranded_ += other.stranded_;
        return *this;
    }
};

/// Faults of one zone; the same seed gives the same faults at the same instants.
class Trace
{
public:
    Trace(PlannerFleet &fleet, std::uint64_t seed, Duration length)
        : fleet_(fleet)
        , random_(seed)
    {
        const Duration meanGap = minutes(6);
        for (Duration at = gap(meanGap); at < length; at += gap(meanGap))
            plan(at);
    }

private:
    Duration gap(Duration mean)
    {
        const double draw = -std::log(1 - random_.unit());
        return std::chrono::duration_cast<Duration>(mean * draw);
    }

    void plan(Duration at)
    {
        const auto domain = static_cast<std::uint32_t>(random_.below(fleet_.shape_.domains_));
        const VmId vm = PlannerFleet::vm(
            static_cast<std::uint32_t>(random_.below(fleet_.shape_.vmsPerDomain_)), domain);
        const std::uint64_t kind = random_.below(100);
        const Duration shortReturn = gap(seconds(45));
        if (kind < 25)
            planPause({vm}, at, shortReturn);
        else if (kind < 50)
            planDeath(vm, at, shortReturn);
        else if (kind < 85)
            planDeath(vm, at, minutes(20) + gap(minutes(20)));
        else if (kind < 95)
            planLeave(vm, at, minutes(2), minutes(10));
        else
            planPause(fleet_.vmsOf(domain), at, gap(minutes(5)));
    }

    void planPause(const std::vector<VmId> &vms, Duration at, Duration away)
    {
        for (const VmId &vm : vms) {
            fleet_.clock_.schedule(at, [this, vm, away] {
                if (fleet_.dead_.contains(vm))
                    return;
                fleet_.pauseVm(vm);
                fleet_.clock_.schedule(away, [this, vm] { fleet_.resumeVm(vm); });
            });
        }
    }

    void planDeath(const VmId &vm, Duration at, Duration away)
    {
        fleet_.clock_.schedule(at, [this, vm, away] {
            if (fleet_.dead_.contains(vm))
                return;
            fleet_.kill(vm);
            fleet_.clock_.schedule(away, [this, vm] { fleet_.restart(vm); });
        });
    }

    void planLeave(const VmId &vm, Duration at, Duration notice, Duration away)
    {
        fleet_.clock_.schedule(at, [this, vm] { fleet_.leaving_.insert(vm); });
        planDeath(vm, at + notice, away);
        fleet_.clock_.schedule(at + notice + away, [this, vm] { fleet_.leaving_.erase(vm); });
    }

    PlannerFleet &fleet_;
    Random random_;
};

double strandedVms(const PlannerFleet &fleet)
{
    std::size_t used = 0;
    for (const auto &[key, stored] : fleet.platform_.rows()) {
        if (key.table_ != groups::groupTable)
            continue;
        const auto decoded = groups::decodeGroupRow(stored.value_);
        const auto &members = valueOf(decoded).members_;
        bool isComplete = true;
        for (const VmId &member : members)
            isComplete &= !fleet.dead_.contains(member);
        used += isComplete ? members.size() : 0;
    }
    return static_cast<double>(fleet.vms_.size() - fleet.dead_.size()) - static_cast<double>(used);
}

using PolicyMaker = std::function<std::shared_ptr<const planning::RepairPolicy>()>;

struct Run
{
    Deployment deployment_;
    Duration loadTime_{};
    Duration length_{};
    std::string chartFolder_;
};

Totals runZone(const Run &run, const PolicyMaker &policy, std::uint64_t seed)
{
    FleetShape shape;
    shape.domains_ = run.deployment_.domains_;
    shape.vmsPerDomain_ = run.deployment_.vmsPerDomain_;
    shape.services_ = {modelService(run.deployment_.replicas_, run.deployment_.vmsPerReplica_)};
    shape.services_.front().loadTime_ = run.loadTime_;
    shape.policy_.downtimeWeight_ = run.deployment_.downtimeWeight_;
    shape.policy_.strandedWeight_ = run.deployment_.strandedWeight_;
    shape.chartFolder_ = run.chartFolder_;
    PlannerFleet fleet(shape);
    fleet.endpoints_.loadTime_ = run.loadTime_;
    fleet.addNode(0, Planner(policy()));
    const bool isReady = fleet.advanceUntil(
        [&] { return fleet.servingCount() == run.deployment_.replicas_; }, minutes(30));
    if (!isReady)
        std::printf("groups did not come up\n");
    Trace trace(fleet, seed, run.length_);
    Totals totals;
    const Duration step = seconds(1);
    for (Duration at{}; at < run.length_; at += step) {
        fleet.advance(step);
        totals.downtime_ += run.deployment_.replicas_
                            - std::min(fleet.servingCount(), run.deployment_.replicas_);
        totals.stranded_ += strandedVms(fleet);
        if (!fleet.isExclusive())
            std::printf("seed %lu: a VM is in two groups\n", seed);
    }
    return totals;
}

Totals runSeeds(const Run &run, const PolicyMaker &policy, std::uint64_t first)
{
    constexpr std::uint64_t seeds = 8;
    Totals totals;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        for (std::uint32_t zone = 0; zone < zones; ++zone)
            totals += runZone(run, policy, seed * 10 + zone);
    }
    return totals;
}

void report(const Run &run)
{
    const std::vector<std::pair<const char *, PolicyMaker>> policies{
        {"least cost", [] { return std::make_shared<planning::LeastCostPolicy>(); }},
        {"always wait", [] { return std::make_shared<planning::AlwaysWaitPolicy>(); }},
        {"always replace", [] { return std::make_shared<planning::AlwaysReplacePolicy>(); }}};
    for (const std::uint64_t first : {1, 101}) {
        for (const auto &[name, policy] : policies) {
            const Totals totals = runSeeds(run, policy, first);
            std::printf("| %s | %ld s | %s | %s | %.0f | %.0f | %.0f |\n", run.deployment_.name_,
                        static_cast<long>(toMilliseconds(run.loadTime_) / 1000),
                        first == 1 ? "tuning" : "held out", name, totals.downtime_,
                        totals.stranded_, totals.cost(run.deployment_));
            std::fflush(stdout);
        }
    }
}

} // namespace

int main(int count, char **arguments)
{
    const std::string folder = count > 1 ? arguments[1] : "charts";
    const Duration length = std::chrono::hours(count > 2 ? std::atol(arguments[2]) : 2);
    std::printf("| deployment | load time | seeds | policy | group downtime (s) "
                "| stranded (VM s) | weighted cost |\n|---|---|---|---|---|---|---|\n");
    const std::string only = count > 3 ? arguments[3] : "";
    for (const Deployment &deployment : {quieteSonora, wasata}) {
        if (!only.empty() && only != deployment.name_)
            continue;
        for (const Duration loadTime : {seconds(30), seconds(60), seconds(240)})
            report({deployment, loadTime, length, folder});
    }
}
