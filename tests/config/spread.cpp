// Time from accepted to in force at every node, and what it costs the store. The figures are
// printed with "test_config --filter 'spread/*' --verbose".
#include "cluster.hpp"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::ConfigCluster;

namespace {

constexpr int changes = 20;

struct Spread
{
    std::vector<Duration> times_; ///< One for each change, rising.
    double idleReads_ = 0;        ///< Reads a second of all nodes without any change.
    double readsPerChange_ = 0;   ///< Reads of a change beyond the idle ones.
};

std::uint64_t readsOf(const ConfigCluster &cluster)
{
    std::uint64_t reads = 0;
    for (const auto &node : cluster.nodes_)
        reads += node->agent_.counts().storeReads_;
    return reads;
}

Spread measure(std::size_t nodes, std::size_t perSite, Duration pollInterval)
{
    config::ConfigAgentOptions options;
    options.pollInterval_ = pollInterval;
    ConfigCluster cluster(nodes, options, perSite);
    cr_assert(isOk(cluster.apply("first")));
    cr_assert(cluster.waitFor(1, seconds(30)).has_value());

    Spread spread;
    constexpr auto idle = seconds(60);
    auto before = readsOf(cluster);
    cluster.clock_.advance(idle);
    spread.idleReads_ = static_cast<double>(readsOf(cluster) - before) / idle.count();

    before = readsOf(cluster);
    const TimePoint start = cluster.clock_.now();
    for (int change = 0; change < changes; ++change) {
        cr_assert(isOk(cluster.apply(std::to_string(change))));
        const auto version = static_cast<std::uint64_t>(change) + 2;
        const auto time = cluster.waitFor(version, seconds(60));
        cr_assert(time.has_value());
        spread.times_.push_back(*time);
        cluster.clock_.advance(milliseconds(cluster.random_.below(1000)));
    }
    const auto took = std::chrono::duration<double>(cluster.clock_.now() - start).count();
    const auto reads = static_cast<double>(readsOf(cluster) - before);
    spread.readsPerChange_ = (reads - spread.idleReads_ * took) / changes;
    std::sort(spread.times_.begin(), spread.times_.end());
    cr_assert(cluster.hasNeverReverted());
    return spread;
}

} // namespace

Test(spread, change_is_in_force_everywhere_within_five_seconds_at_each_size, .timeout = 240)
{
    struct Size
    {
        std::size_t nodes_;
        std::size_t perSite_;
    };
    for (const auto size : {Size{7, 3}, Size{35, 12}, Size{70, 23}, Size{140, 23}, Size{340, 23}}) {
        for (const auto interval : {milliseconds(500), milliseconds(1000), milliseconds(2000)}) {
            const Spread spread = measure(size.nodes_, size.perSite_, interval);
            cr_log_info("nodes %zu poll %ld ms: median %ld ms, max %ld ms, idle reads %.1f/s, "
                        "reads per change %.1f",
                        size.nodes_, static_cast<long>(interval.count()),
                        static_cast<long>(toMilliseconds(spread.times_[changes / 2])),
                        static_cast<long>(toMilliseconds(spread.times_.back())), spread.idleReads_,
                        spread.readsPerChange_);
            cr_assert_lt(toMilliseconds(spread.times_.back()), 5000);
        }
    }
}
