// What operators see of overload control: metrics, and the lines of refused requests.
#include "support/gateway_fixture.hpp"
#include "support/log_lines.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using overload::FleetDemand;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelName model("m");
constexpr Duration period = milliseconds(100);
constexpr std::size_t entries = 7;

/// A gateway with one group, whose routes /stream/ and /raw/ have the ranks 0 and 2.
class ControlledGateway
{
public:
    ControlledGateway()
    {
        auto configuration = gatewayConfiguration();
        configuration.routes_[3].priority_ = 2;
        fixture_.gateway_.setRoutes(std::make_shared<RouteTable>(configuration));
        fixture_.addGroup("g-0");
    }

    /// \brief Ends a digest period with \p others as the demand of the other entry VMs.
    void hear(const FleetDemand &others)
    {
        receivedAt_ = fixture_.clock_.now();
        update(others);
    }

    /// \brief Lets digest periods without figures of others pass.
    void hearNothing(Duration time)
    {
        for (Duration passed{}; passed < time; passed += period) {
            fixture_.pass(period);
            const bool isRecent
                = fixture_.clock_.now() - receivedAt_.value_or(TimePoint{}) <= seconds(1);
            if (!isRecent)
                receivedAt_.reset();
            update({});
        }
    }

    [[nodiscard]] double gauge(const std::string &name, std::vector<Detail> labels = {})
    {
        labels.insert(labels.begin(), {"model", model.text()});
        return fixture_.registry_.gauge("cardamombay_gateway_overload_" + name, "", labels).value();
    }

    [[nodiscard]] double rankGauge(const std::string &name, const std::string &rank)
    {
        return gauge(name, {{"rank", rank}});
    }

    [[nodiscard]] double share(const std::string &rank)
    {
        return rankGauge("admitted_share", rank);
    }

    GatewayFixture fixture_;

private:
    void update(const FleetDemand &others)
    {
        auto &overload = fixture_.gateway_.overload();
        overload.advance(period);
        overload.update(fixture_.gateway_.overloadDemand(true), others, receivedAt_, entries);
    }

    std::optional<TimePoint> receivedAt_;
};

/// Work of ranks 0 and 1 that uses up the room of a single group.
FleetDemand tooMuchWork()
{
    FleetDemand result;
    result[model].offered_ = {{0, 0.5}, {1, 3}};
    result[model].waiting_ = {{0, 2}, {1, 4}};
    result[model].teams_ = {{TeamName("team-a"), 1}, {TeamName("team-b"), 2}};
    result[model].promised_ = 1.5;
    return result;
}

} // namespace

// Guards against figures that an operator cannot see, or that belong to another rank.
Test(overload_figures, metrics_show_what_the_level_is_computed_from)
{
    ControlledGateway bench;
    bench.hear(tooMuchWork());

    cr_expect_float_eq(bench.rankGauge("offered_groups", "0"), 0.5, 1e-9);
    cr_expect_float_eq(bench.rankGauge("offered_groups", "1"), 3, 1e-9);
    cr_expect_float_eq(bench.rankGauge("waiting_seconds", "0"), 2, 1e-9);
    cr_expect_float_eq(bench.rankGauge("waiting_seconds", "1"), 4, 1e-9);
    cr_expect_float_eq(bench.gauge("promised_seconds"), 1.5, 1e-9);
    const auto inputs = bench.fixture_.gateway_.overload().inputs(model);
    cr_expect_gt(inputs.level_.room_, 0);
    cr_expect_eq(bench.gauge("room_groups"), inputs.level_.room_);
    cr_expect_eq(bench.gauge("occupancy"), inputs.level_.occupancy_);
    cr_expect_eq(bench.gauge("figures_age_seconds"), 0);
    cr_expect_eq(bench.share("0"), 1);
    cr_expect_eq(bench.share("1"), inputs.level_.dividedShare_);
    cr_expect_lt(bench.share("1"), 1);
}

// Guards against a rank that keeps its last figures when its callers have stopped, and against an
// alert that never ends.
Test(overload_figures, ranks_without_demand_fall_to_zero_and_are_admitted)
{
    ControlledGateway bench;
    bench.hear(tooMuchWork());
    bench.hear({});

    cr_expect_eq(bench.rankGauge("offered_groups", "1"), 0);
    cr_expect_eq(bench.rankGauge("waiting_seconds", "1"), 0);
    cr_expect_eq(bench.gauge("promised_seconds"), 0);
    cr_expect_eq(bench.share("1"), 1);
}

