// Planned stops cut nothing off, configurations stay, and the platform's outage stops no service.
#include "proof/scene.hpp"

#include <algorithm>
#include <set>

#include <sys/wait.h>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration drainLimit = seconds(3);
constexpr Duration inForceLimit = seconds(5);
constexpr Duration observed = seconds(3);

/// Calls whose answer broke off, or that ran without any answer.
std::size_t cutOff(Scene &scene, std::span<const support::CallRecord> told)
{
    std::set<std::string> ran;
    for (const auto &run : scene.fleet().runs())
        ran.insert(run.callId_);
    return static_cast<std::size_t>(std::count_if(told.begin(), told.end(), [&](const auto &call) {
        const bool isBroken = call.status_ == 200 && !(call.isWhole_ && call.hasEnd_);
        return isBroken || (call.status_ == 0 && ran.contains(call.callId_));
    }));
}

/// Cuts an entry VM off from the store, and all entry VMs from each other.
void isolate(Scene &scene, const support::FleetNode &alone)
{
    scene.links().partition(alone.name_, "platform");
    for (const auto &entry : scene.fleet().entries()) {
        for (const auto &client : scene.fleet().entries())
            scene.links().partition(client.name_, entry.name_);
        scene.links().partition("entry", entry.name_);
    }
}

void setStoreDown(Scene &scene, bool isDown)
{
    support::Caller platform(scene.fleet().platform().address_);
    platform.post("/test/faults", isDown ? R"({"down":true})" : R"({"down":false})");
}

} // namespace

Test(proof, planned_stops_under_live_streams_cut_nothing_off)
{
    support::FleetPlan plan;
    plan.enginesPerDomain_ = 6;
    plan.engineArguments_ = {"--tokens-per-second", "50"};
    plan.settings_ = "[drain]\nannounce = \"500ms\"\n";
    Scene scene(plan, {.streams_ = 0.8, .whole_ = 0.1, .markedStreams_ = 0.1});
    const auto pair = scene.servingPairs().at(0);
    auto &stopped = scene.fleet().entries()[0];

    const auto drained = support::Caller(scene.fleet().entries()[1].peers_)
                             .post("/admin/drain/vm/" + pair.leader_->name_, "");
    scene.harness().terminate(stopped.process_);
    const int status = scene.harness().waitForExit(stopped.process_);
    hold(drainLimit);
    const auto before = scene.runsAt(*pair.leader_);
    hold(observed);
    const auto after = scene.runsAt(*pair.leader_);

    const auto told = scene.finish();
    cr_expect_eq(drained.status_, 200);
    cr_expect(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    cr_expect_eq(after, before, "the drained VM got work");
    cr_expect_eq(cutOff(scene, told), 0, "%s", support::summarize(told).c_str());
}

Test(proof, configuration_reaches_a_healed_entry_vm_and_never_reverts)
{
    Scene scene({});
    auto &entries = scene.fleet().entries();
    const auto former = scene.configVersion(2);

    isolate(scene, entries[2]);
    scene.fleet().apply(scene.fleet().defaultBase() + "[teams.green]\nweight = 1.0\n", {}, former);
    cr_assert(support::waitUntil(
        [&] { return scene.configVersion(0) > former && scene.configVersion(1) > former; }));
    const auto accepted = scene.configVersion(0);
    hold(seconds(1));
    cr_assert_eq(scene.configVersion(2), former, "the entry VM was not cut off");
    scene.links().heal();
    cr_expect(support::waitUntil([&] { return scene.configVersion(2) == accepted; }, inForceLimit),
              "not in force within 5 s of healing: %s", scene.decisions().c_str());

    setStoreDown(scene, true);
    for (const std::size_t replaced : {1, 2}) {
        scene.fleet().restart(entries[replaced]);
        cr_assert(support::waitUntil([&] { return scene.configVersion(replaced) == accepted; }),
                  "no configuration from peers: %s", scene.decisions().c_str());
        cr_expect_eq(scene.configVersion(0), accepted);
    }
    setStoreDown(scene, false);
    scene.finish();
    for (std::size_t entry = 0; entry < entries.size(); ++entry)
        cr_expect_eq(scene.configVersion(entry), accepted);
}

Test(proof, serving_goes_on_through_an_outage_of_the_platform)
{
    constexpr int rounds = 5;
    Scene scene({});
    support::LinkFaults refused;
    refused.refusesConnections_ = true;

    scene.links().setFaults("", "platform", refused);
    scene.links().cut("", "platform");
    for (int round = 0; round < rounds; ++round) {
        const auto before = scene.successes();
        hold(seconds(4));
        cr_expect_gt(scene.successes(), before, "no call succeeded in round %d", round);
    }
    scene.links().heal();

    scene.expectAgreement(2);
    scene.finish();
}
