#include "support/process_harness.hpp"

#include <cardamombay/load/load_plot.hpp>
#include <cardamombay/load/load_run.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sstream>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::load;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

Workload steadyPlainCalls(double rate)
{
    Workload workload;
    workload.name_ = "steady";
    workload.duration_ = seconds(2);
    workload.profile_ = {{Duration{}, rate}, {std::chrono::hours(1), rate}};
    workload.teams_ = {{"red", "", 1}};
    RequestClass read;
    read.name_ = "read";
    read.kind_ = RequestKind::Plain;
    read.isStream_ = false;
    workload.requests_ = {read};
    return workload;
}

struct Fixture
{
    ProcessHarness harness_{PROGRAM_FOLDER};
    ProcessId endpoint_ = harness_.start("plain", harness_.program("plain_standin"), {});
    Address address_{"127.0.0.1", harness_.waitForPort(endpoint_)};
    boost::asio::io_context context_{1};
    LoadReport report_;

    void run(const Workload &workload)
    {
        LoadRun loadRun(context_, workload, {address_});
        loadRun.start([&](const LoadReport &report) { report_ = report; });
        context_.run();
    }

    [[nodiscard]] std::uint64_t count(CallOutcome outcome) const
    {
        return report_.classes_[0].outcomes_[static_cast<std::size_t>(outcome)];
    }
};

} // namespace

Test(load_run, every_offered_call_is_counted_once)
{
    Fixture fixture;

    fixture.run(steadyPlainCalls(100));

    cr_assert_gt(fixture.report_.classes_[0].offered_, 100);
    cr_assert_eq(fixture.count(CallOutcome::Complete), fixture.report_.classes_[0].offered_);
    cr_assert_eq(fixture.report_.classes_[0].total_.count(), fixture.report_.classes_[0].offered_);
}

Test(load_run, pause_of_the_server_shows_in_the_latency_of_all_calls_that_fell_due)
{
    Fixture fixture;
    boost::asio::steady_timer stop(fixture.context_, milliseconds(500));
    boost::asio::steady_timer go(fixture.context_, milliseconds(1500));
    stop.async_wait([&](auto) { fixture.harness_.pause(fixture.endpoint_); });
    go.async_wait([&](auto) { fixture.harness_.resume(fixture.endpoint_); });

    fixture.run(steadyPlainCalls(100));

    // Half of the calls fell due in the pause; four in five of those waited over 200 ms. A tool
    // that waits for answers before it sends would show one slow call.
    const auto &total = fixture.report_.classes_[0].total_;
    cr_assert(total.percentile(70) > milliseconds(200));
    cr_assert(total.percentile(98) > milliseconds(700));
}

Test(load_run, calls_beyond_the_bound_are_left_out_and_counted)
{
    Fixture fixture;
    auto workload = steadyPlainCalls(100);
    workload.maxInFlight_ = 5;
    workload.timeout_ = milliseconds(300);
    fixture.harness_.pause(fixture.endpoint_);

    fixture.run(workload);

    cr_assert_gt(fixture.report_.skipped_, 50);
    cr_assert_eq(fixture.count(CallOutcome::NoAnswer) + fixture.report_.skipped_,
                 fixture.report_.classes_[0].offered_);
}

Test(load_run, report_files_hold_the_figures)
{
    Fixture fixture;
    fixture.run(steadyPlainCalls(50));
    std::ostringstream summary;
    std::ostringstream secondsCsv;
    std::ostringstream picture;

    writeSummaryCsv(summary, fixture.report_);
    writeSecondsCsv(secondsCsv, fixture.report_);
    writeSvg(picture, fixture.report_);

    const std::string offered = std::to_string(fixture.report_.classes_[0].offered_);
    cr_assert(summary.str().find("read,total," + offered) != std::string::npos);
    cr_assert(secondsCsv.str().find("\n1,") != std::string::npos);
    cr_assert(picture.str().ends_with("</svg>\n"));
}

Test(load_run, only_loopback_addresses_are_taken)
{
    cr_assert(isLoopback({"127.0.0.1", 80}));
    cr_assert_not(isLoopback({"10.0.0.1", 80}));
}
