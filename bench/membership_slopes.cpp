/// \file
/// \brief Cost and speed of membership by fleet size, in one process with the paused clock.
/// \details bench_membership_slopes [folder of charts] [--steady-only | nodes]. Bytes are those one
/// node sends (and, on average, receives): digests as JSON, the JSON-RPC envelope and HTTP heads,
/// without TCP/IP. Processor time holds the protocol, encoding and decoding, and the simulation
/// itself, but no HTTP or sockets.

#include "membership_cost.hpp"

#include <cardamombay/core/random.hpp>

#include <cstdlib>

namespace cardamombay::bench {

namespace {

using membership::MemberStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::Fleet;
using support::FleetShape;

constexpr std::uint64_t seed = 20261202;
constexpr auto warmUp = seconds(40);

struct Row
{
    FleetShape shape_;
    double bytes_ = 0;
    double digestBytes_ = 0;
    double messages_ = 0;
    double processor_ = 0; ///< Microseconds each second.
    double memory_ = 0;
    std::vector<double> detection_;
    std::vector<double> knownEverywhere_;
    double suspicionsPerHour_ = 0;
    double falseDeaths_ = 0;
};

void measureSteady(Row &row)
{
    constexpr double window = 60;
    const double before = heapBytes();
    Fleet fleet(row.shape_, seed);
    fleet.run(warmUp);
    const auto nodes = static_cast<double>(fleet.size());
    row.memory_ = (heapBytes() - before) / nodes;
    MessageMeter meter;
    meter.attach(fleet.network_);
    const double start = processorSeconds();
    fleet.run(seconds(static_cast<int>(window)));
    row.processor_ = (processorSeconds() - start) * 1e6 / window / nodes;
    row.bytes_ = static_cast<double>(meter.bytes_) / window / nodes;
    row.digestBytes_ = static_cast<double>(meter.digestBytes_) / window / nodes;
    row.messages_ = static_cast<double>(meter.messages_) / window / nodes;
    if (meter.malformed_ != 0)
        std::printf("malformed,%llu\n", static_cast<unsigned long long>(meter.malformed_));
}

bool isKnownDead(const Fleet &fleet, std::size_t victim, std::size_t stride, bool byAll)
{
    const std::size_t first = victim % stride;
    for (std::size_t viewer = first; viewer < fleet.size(); viewer += stride) {
        if (viewer == victim)
            continue;
        const bool isDead = fleet.status(viewer, victim) == MemberStatus::Dead;
        if (isDead != byAll)
            return isDead;
    }
    return byAll;
}

/// Kills one node after the other and measures until the first and until the last node of its
/// region takes it for dead.
void measureDetection(Row &row)
{
    constexpr int kills = 20;
    constexpr auto step = milliseconds(100);
    constexpr auto limit = seconds(60);
    Fleet fleet(row.shape_, seed + 1);
    Random random(seed);
    fleet.run(warmUp);
    for (int kill = 0; kill < kills; ++kill) {
        const std::size_t victim = random.below(fleet.size());
        fleet.run(Duration(milliseconds(random.below(1000))));
        fleet.kill(victim);
        Duration passed{};
        Duration firstAt{};
        while (passed < limit && !isKnownDead(fleet, victim, row.shape_.regions_, true)) {
            fleet.run(step);
            passed += step;
            if (firstAt == Duration::zero()
                && isKnownDead(fleet, victim, row.shape_.regions_, false))
                firstAt = passed;
        }
        row.detection_.push_back(static_cast<double>(toMilliseconds(firstAt)) / 1000);
        row.knownEverywhere_.push_back(static_cast<double>(toMilliseconds(passed)) / 1000);
        fleet.restart(victim, Incarnation(static_cast<std::uint64_t>(kill + 2) * 1000));
        fleet.run(seconds(15));
    }
}

/// Pauses random nodes for up to three seconds, each about once a minute.
void measurePauses(Row &row)
{
    constexpr double window = 120;
    constexpr auto step = milliseconds(100);
    constexpr double pausesPerStep = 0.1 / 60;
    Fleet fleet(row.shape_, seed + 2);
    Random random(seed + 3);
    fleet.run(warmUp);
    std::vector<int> left(fleet.size(), 0);
    for (int turn = 0; turn < static_cast<int>(window * 10); ++turn) {
        for (const std::size_t node : fleet.all()) {
            if (left[node] > 0 && --left[node] == 0)
                fleet.resume(node);
            else if (left[node] == 0 && random.unit() < pausesPerStep) {
                left[node] = 2 + static_cast<int>(random.below(29));
                fleet.pause(node);
            }
        }
        fleet.run(step);
    }
    double suspicions = 0;
    for (const std::size_t node : fleet.all()) {
        suspicions += static_cast<double>(fleet.node(node).counters().suspicions_);
        row.falseDeaths_ += static_cast<double>(fleet.node(node).counters().deaths_);
    }
    row.suspicionsPerHour_ = suspicions / static_cast<double>(fleet.size()) * 3600 / window;
}

void print(const Row &row)
{
    std::printf("%zu,%zu,%zu,%.0f,%.0f,%.1f,%.0f,%.0f,%.2f,%.2f,%.2f,%.2f,%.1f,%.0f\n",
                row.shape_.nodes_, row.shape_.zones_, row.shape_.regions_, row.bytes_,
                row.digestBytes_, row.messages_, row.processor_, row.memory_ / 1024,
                percentile(row.detection_, 0.5), percentile(row.detection_, 0.95),
                percentile(row.knownEverywhere_, 0.5), percentile(row.knownEverywhere_, 0.95),
                row.suspicionsPerHour_, row.falseDeaths_);
    std::fflush(stdout);
}

void run(const std::string &charts, bool isSteadyOnly, std::size_t onlyNodes)
{
    std::printf(
        "nodes,zones,regions,bytes_s_node,digest_bytes_s_node,messages_s_node,cpu_us_s_node,"
        "memory_kib_node,first_dead_p50_s,first_dead_p95_s,region_knows_p50_s,"
        "region_knows_p95_s,suspicions_h_node,false_deaths\n");
    std::vector<double> sizes;
    std::vector<double> bytes;
    std::vector<double> processor;
    std::vector<double> memory;
    for (const FleetShape &shape : shapes(charts)) {
        if (onlyNodes != 0 && shape.nodes_ != onlyNodes)
            continue;
        Row row;
        row.shape_ = shape;
        measureSteady(row);
        if (!isSteadyOnly) {
            measureDetection(row);
            measurePauses(row);
        }
        print(row);
        sizes.push_back(static_cast<double>(shape.nodes_));
        bytes.push_back(row.bytes_);
        processor.push_back(row.processor_);
        memory.push_back(row.memory_ / 1024);
    }
    if (sizes.size() < 2)
        return;
    printFit("bytes_s_node", sizes, bytes);
    printFit("cpu_us_s_node", sizes, processor);
    printFit("memory_kib_node", sizes, memory);
}

} // namespace

} // namespace cardamombay::bench

int main(int argc, char **argv)
{
    const bool isSteadyOnly = argc > 2 && std::string_view(argv[2]) == "--steady-only";
    const std::size_t onlyNodes
        = argc > 2 && !isSteadyOnly ? std::strtoul(argv[2], nullptr, 10) : 0;
    cardamombay::bench::run(argc > 1 ? argv[1] : "charts", isSteadyOnly, onlyNodes);
    return EXIT_SUCCESS;
}
