// Tests what becomes of requests with a deadly part in each state, and of the endpoints that fail
// them.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto deadlyParts = "a:40,dead:90,f1:200";
constexpr auto soundParts = "a:40,b:90,f2:200";
constexpr auto event = "id: 1\ndata: x\n\n";

std::shared_ptr<CallerView> ask(GatewayFixture &fixture, const std::string &parts,
                                const std::string &path = "/stream/7")
{
    return askWithParts(fixture.gateway_, path, "m", "key-a", parts);
}

/// Reports crashes of two endpoints that had begun different requests with the deadly part, as seen
/// by other entry VMs.
void accuse(GatewayFixture &fixture)
{
    for (std::uint64_t i = 1; i <= 2; ++i) {
        PoisonUpdate update;
        update.crashes_[{VmId("gone-" + std::to_string(i)), 1}] = {
            {RequestFingerprint(i), false, true}, {sharedParts(deadlyParts).back(), false, true}};
        fixture.gateway_.takePoisonUpdate(update);
        fixture.pass(milliseconds(300));
    }
}

void convict(GatewayFixture &fixture)
{
    accuse(fixture);
    fixture.pass(PoisonPills::objectionPeriod);
}

} // namespace

Test(prompt_part_sessions, new_request_with_the_part_is_refused_and_others_are_sent)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    convict(fixture);
    const auto refused = ask(fixture, deadlyParts, "/stream/8");
    cr_assert_eq(refused->status(), 503);
    cr_assert_neq(refused->answer_->body_.find("ends the endpoints"), std::string::npos);
    (void)ask(fixture, soundParts);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(prompt_part_sessions, request_waits_for_the_verdict_without_being_sent)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    accuse(fixture);
    const auto caller = ask(fixture, deadlyParts);
    fixture.pass(milliseconds(100));
    cr_assert_not(caller->answer_);
    cr_assert(fixture.upstream_.calls_.empty());
    fixture.pass(PoisonPills::objectionPeriod);
    cr_assert_eq(caller->status(), 503);
    cr_assert(fixture.upstream_.calls_.empty());
}

Test(prompt_part_sessions, request_that_waits_for_a_verdict_is_sent_once_the_part_is_vouched_for)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    accuse(fixture);
    (void)ask(fixture, deadlyParts);
    PoisonUpdate update;
    update.vouched_ = {sharedParts(deadlyParts).back()};
    fixture.gateway_.takePoisonUpdate(update);
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(prompt_part_sessions, request_held_for_room_is_refused_as_not_run)
{
    GatewayFixture fixture;
    const auto caller = ask(fixture, deadlyParts);
    cr_assert_not(caller->answer_);
    convict(fixture);
    cr_assert_eq(caller->status(), 503);
}

Test(prompt_part_sessions, request_in_the_queue_of_an_endpoint_is_taken_back)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const auto caller = ask(fixture, deadlyParts);
    fixture.lastCall()->connect();
    convict(fixture);
    cr_assert(fixture.lastCall()->isDropped());
    cr_assert_eq(caller->status(), 502);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
}

Test(prompt_part_sessions, request_whose_endpoint_crashes_is_not_sent_on)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    fixture.addGroup("head-2");
    const auto caller = ask(fixture, deadlyParts);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    accuse(fixture);
    fixture.lastCall()->fail(true);
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    fixture.pass(PoisonPills::objectionPeriod);
    cr_assert_eq(fixture.upstream_.calls_.size(), 1);
    cr_assert_eq(caller->status(), 502);
}

Test(prompt_part_sessions, relayed_request_with_the_part_is_refused)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    convict(fixture);
    const auto caller
        = askRelayed(fixture.gateway_, "/stream/7", "m", "key-a", {{"parts", deadlyParts}});
    cr_assert_eq(caller->status(), 503);
    cr_assert(fixture.upstream_.calls_.empty());
}

Test(prompt_part_sessions, answer_of_half_a_second_clears_the_parts_of_its_prompt)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    const auto parts = sharedParts(soundParts);
    PoisonUpdate update;
    update.crashes_[{VmId("gone"), 1}] = {{parts.back(), false, true}};
    fixture.gateway_.takePoisonUpdate(update);
    fixture.pass(milliseconds(20));
    (void)ask(fixture, soundParts);
    fixture.lastCall()->connect();
    fixture.lastCall()->sealedHead();
    fixture.lastCall()->data(event);
    cr_assert(fixture.gateway_.poisonPills().isSuspect(parts.back()));
    fixture.pass(milliseconds(520));
    fixture.lastCall()->data("id: 2\ndata: x\n\n");
    cr_assert_not(fixture.gateway_.poisonPills().isSuspect(parts.back()));
}

Test(prompt_part_sessions, failed_answer_clears_no_part)
{
    GatewayFixture fixture;
    fixture.addGroup("head-1");
    const auto parts = sharedParts(soundParts);
    PoisonUpdate update;
    update.crashes_[{VmId("gone"), 1}] = {{parts.back(), false, true}};
    fixture.gateway_.takePoisonUpdate(update);
    fixture.pass(milliseconds(20));
    (void)ask(fixture, soundParts, "/raw/7");
    fixture.lastCall()->connect();
    fixture.lastCall()->head(504, {{"seal", "s"}});
    if (!fixture.lastCall()->isDropped())
        fixture.lastCall()->end("late");
    cr_assert(fixture.gateway_.poisonPills().isSuspect(parts.back()));
}

Test(prompt_part_sessions, part_that_every_endpoint_fails_does_not_have_them_all_avoided)
{
    GatewayFixture fixture;
    for (int i = 0; i < 6; ++i)
        fixture.addGroup("head-" + std::to_string(i));
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i) {
        const auto before = fixture.upstream_.calls_.size();
        (void)ask(fixture, deadlyParts, "/stream/fails-" + std::to_string(i));
        for (auto call = before; call < fixture.upstream_.calls_.size(); ++call) {
            fixture.upstream_.calls_[call]->connect();
            fixture.upstream_.calls_[call]->head(500, {{"seal", "s"}});
            if (!fixture.upstream_.calls_[call]->isDropped())
                fixture.upstream_.calls_[call]->end("sorry");
        }
        const auto calls = fixture.upstream_.calls_.size();
        (void)ask(fixture, soundParts, "/stream/" + std::to_string(i));
        if (fixture.upstream_.calls_.size() > calls) {
            ++sent;
            fixture.lastCall()->connect();
            fixture.lastCall()->sealedHead();
            fixture.lastCall()->data(event);
            fixture.lastCall()->end("");
        }
        fixture.pass(milliseconds(100));
    }
    cr_assert_geq(sent, 19);
}
