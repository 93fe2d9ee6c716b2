// What the shared decisions learn of the groups, and what they tell the control thread.
#include "session_bench.hpp"

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string groupOf(const FakeCall &call)
{
    for (const auto &field : call.request_.fields_) {
        if (field.name_ == "X-Group")
            return field.value_;
    }
    return {};
}

/// One whole stream at the bench's latest call.
void streamWhole(SessionBench &bench, Duration perToken)
{
    constexpr std::uint64_t tokens = 6;
    const auto exchange = bench.send(true);
    auto &call = *bench.upstream_.calls_.back();
    const bool isSlow = groupOf(call) == "lm/a/0";
    call.begin();
    for (std::uint64_t index = 0; index < tokens; ++index) {
        bench.advance(isSlow ? perToken * 10 : perToken);
        call.receiveToken(index);
        exchange->completeWrite();
    }
    call.receive("data: [DONE]\n\n");
    exchange->completeWrite();
    bench.runPosted();
}

/// Fails the only group until its circuit is open, and waits until it may be tried again.
void openCircuit(SessionBench &bench)
{
    traffic::RouteQuery query;
    query.service_ = ServiceName("lm");
    for (int failure = 0; failure < 3; ++failure) {
        const auto now = bench.clock_.now();
        const auto choice = bench.dispatcher_.startAttempt(*bench.control_.snapshot(), query, now);
        bench.dispatcher_.finishAttempt(choice.group_->group_, traffic::GroupResult::Failed, {},
                                        now);
    }
    bench.advance(seconds(1));
}

} // namespace

Test(dispatch, group_with_slow_tokens_gets_no_new_streams)
{
    SessionBench bench;
    for (int index = 0; index < 4; ++index)
        bench.addGroup("lm/a/" + std::to_string(index));
    bench.publish();
    for (int stream = 0; stream < 80; ++stream)
        streamWhole(bench, milliseconds(40));
    const auto learned = bench.upstream_.calls_.size();
    // The view of a service is worked out once for each snapshot.
    bench.publish();

    for (int stream = 0; stream < 20; ++stream)
        streamWhole(bench, milliseconds(20));

    const auto begin = bench.upstream_.calls_.begin() + static_cast<std::ptrdiff_t>(learned);
    cr_assert_eq(std::count_if(begin, bench.upstream_.calls_.end(),
                               [](const auto &call) { return groupOf(*call) == "lm/a/0"; }),
                 0);
}

Test(dispatch, circuit_on_trial_closes_with_the_head_of_an_answer)
{
    SessionBench bench;
    bench.addGroup("lm/a/0");
    bench.publish();
    openCircuit(bench);

    (void)bench.send(true);
    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
    bench.call(0).begin();
    (void)bench.send(true);

    cr_assert_eq(bench.upstream_.calls_.size(), 2u);
}

Test(dispatch, demand_is_taken_once_for_each_digest)
{
    SessionBench bench;
    bench.addGroup("lm/a/0");
    bench.publish();
    (void)bench.send(true);

    bench.advance(milliseconds(300));
    cr_assert(bench.control_.lastReport_.demand_.empty());
    cr_assert_eq(bench.control_.lastReport_.inFlight_.size(), 1u);
    bench.advance(milliseconds(400));

    cr_assert_eq(bench.control_.lastReport_.demand_.size(), 1u);
}
