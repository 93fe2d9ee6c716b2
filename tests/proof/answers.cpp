// Callers get their own whole answers, and what they are told of runs is true.
#include "proof/scene.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::LinkFaults;

namespace {

constexpr std::uint32_t spoiledAnswers = 20;
constexpr std::uint64_t partOfAStream = 1500; ///< Bytes.
constexpr std::uint64_t partOfAHead = 40;

/// The default configuration with a shorter limit for completions.
std::string baseWithTimeout(const support::FleetPlan &plan, std::string_view timeout)
{
    constexpr std::string_view given = "request_timeout = \"30s\"";
    std::string base = support::Fleet(PROGRAM_FOLDER, SOURCE_FOLDER, plan).defaultBase();
    const auto at = base.find(given);
    cr_assert_neq(at, std::string::npos);
    return base.replace(at, given.size(), "request_timeout = \"" + std::string(timeout) + "\"");
}

struct AnswerFault
{
    LinkFaults faults_;
    Duration lasting_ = seconds(1);
};

std::vector<AnswerFault> answerFaults()
{
    std::vector<AnswerFault> all(6);
    all[0].faults_.toClient_.cutAfter_ = partOfAStream;
    all[1].faults_.toClient_.cutAfter_ = partOfAHead;
    all[2].faults_.toClient_.delay_ = seconds(3);
    all[2].lasting_ = seconds(5);
    all[3].faults_.duplicateAnswers_ = spoiledAnswers;
    all[4].faults_.replayAnswers_ = spoiledAnswers;
    all[5].faults_.swapAnswers_ = spoiledAnswers;
    return all;
}

} // namespace

Test(proof, spoiled_answers_of_endpoints_reach_no_caller)
{
    support::FleetPlan plan;
    plan.plainsPerZone_ = 2;
    plan.base_ = baseWithTimeout(plan, "2s");
    Scene scene(plan);

    for (const auto &fault : answerFaults()) {
        const auto pairs = scene.servingPairs();
        if (!pairs.empty()) {
            scene.links().setFaults("entry", pairs[0].leader_->name_, fault.faults_);
        }
        scene.links().setFaults("entry", scene.fleet().plains()[0].name_, fault.faults_);
        hold(fault.lasting_);
        scene.links().heal();
        scene.expectServing();
    }
    scene.finish();
}

Test(proof, keyed_calls_run_at_most_once_under_retries_elsewhere)
{
    support::FleetPlan plan;
    plan.plainsPerZone_ = 2;
    Scene scene(plan, {.streams_ = 0.1,
                       .whole_ = 0.1,
                       .markedStreams_ = 0.15,
                       .keyedBookings_ = 0.5,
                       .bookingTries_ = 4});
    for (const auto &node : scene.fleet().plains())
        support::Caller(node.address_).post("/test/behaviour", R"({"kind":"late","delay_ms":150})");
    LinkFaults lost;

    // Answers of the store are lost after its commits.
    lost.toClient_.drops_ = true;
    for (const auto &entry : scene.fleet().entries())
        scene.links().setFaults(entry.name_, "platform", lost);
    hold(seconds(2));
    scene.links().heal();
    scene.expectServing();

    // Callers lose their answers, and an entry VM dies with calls under way.
    LinkFaults cut;
    cut.toClient_.cutAfter_ = partOfAHead;
    scene.links().setFaults("caller", "", cut);
    hold(milliseconds(1500));
    scene.harness().kill(scene.fleet().entries()[0].process_);
    scene.links().heal();
    hold(seconds(1));
    scene.fleet().restart(scene.fleet().entries()[0]);
    scene.expectServing();

    // The store cannot be reached.
    LinkFaults refused;
    refused.refusesConnections_ = true;
    scene.links().setFaults("", "platform", refused);
    scene.links().cut("", "platform");
    hold(seconds(3));
    scene.links().heal();
    scene.finish();
}
