// Records from which "cardamombayctl explain request" is made.
#include "session_bench.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

namespace {

struct Recorded : SessionBench
{
    Recorded()
    {
        addGroup("lm/a/0");
        addGroup("lm/a/1");
        publish();
    }

    [[nodiscard]] std::vector<std::string> events() const
    {
        std::vector<std::string> names;
        for (const auto &decision : control_.decisions_)
            names.push_back(decision.event_);
        return names;
    }
};

void finish(SessionBench &bench, std::size_t index)
{
    bench.call(index).begin();
    bench.call(index).receive("data: [DONE]\n\n");
    bench.advance(std::chrono::milliseconds(20));
}

} // namespace

Test(decisions, finished_request_tells_admission_route_attempt_and_outcome)
{
    Recorded bench;
    const auto exchange = bench.send(true);
    finish(bench, 0);
    exchange->completeWrite();
    bench.runPosted();

    const auto events = bench.events();
    cr_assert_eq(events.size(), 4u);
    cr_assert_eq(events[0], "request-admitted");
    cr_assert_eq(events[2], "attempt-finished");
    cr_assert_eq(events[3], "request-finished");
    const auto &route = bench.control_.decisions_[1];
    cr_assert_not(route.alternatives_.empty());
    cr_assert_eq(route.subject_, exchange->head_.field("X-Request-Id"));
}

Test(decisions, retried_request_tells_each_attempt)
{
    Recorded bench;
    const auto exchange = bench.send(true);
    bench.call(0).fail(false);
    bench.advance(std::chrono::seconds(1));
    finish(bench, 1);
    exchange->completeWrite();
    bench.runPosted();

    const auto events = bench.events();
    const auto count
        = [&](const char *name) { return std::count(events.begin(), events.end(), name); };
    cr_assert_eq(count("attempt-failed"), 1);
    cr_assert_eq(count("request-retried"), 1);
    cr_assert_eq(count("attempt-finished"), 1);
}

Test(decisions, request_refused_before_its_session_tells_why)
{
    Recorded bench;
    bench.state_.isRefusing_ = true;

    const auto exchange = bench.send(false);

    cr_assert_eq(bench.control_.decisions_.size(), 1u);
    cr_assert_eq(bench.control_.decisions_[0].choice_, "draining");
    cr_assert_eq(bench.control_.decisions_[0].subject_, exchange->head_.field("X-Request-Id"));
}

Test(decisions, flood_of_requests_records_a_limited_number)
{
    Recorded bench;
    bench.snapshot_.services_[0].groups_.clear();
    bench.publish();

    for (int request = 0; request < 500; ++request)
        (void)bench.send(false);

    cr_assert_gt(bench.control_.decisions_.size(), 0u);
    cr_assert_leq(bench.control_.decisions_.size(), 200u);
}
