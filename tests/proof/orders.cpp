// A planner whose lease lapsed while it was paused changes no engine when it wakes.
#include "proof/scene.hpp"

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration untilRepairBegins = milliseconds(2500); ///< Freshness and a planner's round.
constexpr Duration observed = seconds(5);
constexpr Duration betweenLooks = milliseconds(100);

using Assignments = std::map<std::string, std::optional<endpoint::Assignment>>;

Assignments assignmentsOf(Scene &scene)
{
    Assignments assignments;
    for (const auto &[name, state] : scene.engineStates())
        assignments[name] = state.assignment_;
    return assignments;
}

support::FleetNode &entryNamed(Scene &scene, const std::string &name)
{
    auto &entries = scene.fleet().entries();
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&](const auto &entry) { return entry.name_ == name; });
    cr_assert(found != entries.end(), "no entry VM is the lease's holder '%s'", name.c_str());
    return *found;
}

/// Pauses the holder in the middle of a repair, lets another one take over and repair further
/// damage, and wakes the first one.
void checkPausedHolder(bool checksFencing)
{
    support::FleetPlan plan;
    plan.enginesPerDomain_ = 6;
    plan.checksFencing_ = checksFencing;
    plan.settings_ = "[intervals]\nlease_term = \"6s\"\n";
    Scene scene(plan);
    scene.expectAgreement(2);
    const std::string domain = scene.fleet().engines().front().domain_;
    const std::string former = scene.leaseHolder(domain);
    const auto pairs = scene.servingPairs();
    auto &holder = entryNamed(scene, former);

    scene.harness().kill(pairs.at(0).fellow_->process_);
    hold(untilRepairBegins);
    scene.harness().pause(holder.process_);
    scene.harness().kill(pairs.at(1).fellow_->process_);
    cr_assert(support::waitUntil([&] { return scene.leaseHolder(domain) != former; }));
    scene.expectAgreement(2);
    const auto before = assignmentsOf(scene);
    scene.harness().resume(holder.process_);

    for (Duration passed{}; passed < observed; passed += betweenLooks) {
        cr_assert(assignmentsOf(scene) == before, "an engine changed after %s woke: %s",
                  former.c_str(), scene.decisions().c_str());
        hold(betweenLooks);
    }
    scene.expectAgreement(2);
    scene.finish();
}

} // namespace

Test(proof, woken_planner_changes_no_engine_that_checks_fencing)
{
    checkPausedHolder(true);
}

Test(proof, woken_planner_changes_no_engine_that_ignores_fencing)
{
    checkPausedHolder(false);
}
