// Sessions under a paused clock, with fakes at every interface.
#include "session_bench.hpp"
#include "test_engine.hpp"
#include "test_entry.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct TwoGroups : SessionBench
{
    TwoGroups()
    {
        addGroup("lm/a/0");
        addGroup("lm/a/1");
        publish();
    }

    /// A stream whose caller has \p tokens tokens, from the first call.
    std::shared_ptr<FakeExchange> streamWith(std::uint64_t tokens)
    {
        auto exchange = send(true);
        call(0).begin();
        for (std::uint64_t index = 0; index < tokens; ++index) {
            call(0).receiveToken(index);
            exchange->completeWrite();
        }
        return exchange;
    }
};

std::uint64_t resumePosition(const FakeCall &call)
{
    net::ServerRequest request;
    request.body_ = call.request_.body_.view();
    return resumeFrom(request);
}

} // namespace

Test(sessions, slow_caller_holds_back_the_next_read)
{
    TwoGroups bench;
    const auto exchange = bench.send(true);
    bench.call(0).begin();

    bench.call(0).receiveToken(0);
    cr_assert_eq(bench.call(0).consumptions_, 0u);
    exchange->completeWrite();

    cr_assert_eq(bench.call(0).consumptions_, 1u);
    cr_assert(bench.call(0).pending_.empty());
}

Test(sessions, event_in_pieces_is_passed_on_once_it_is_whole)
{
    TwoGroups bench;
    const auto exchange = bench.send(true);
    bench.call(0).begin();
    const auto event = tokenEvent(bench.call(0).attempt(), 0);

    bench.call(0).receive(event.substr(0, 20));
    cr_assert(exchange->body_.empty());
    bench.call(0).receive(event.substr(20));

    cr_assert(contains(exchange->body_, "t0"));
}

Test(sessions, stalled_stream_goes_on_elsewhere)
{
    TwoGroups bench;
    const auto exchange = bench.streamWith(3);

    bench.advance(seconds(9));
    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
    bench.advance(seconds(2));

    cr_assert_eq(bench.upstream_.calls_.size(), 2u);
    cr_assert_eq(resumePosition(bench.call(1)), 3u);
    cr_assert_eq(bench.cancels_.requests_.size(), 1u);
}

Test(sessions, loss_of_a_group_during_a_write_waits_for_the_write)
{
    TwoGroups bench;
    const auto exchange = bench.send(true);
    bench.call(0).begin();
    bench.call(0).receiveToken(0);
    for (auto &group : bench.snapshot_.services_[0].groups_)
        group.generation_ = Generation(2);
    bench.publish();

    bench.advance(milliseconds(100));
    cr_assert_eq(bench.cancels_.requests_.size(), 1u);
    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
    exchange->completeWrite();
    bench.advance(milliseconds(100));

    cr_assert_eq(bench.upstream_.calls_.size(), 2u);
    cr_assert_eq(resumePosition(bench.call(1)), 1u);
}

Test(sessions, begun_stream_waits_for_a_group_and_then_fails_honestly)
{
    TwoGroups bench;
    const auto exchange = bench.streamWith(2);
    bench.snapshot_.services_[0].groups_.clear();
    bench.publish();

    bench.advance(seconds(9));
    cr_assert_not(exchange->isFinished_);
    bench.advance(seconds(2));
    exchange->completeWrite();

    cr_assert(exchange->isFinished_);
    cr_assert_eq(exchange->outcome_, "unknown");
    cr_assert(contains(exchange->body_, "event: error"));
    cr_assert_not(contains(exchange->body_, "[DONE]"));
}

Test(sessions, begun_stream_goes_on_when_a_group_comes_back_in_time)
{
    TwoGroups bench;
    const auto exchange = bench.streamWith(2);
    bench.snapshot_.services_[0].groups_.clear();
    bench.publish();
    bench.advance(seconds(5));

    bench.addGroup("lm/a/2");
    bench.publish();
    bench.advance(milliseconds(100));

    cr_assert_eq(bench.upstream_.calls_.size(), 2u);
    cr_assert_eq(resumePosition(bench.call(1)), 2u);
}

Test(sessions, group_with_another_model_version_does_not_go_on_with_a_stream)
{
    TwoGroups bench;
    const auto exchange = bench.streamWith(2);
    for (auto &group : bench.snapshot_.services_[0].groups_) {
        group.model_.version_ = ModelVersion("2");
        group.generation_ = Generation(2);
    }
    bench.publish();

    bench.advance(seconds(12));
    exchange->completeWrite();

    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
    cr_assert_eq(exchange->outcome_, "unknown");
}