// Guards against a model that leaves the configuration while it is limited, and whose alert would
// then last as long as the process.
Test(overload_figures, model_that_is_no_longer_controlled_shows_no_limit)
{
    ControlledGateway bench;
    bench.hear(tooMuchWork());
    bench.fixture_.gateway_.setRoutes(std::make_shared<RouteTable>(gatewayConfiguration()));
    bench.hear(tooMuchWork());

    cr_expect_eq(bench.share("1"), 1);
    cr_expect_eq(bench.gauge("room_groups"), 0);
}

// Guards against an alert about old figures that cannot fire: figures of peers that are silent for
// a second are dropped, and with them their age.
Test(overload_figures, age_of_the_figures_rises_beyond_the_time_after_which_they_are_dropped)
{
    ControlledGateway bench;
    bench.hear(tooMuchWork());
    bench.hearNothing(seconds(3));
    cr_expect_float_eq(bench.gauge("figures_age_seconds"), 3, 1e-6);
    bench.hear({});
    cr_expect_eq(bench.gauge("figures_age_seconds"), 0);
}

// Guards against metrics that name teams: their number has no bound.
Test(overload_figures, no_metric_names_a_team)
{
    ControlledGateway bench;
    bench.hear(tooMuchWork());
    const auto caller = bench.fixture_.ask("/raw/1");
    cr_assert(caller->isFinished_ || caller->answer_);

    cr_expect_eq(bench.fixture_.registry_.text().find("team"), std::string::npos);
}

// Guards against a refusal by the level that cannot be traced to its cause.
Test(overload_figures, refusal_by_the_level_is_logged_with_its_inputs)
{
    ControlledGateway bench;
    bench.hear(tooMuchWork());
    bench.fixture_.clock_.advance(milliseconds(50));
    const auto lines = linesOf("request-finished", [&] { (void)bench.fixture_.ask("/raw/1"); });

    cr_assert_eq(lines.size(), 1);
    const auto &line = lines.front();
    cr_expect_eq(valueIn(line, "outcome"), "refused");
    cr_expect_neq(line.find("reason=\"more work is asked for than the groups can do\""),
                  std::string::npos);
    cr_expect_eq(valueIn(line, "rank"), "2");
    cr_expect_eq(valueIn(line, "team"), "team-a");
    cr_expect_eq(valueIn(line, "forecast-ms"), "none");
    cr_expect_eq(valueIn(line, "figures-from"), "fleet");
    cr_expect_eq(valueIn(line, "figures-age-ms"), "50");
    for (const char *key : {"offered-groups", "room-groups", "occupancy", "come-back-ms"})
        cr_expect_neq(valueIn(line, key), "", "%s", key);
    const std::vector<Detail> labels{{"model", "m"},
                                     {"reason", "more work is asked for than the groups can do"}};
    cr_expect_eq(
        bench.fixture_.registry_.counter("cardamombay_gateway_overload_refused_total", "", labels)
            .value(),
        1);
}

// Guards against a refusal for its forecast whose forecast is not known afterwards.
Test(overload_figures, refusal_by_the_forecast_is_logged_with_the_forecast)
{
    ControlledGateway bench;
    FleetDemand waiting;
    waiting[model].offered_ = {{0, 0.1}};
    waiting[model].waiting_ = {{0, 60}};
    bench.hear(waiting);
    std::vector<std::shared_ptr<CallerView>> callers;
    const auto lines = linesOf("request-finished", [&] {
        for (int i = 0; i < 40; ++i)
            callers.push_back(bench.fixture_.ask("/stream/" + std::to_string(i)));
    });

    cr_assert_not(lines.empty());
    for (const auto &line : lines) {
        cr_expect_neq(line.find("reason=\"no room before the goal has passed\""),
                      std::string::npos);
        cr_expect_eq(valueIn(line, "rank"), "0");
        cr_expect_gt(std::stol(valueIn(line, "forecast-ms")),
                     std::stol(valueIn(line, "useful-wait-ms")));
    }
}

// Guards against callers who choose the labels of metrics, and against a count that is lost.
Test(overload_figures, refusal_for_an_unknown_model_is_counted_without_its_name)
{
    metrics::Registry registry;
    OverloadMetrics metrics(registry);
    metrics.refused(ModelName("chosen-by-a-caller"), "reason");

    cr_expect_eq(registry.text().find("chosen-by-a-caller"), std::string::npos);
    cr_expect_neq(registry.text().find("cardamombay_gateway_overload_refused_total"),
                  std::string::npos);
}
