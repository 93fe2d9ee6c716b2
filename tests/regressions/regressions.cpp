// Faults that were found outside the tests of a module; each test names the failure it came from.
// Faults that fuzzing found are in tests/fuzz/regressions.cpp. A new test is first run with its
// fault put back, to see that it fails.
#include "support/planner_fleet.hpp"
#include "support/process_harness.hpp"

#include <cardamombay/admin/admin_vm.hpp>
#include <cardamombay/control/zone_planner.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

/// True once somebody accepts connections at \p port; looks without a pause between.
bool waitForListener(support::ProcessHarness &harness, support::ProcessId process,
                     std::uint16_t port)
{
    using boost::asio::ip::tcp;
    const tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
    const auto until = std::chrono::steady_clock::now() + support::processLimit;
    while (harness.isRunning(process) && std::chrono::steady_clock::now() < until) {
        boost::asio::io_context context;
        tcp::socket socket(context);
        boost::system::error_code failure;
        socket.connect(endpoint, failure);
        if (!failure)
            return true;
    }
    return false;
}

std::string settingsFile(const support::ProcessHarness &harness, std::uint16_t callers,
                         std::uint16_t peers)
{
    std::ostringstream out;
    out << "entry = \"entry-0\"\nzone = \"zone-a\"\nregion = \"region-1\"\n"
        << "charts = \"" << SOURCE_FOLDER << "/charts\"\n"
        << "[listen]\ncallers = \"127.0.0.1:" << callers << "\"\npeers = \"127.0.0.1:" << peers
        << "\"\n[platform]\naddresses = [\"127.0.0.1:" << support::freePort() << "\"]\n";
    return harness.writeFile("entry-0.toml", out.str());
}

support::FleetShape shapeOfOneGroup()
{
    support::FleetShape shape;
    shape.services_ = {support::modelService(1, 2)};
    shape.chartFolder_ = SOURCE_FOLDER "/charts";
    return shape;
}

/// Ticks a planner as a control node does; its charts are gone before the first tick.
class PlannerWithoutCharts
{
public:
    PlannerWithoutCharts()
        : store_(fleet_.platform_)
        , orders_(fleet_.endpoints_)
        , view_(fleet_.clock_, orders_, fleet_.vms_, fleet_.leaving_)
        , groupCache_(fleet_.clock_, store_, Random(7))
    {
        settings_.self_ = EntryId("entry");
        settings_.incarnation_ = Incarnation(1);
        settings_.zone_ = fleet_.shape_.zone_;
        for (const EntryId &entry : {settings_.self_, EntryId("other")}) {
            membership::MemberEntry member;
            member.id_ = entry;
            member.zone_ = settings_.zone_;
            alive_.push_back(member); // A site needs two entry VMs to plan for itself.
        }
        const auto charts = control::loadCharts(chart::ChartFolder(SOURCE_FOLDER "/charts"));
        const auto owned = std::make_unique<control::NodeCharts>(valueOf(charts));
        planner_ = std::make_unique<control::ZonePlanner>(fleet_.clock_, store_, orders_, log_,
                                                          settings_, *owned);
        groupCache_.start();
    }

    void run(Duration time)
    {
        constexpr auto step = std::chrono::milliseconds(500);
        for (Duration passed{}; passed < time; passed += step) {
            planner_->tick({fleet_.configuration_, fleet_.vms_, alive_, &view_, &groupCache_});
            fleet_.clock_.advance(step);
        }
    }

    [[nodiscard]] const control::ZonePlanner &planner() const { return *planner_; }

private:
    support::PlannerFleet fleet_{shapeOfOneGroup()};
    support::FakeTableStore store_;
    support::FakeEndpointOrders orders_;
    support::PollingView view_;
    groups::GroupCache groupCache_;
    DecisionLog log_;
    control::ControlSettings settings_;
    std::vector<membership::MemberEntry> alive_;
    std::unique_ptr<control::ZonePlanner> planner_;
};

} // namespace

// A SIGTERM between the first listener and the registration of signals killed the daemon: half of
// the runs of a stop test of the fleet failed.
Test(regressions, daemon_stopped_as_soon_as_it_listens_ends_gracefully)
{
    support::ProcessHarness harness(PROGRAM_FOLDER);
    const std::uint16_t callers = support::freePort();
    const std::uint16_t peers = support::freePort();
    const auto daemon = harness.start("entry-0", harness.program("cardamombayd"),
                                      {"--settings", settingsFile(harness, callers, peers)});
    cr_assert(waitForListener(harness, daemon, peers), "%s", harness.errors(daemon).c_str());

    harness.terminate(daemon);

    cr_assert_eq(harness.waitForExit(daemon), 0, "%s", harness.errors(daemon).c_str());
}

// Daemons crashed at their first plan: planners kept a reference to a temporary of the charts.
Test(regressions, zone_planner_outlives_the_charts_it_was_made_with)
{
    PlannerWithoutCharts node;

    node.run(std::chrono::seconds(60));

    cr_assert_eq(node.planner().heldLeases().size(), 1U);
    cr_assert_eq(node.planner().groups().size(), 1U);
    cr_assert(node.planner().groups().front().phase_ == groups::GroupPhase::Serving);
}

// The undefined-behaviour run of the fuzz targets: milliseconds from another process overflowed
// the type of durations and became another time.
Test(regressions, admin_durations_out_of_range_are_malformed)
{
    for (const char *age : {"9223372036854775807", "1844674294967295000", "-1"}) {
        const auto vms
            = admin::decodeVms(std::string(R"({"vms":[{"id":"vm","age_ms":)") + age + "}]}");

        cr_expect(isError<MalformedMessage>(vms), "%s", age);
    }
}