Test(sessions, deadline_in_the_queue_is_told_as_not_run)
{
    SessionBench bench;
    bench.addGroup("lm/a/0").capacity_ = 1;
    bench.publish();
    const auto running = bench.send(true);

    const auto waiting = bench.send(true, {{"X-Deadline-Ms", "500"}});
    bench.advance(seconds(1));

    cr_assert(waiting->isFinished_);
    cr_assert_eq(waiting->outcome_, "not-run");
    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
}

Test(sessions, waiting_request_follows_as_soon_as_a_slot_is_free)
{
    SessionBench bench;
    bench.addGroup("lm/a/0").capacity_ = 1;
    bench.publish();
    const auto running = bench.send(true);
    const auto waiting = bench.send(true);
    cr_assert_eq(bench.upstream_.calls_.size(), 1u);

    running->lost_();
    bench.runPosted();

    cr_assert_eq(bench.upstream_.calls_.size(), 2u);
}

Test(sessions, claim_that_comes_after_the_deadline_is_given_back)
{
    SessionBench bench;
    bench.addGroup("lm/a/0");
    bench.publish();
    bench.control_.holdsClaims_ = true;
    const auto exchange = bench.send(
        true, {{"X-Non-Idempotent", "true"}, {"Idempotency-Key", "k"}, {"X-Deadline-Ms", "500"}});
    bench.advance(seconds(1));
    cr_assert_eq(exchange->outcome_, "not-run");

    bench.control_.heldClaim_({traffic::ClaimVerdict::Granted, {}, {}});
    bench.runPosted();

    cr_assert_eq(bench.control_.completions_.size(), 1u);
    cr_assert(bench.control_.completions_[0].outcome_ == outcomes::Outcome::NotRun);
    cr_assert(bench.upstream_.calls_.empty());
}

Test(sessions, cut_at_the_drain_limit_is_told_and_cancelled)
{
    TwoGroups bench;
    const auto exchange = bench.streamWith(2);

    bench.worker_->cutSessions();
    exchange->completeWrite();
    bench.runPosted();

    cr_assert(exchange->isFinished_);
    cr_assert_eq(exchange->outcome_, "unknown");
    cr_assert_eq(bench.cancels_.requests_.size(), 1u);
    cr_assert_eq(bench.state_.inFlight_.load(), 0u);
}

Test(sessions, every_end_of_a_session_frees_its_slot)
{
    SessionBench bench;
    bench.addGroup("lm/a/0").capacity_ = 1;
    bench.publish();

    for (std::size_t round = 0; round < 4; ++round) {
        const auto exchange = bench.send(true, {{"X-Deadline-Ms", "400"}});
        cr_assert_eq(bench.upstream_.calls_.size(), round + 1, "round %zu", round);
        if (round == 0)
            exchange->lost_();
        if (round == 1)
            bench.worker_->cutSessions();
        bench.advance(seconds(1));
        cr_assert_eq(bench.state_.inFlight_.load(), 0u);
    }
    const auto report = bench.dispatcher_.report(*bench.control_.snapshot(), bench.clock_.now());
    cr_assert(report.inFlight_.empty());
}

namespace {

/// A keyed call that may run only once; its claim has to be used within 500 ms.
struct KeyedCall : TwoGroups
{
    KeyedCall()
    {
        control_.claimAnswer_.verdict_ = traffic::ClaimVerdict::Granted;
        control_.claimAnswer_.handOverBefore_ = clock_.now() + milliseconds(500);
        exchange_ = send(true, {{"X-Non-Idempotent", "true"}, {"Idempotency-Key", "k"}});
    }

    std::shared_ptr<FakeExchange> exchange_;
};

} // namespace

Test(sessions, claim_that_lapses_before_the_first_byte_hands_nothing_over)
{
    KeyedCall bench;
    bench.advance(milliseconds(500));

    cr_assert_not(bench.call(0).begin());
    bench.runPosted();

    cr_assert_eq(bench.exchange_->head_.status_, 503u);
    cr_assert_eq(bench.exchange_->outcome_, "not-run");
    cr_assert_neq(bench.exchange_->head_.field("Retry-After"), "");
    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
    cr_assert_eq(bench.control_.completions_.size(), 1u);
    cr_assert(bench.control_.completions_[0].outcome_ == outcomes::Outcome::NotRun);
}

Test(sessions, claim_in_time_hands_over)
{
    KeyedCall bench;
    bench.advance(milliseconds(480));

    cr_assert(bench.call(0).begin());
}

Test(sessions, claim_that_lapses_between_two_attempts_starts_no_other)
{
    KeyedCall bench;
    bench.advance(milliseconds(480));

    bench.call(0).fail(false);
    bench.advance(seconds(2));

    cr_assert_eq(bench.upstream_.calls_.size(), 1u);
    cr_assert_eq(bench.exchange_->outcome_, "not-run");
    cr_assert(bench.control_.completions_[0].outcome_ == outcomes::Outcome::NotRun);
}
