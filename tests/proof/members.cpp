// No group serves while a member is missing, and a leaving endpoint gets no new work.
#include "proof/scene.hpp"

#include <functional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Twice the freshness of the settings' default.
constexpr Duration afterFreshness = seconds(4);
constexpr Duration observed = seconds(3);
constexpr Duration leavingLimit = seconds(3);

using Harm = std::function<void(Scene &, const ServingPair &)>;

/// Takes one member of a group away and checks that the group gets no new work once observations
/// of it have lapsed, while the other group serves; then brings the member back.
void checkLostMember(const Harm &harm, const Harm &end)
{
    Scene scene({});
    scene.expectAgreement(2);
    const auto pair = scene.servingPairs().at(0);

    harm(scene, pair);
    hold(afterFreshness);
    const auto before = scene.runsAt(*pair.leader_);
    const auto successes = scene.successes();
    hold(observed);

    cr_expect_eq(scene.runsAt(*pair.leader_), before, "%s got work while a member was missing",
                 pair.leader_->name_.c_str());
    cr_expect_gt(scene.successes(), successes, "the other group did not serve");
    end(scene, pair);
    scene.expectAgreement(2);
    scene.finish();
}

void heal(Scene &scene, const ServingPair &)
{
    scene.links().heal();
}

} // namespace

Test(proof, group_gets_no_work_while_a_member_is_dead)
{
    checkLostMember(
        [](Scene &scene, const ServingPair &pair) { scene.harness().kill(pair.fellow_->process_); },
        [](Scene &scene, const ServingPair &pair) { scene.fleet().restart(*pair.fellow_); });
}

Test(proof, group_gets_no_work_while_a_member_is_paused)
{
    checkLostMember([](Scene &scene,
                       const ServingPair &pair) { scene.harness().pause(pair.fellow_->process_); },
                    [](Scene &scene, const ServingPair &pair) {
                        scene.harness().resume(pair.fellow_->process_);
                    });
}

Test(proof, group_gets_no_work_while_answers_of_its_leader_are_held_back)
{
    checkLostMember(
        [](Scene &scene, const ServingPair &pair) {
            support::LinkFaults faults;
            faults.toClient_.isPartitioned_ = true;
            scene.links().setFaults("entry", pair.leader_->name_, faults);
        },
        heal);
}

Test(proof, group_gets_no_work_while_requests_to_a_member_are_lost)
{
    checkLostMember(
        [](Scene &scene, const ServingPair &pair) {
            support::LinkFaults faults;
            faults.toServer_.drops_ = true;
            scene.links().setFaults("entry", pair.fellow_->name_, faults);
        },
        heal);
}

Test(proof, leaving_vms_get_no_new_work_after_three_seconds)
{
    support::FleetPlan plan;
    plan.enginesPerDomain_ = 6;
    plan.plainsPerZone_ = 2;
    Scene scene(plan);
    const auto pair = scene.servingPairs().at(0);
    const auto &plain = scene.fleet().plains().at(0);

    scene.fleet().leave(*pair.leader_);
    scene.fleet().leave(plain);
    hold(leavingLimit);
    const auto engineRuns = scene.runsAt(*pair.leader_);
    const auto plainRuns = scene.runsAt(plain);
    hold(observed);

    cr_expect_eq(scene.runsAt(*pair.leader_), engineRuns, "the leaving engine got work");
    cr_expect_eq(scene.runsAt(plain), plainRuns, "the leaving plain endpoint got work");
    scene.finish();
}

Test(proof, dark_fabric_domain_is_replaced_and_agrees_when_it_is_back)
{
    support::FleetPlan plan;
    plan.domainsPerZone_ = 2;
    Scene scene(plan);
    scene.expectAgreement(2);
    const std::string dark = scene.servingPairs().at(0).leader_->domain_;

    for (const auto &node : scene.fleet().engines()) {
        if (node.domain_ == dark)
            scene.links().partition("entry", node.name_);
    }
    hold(afterFreshness);
    scene.expectServing();
    hold(observed);
    scene.links().heal();

    scene.expectAgreement(2);
    scene.finish();
}
