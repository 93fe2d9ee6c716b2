// An endpoint that ends under its requests is told from one that only broke an answer off.
#include "support/gateway_fixture.hpp"

#include <cardamombay/serving/crash_detector.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;

namespace {

const Address address{"10.0.0.2", 80};
const EndpointIncarnation engine{VmId("e-1"), 7};

/// A detector whose reports are kept.
struct Bench
{
    Bench()
    {
        detector_.onCrash([this](const EndpointCrash &crash) { crashes_.push_back(crash); });
    }

    void pass(Duration time)
    {
        for (Duration passed{}; passed < time; passed += Gateway::sweepPeriod) {
            clock_.advance(Gateway::sweepPeriod);
            detector_.sweep();
        }
    }

    ManualClock clock_;
    FakeUpstream upstream_;
    CrashDetector detector_{clock_, upstream_};
    std::vector<EndpointCrash> crashes_;
};

RequestAtCrash request(std::uint64_t number, bool hadEvents = false)
{
    return {RequestFingerprint(number), hadEvents};
}

} // namespace

Test(crash_detector, endpoint_at_which_nobody_listens_any_more_has_ended)
{
    Bench bench;
    bench.upstream_.ended_.insert(address);
    bench.detector_.attemptBroke(engine, address, request(1));
    bench.detector_.attemptBroke(engine, address, request(2, true));
    bench.pass(milliseconds(40));
    cr_assert_eq(bench.crashes_.size(), 1);
    cr_assert_eq(bench.crashes_[0].endpoint_, engine);
    cr_assert_eq(bench.crashes_[0].requests_.size(), 2);
    cr_assert_eq(bench.upstream_.probes_, 1);
}

Test(crash_detector, endpoint_that_still_listens_has_only_broken_an_answer_off)
{
    Bench bench;
    bench.detector_.attemptBroke(engine, address, request(1));
    bench.pass(milliseconds(100));
    cr_assert(bench.crashes_.empty());
    // The next broken answer is looked into anew.
    bench.upstream_.ended_.insert(address);
    bench.detector_.attemptBroke(engine, address, request(1));
    bench.pass(milliseconds(100));
    cr_assert_eq(bench.crashes_.size(), 1);
}

Test(crash_detector, endpoint_that_listens_for_a_moment_longer_than_its_connections_has_ended)
{
    Bench bench;
    bench.detector_.attemptBroke(engine, address, request(1));
    bench.upstream_.ended_.insert(address);
    bench.pass(milliseconds(60));
    cr_assert_eq(bench.crashes_.size(), 1);
}

Test(crash_detector, request_that_breaks_later_is_reported_once_more_for_the_same_end)
{
    Bench bench;
    bench.upstream_.ended_.insert(address);
    bench.detector_.attemptBroke(engine, address, request(1));
    bench.pass(milliseconds(100));
    bench.detector_.attemptBroke(engine, address, request(2));
    bench.pass(milliseconds(100));
    cr_assert_eq(bench.crashes_.size(), 2);
    cr_assert_eq(bench.crashes_[1].requests_.size(), 1);
    cr_assert_eq(bench.crashes_[1].endpoint_, engine);
}

Test(crash_detector, endpoint_that_is_listed_with_a_new_start_has_ended)
{
    Bench bench;
    bench.detector_.attemptBroke(engine, address, request(1));
    bench.detector_.endpointRestarted(engine);
    bench.pass(milliseconds(100));
    cr_assert_eq(bench.crashes_.size(), 1);
}

Test(crash_detector, fingerprint_is_of_method_host_target_team_and_body)
{
    const RequestContent content{"POST", "h", "/a", TeamName("t"), "body"};
    const auto same = fingerprintOf(content);
    cr_assert_eq(fingerprintOf(content), same);
    cr_assert_eq(*RequestFingerprint::parse(same.text()), same);
    for (const auto &other :
         std::initializer_list<RequestContent>{{"GET", "h", "/a", TeamName("t"), "body"},
                                               {"POST", "i", "/a", TeamName("t"), "body"},
                                               {"POST", "h", "/b", TeamName("t"), "body"},
                                               {"POST", "h", "/a", TeamName("u"), "body"},
                                               {"POST", "h", "/a", TeamName("t"), "bodies"},
                                               {"POST", "ha", "/", TeamName("t"), "body"}})
        cr_assert_neq(fingerprintOf(other), same);
    cr_assert_not(RequestFingerprint::parse("12"));
    cr_assert_not(RequestFingerprint::parse("00000000000000zz"));
}
