// The whole path with real processes: caller, entry VM, group of engine VMs, and back.
#include "fleet.hpp"

#include "support/engine_standin.hpp"

#include <future>
#include <string>
#include <vector>

#include <sys/wait.h>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

namespace {

constexpr std::uint64_t seed = 11;

support::CompletionCall completion(std::uint32_t tokens)
{
    support::CompletionCall call;
    call.service_ = "lm";
    call.team_ = "studio";
    call.prompt_ = "a script for the evening";
    call.tokens_ = tokens;
    call.seed_ = seed;
    return call;
}

/// True if the answer is whole and has exactly the tokens that the request stands for.
bool isWholeAnswer(const support::CompletionAnswer &answer, std::uint32_t tokens)
{
    const support::CompletionInput input{"m", "1", "a script for the evening", seed};
    return answer.isComplete() && answer.tokens_ == tokens
           && answer.text_ == support::completionText(input, 0, tokens);
}

std::future<support::CompletionAnswer> startStream(const Address &entry, std::uint32_t tokens)
{
    return std::async(std::launch::async, [entry, tokens] {
        return support::Caller(entry).complete(completion(tokens));
    });
}

/// Starts a stream and waits until its caller has some of it.
struct LiveStream
{
    LiveStream(Fleet &fleet, std::uint32_t tokens)
    {
        const auto before = fleet.tokensRelayed(0);
        answer_ = startStream(fleet.entry(0), tokens);
        cr_assert(support::waitUntil([&] { return fleet.tokensRelayed(0) > before + 10; }));
        engine_ = fleet.runningEngine();
        cr_assert_lt(engine_, fleet.engines());
    }

    std::future<support::CompletionAnswer> answer_;
    std::size_t engine_ = 0;
};

} // namespace

Test(thin_path, streamed_completion_arrives_whole_through_every_entry_vm)
{
    Fleet fleet;
    fleet.waitUntilServing(2);

    for (std::size_t index = 0; index < 3; ++index) {
        const auto answer = support::Caller(fleet.entry(index)).complete(completion(40));
        cr_assert(isWholeAnswer(answer, 40), "%s", answer.result_.body_.c_str());
    }
}

Test(thin_path, whole_completion_and_chat_arrive)
{
    Fleet fleet({2, 1});
    fleet.waitUntilServing(1);
    auto call = completion(12);
    call.isStream_ = false;
    const auto whole = support::Caller(fleet.entry(0)).complete(call);
    call.isChat_ = true;
    const auto chat = support::Caller(fleet.entry(0)).complete(call);

    cr_assert(isWholeAnswer(whole, 12), "%s", whole.result_.body_.c_str());
    cr_assert_eq(whole.outcome_, "ran");
    cr_assert(chat.isComplete());
    cr_assert_eq(chat.tokens_, 12u);
}

Test(thin_path, plain_call_passes_through)
{
    Fleet fleet({2, 1});
    fleet.waitUntilServing(1);

    const auto result = support::Caller(fleet.entry(0))
                            .post("/app/bookings", R"({"slot":9})", {{"X-Team", "studio"}});

    cr_assert_eq(result.status_, 200u, "%s", result.body_.c_str());
    cr_assert_eq(result.field("X-Outcome"), "ran");
    cr_assert_neq(result.body_.find("slot"), std::string::npos);
}

Test(thin_path, stream_goes_on_elsewhere_when_the_leader_dies)
{
    Fleet fleet({4, 1, 200});
    fleet.waitUntilServing(2);
    LiveStream stream(fleet, 600);

    fleet.harness_.kill(fleet.engineProcess(stream.engine_));

    const auto answer = stream.answer_.get();
    cr_assert(isWholeAnswer(answer, 600), "%s", answer.result_.body_.c_str());
    const auto log = fleet.harness_.errors(fleet.entryProcess(0));
    cr_assert_neq(log.find("event=stream-resumed"), std::string::npos, "%s", log.c_str());
}

Test(thin_path, stream_leaves_a_group_that_lost_another_member)
{
    Fleet fleet({4, 1, 100});
    fleet.waitUntilServing(2);
    LiveStream stream(fleet, 400);

    fleet.harness_.kill(fleet.engineProcess(fleet.fellowOf(stream.engine_)));

    const auto answer = stream.answer_.get();
    cr_assert(isWholeAnswer(answer, 400), "%s", answer.result_.body_.c_str());
    const auto log = fleet.harness_.errors(fleet.entryProcess(0));
    cr_assert_neq(log.find("event=stream-resumed"), std::string::npos, "%s", log.c_str());
}

Test(thin_path, stop_signal_under_live_streams_cuts_nothing_off)
{
    Fleet fleet({4, 2, 200});
    fleet.waitUntilServing(2);
    std::vector<std::future<support::CompletionAnswer>> streams;
    for (int index = 0; index < 8; ++index)
        streams.push_back(startStream(fleet.entry(0), 600));
    cr_assert(support::waitUntil([&] { return fleet.runningEngine() != 4; }));

    fleet.harness_.terminate(fleet.entryProcess(0));

    // The health check fails first; then new work is refused as not run; then the process ends.
    cr_assert(support::waitUntil(
        [&] { return support::Caller(fleet.entry(0)).fetch("/readyz").status_ == 503; }));
    support::CompletionAnswer refused;
    cr_assert(support::waitUntil([&] {
        refused = support::Caller(fleet.entry(0)).complete(completion(1));
        return refused.result_.status_ == 503;
    }));
    cr_assert_eq(refused.outcome_, "not-run");
    for (auto &stream : streams) {
        const auto answer = stream.get();
        cr_assert(isWholeAnswer(answer, 600), "%s", answer.result_.body_.c_str());
    }
    const int status = fleet.harness_.waitForExit(fleet.entryProcess(0));
    cr_assert(WIFEXITED(status));
    cr_assert_eq(WEXITSTATUS(status), 0);
    cr_assert(support::Caller(fleet.entry(1)).complete(completion(4)).isComplete());
}
