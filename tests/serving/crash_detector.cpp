// Tests CrashDetector: tells a crashed endpoint from one that only broke off an answer.
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

/// A detector that records its reports.
struct DetectorFixture
{
    DetectorFixture()
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

Test(crash_detector, endpoint_that_refuses_connections_has_crashed)
{
    DetectorFixture fixture;
    fixture.upstream_.ended_.insert(address);
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.detector_.onAttemptBroken(engine, address, request(2, true));
    fixture.pass(milliseconds(40));
    cr_assert_eq(fixture.crashes_.size(), 1);
    cr_assert_eq(fixture.crashes_[0].endpoint_, engine);
    cr_assert_eq(fixture.crashes_[0].requests_.size(), 2);
    cr_assert_eq(fixture.upstream_.probes_, 1);
}

Test(crash_detector, endpoint_that_still_listens_has_not_crashed)
{
    DetectorFixture fixture;
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.pass(milliseconds(100));
    cr_assert(fixture.crashes_.empty());
    // The next broken answer is investigated again.
    fixture.upstream_.ended_.insert(address);
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.crashes_.size(), 1);
}

Test(crash_detector, endpoint_that_stops_listening_after_its_connections_break_has_crashed)
{
    DetectorFixture fixture;
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.upstream_.ended_.insert(address);
    fixture.pass(milliseconds(60));
    cr_assert_eq(fixture.crashes_.size(), 1);
}

/// The listener of a terminating process resets connections that it has accepted but not handed on.
Test(crash_detector, endpoint_whose_closing_listener_resets_the_probe_has_crashed)
{
    DetectorFixture fixture;
    fixture.upstream_.resets_[address] = 2;
    fixture.upstream_.ended_.insert(address);
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.pass(milliseconds(80));
    cr_assert_eq(fixture.crashes_.size(), 1);
}

Test(crash_detector, endpoint_whose_connections_are_all_reset_has_not_crashed)
{
    DetectorFixture fixture;
    fixture.upstream_.resets_[address] = 1000;
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.pass(milliseconds(500));
    cr_assert(fixture.crashes_.empty());
    cr_assert_leq(fixture.upstream_.probes_, 4);
}

Test(crash_detector, request_that_breaks_later_is_reported_for_the_same_crash)
{
    DetectorFixture fixture;
    fixture.upstream_.ended_.insert(address);
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.pass(milliseconds(100));
    fixture.detector_.onAttemptBroken(engine, address, request(2));
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.crashes_.size(), 2);
    cr_assert_eq(fixture.crashes_[1].requests_.size(), 1);
    cr_assert_eq(fixture.crashes_[1].endpoint_, engine);
}

Test(crash_detector, endpoint_listed_as_restarted_has_crashed)
{
    DetectorFixture fixture;
    fixture.detector_.onAttemptBroken(engine, address, request(1));
    fixture.detector_.endpointRestarted(engine);
    fixture.pass(milliseconds(100));
    cr_assert_eq(fixture.crashes_.size(), 1);
}

Test(crash_detector, fingerprint_covers_method_host_target_team_and_body)
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
