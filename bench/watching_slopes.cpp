/// \file
/// \brief Cost of watching endpoint VMs, with membership, in one process with the paused clock.
/// \details bench_watching_slopes [folder of charts]. The endpoint VMs grow with the fleet up to
/// 3,200 before 340 nodes, in groups of 16 with a load that changes all the time. Bytes of probes
/// are counted from the text of a state and HTTP heads; no TCP/IP. Processor time holds both
/// protocols, encoding and decoding of digests, and the simulation of peers and endpoints, but no
/// HTTP or sockets and no decoding of probed states.

#include "membership_cost.hpp"
#include "support/fake_watch_fleet.hpp"

#include <cardamombay/core/random.hpp>
#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <cstdlib>

namespace cardamombay::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::Fleet;
using support::FleetShape;
using support::WatchFleet;

constexpr std::uint64_t seed = 20261202;
constexpr std::size_t groupSize = 16;
constexpr std::size_t probeRequestBytes = 90;  ///< HTTP head of GET /v1/state.
constexpr std::size_t probeResponseHead = 110; ///< HTTP head of the answer.

struct Row
{
    FleetShape shape_;
    std::size_t vms_ = 0;
    double probes_ = 0;
    double probeBytes_ = 0;
    double digestBytes_ = 0;
    double processor_ = 0;
    double memory_ = 0;
    double staleShare_ = 0;
    std::vector<double> lapse_;
};

std::size_t vmsFor(std::size_t nodes)
{
    return nodes == 7 ? 53 : nodes * 3200 / 340;
}

/// Gives every VM an assignment to a group of its zone and a first load.
void formGroups(WatchFleet &fleet)
{
    support::FakeEndpointOrders orders(fleet.endpoints_);
    fleet.endpoints_.loadTime_ = milliseconds(1);
    const std::size_t zones = fleet.sites_.size();
    for (std::size_t i = 0; i < fleet.vms_.size(); ++i) {
        const std::size_t slot = i / zones;
        endpoint::EndpointOrder order;
        order.id_ = OrderId("o" + std::to_string(i));
        order.vm_ = fleet.vms_[i].id_;
        order.fencing_ = Epoch(17);
        order.assignment_.group_ = GroupId("lm-narrazione/" + fleet.vms_[i].zone_.text() + "/"
                                           + std::to_string(slot / groupSize));
        order.assignment_.generation_ = Generation(3);
        order.assignment_.rank_ = static_cast<std::uint32_t>(slot % groupSize);
        order.model_ = {ModelName("narrazione-large"), ModelVersion("2026-11-01"), {"it", "ar"}};
        orders.send(fleet.vms_[i].address_, order, [](const auto &) {});
    }
    fleet.run(seconds(1));
}

void changeLoads(WatchFleet &fleet, Random &random)
{
    for (const auto &record : fleet.vms_) {
        endpoint::LoadReport load;
        load.running_ = 8 + static_cast<std::uint32_t>(random.below(8));
        load.queued_ = static_cast<std::uint32_t>(random.below(4));
        load.kvCacheUsed_ = 0.4 + 0.3 * random.unit();
        load.lag_ = milliseconds(random.below(200));
        fleet.endpoints_.setLoad(record.id_, load);
    }
}

/// Share of the observations of a node's own site that are not fresh.
double staleShare(WatchFleet &fleet)
{
    double stale = 0;
    double all = 0;
    const std::size_t zones = fleet.sites_.size();
    for (const std::size_t node : fleet.fleet_.all()) {
        for (std::size_t i = node % zones; i < fleet.vms_.size(); i += zones) {
            ++all;
            stale += fleet.watcher(node).isFresh(fleet.vms_[i].id_) ? 0 : 1;
        }
    }
    return stale / all;
}

void measureSteady(Row &row)
{
    constexpr int window = 20;
    const double before = heapBytes();
    WatchFleet fleet(row.shape_, row.vms_, seed);
    Random random(seed);
    formGroups(fleet);
    fleet.run(seconds(20));
    row.memory_ = (heapBytes() - before) / static_cast<double>(row.shape_.nodes_);
    MessageMeter meter;
    meter.attach(fleet.fleet_.network_);
    const std::uint64_t probes = fleet.endpoints_.probes();
    double processor = 0;
    for (int second = 0; second < window; ++second) {
        changeLoads(fleet, random);
        const double start = processorSeconds();
        fleet.run(seconds(1));
        processor += processorSeconds() - start;
        row.staleShare_ = std::max(row.staleShare_, staleShare(fleet));
    }
    const double perNode = 1.0 / window / static_cast<double>(row.shape_.nodes_);
    const std::size_t stateBytes
        = endpoint::encodeState(fleet.endpoints_.state(fleet.vms_[0].id_)).size();
    row.probes_ = static_cast<double>(fleet.endpoints_.probes() - probes) * perNode;
    row.probeBytes_
        = row.probes_ * static_cast<double>(probeRequestBytes + probeResponseHead + stateBytes);
    row.digestBytes_ = static_cast<double>(meter.bytes_) * perNode;
    row.processor_ = processor * 1e6 * perNode;
}

/// Kills VMs and measures until no node of the site takes them for fresh.
void measureLapse(Row &row)
{
    constexpr int kills = 20;
    WatchFleet fleet(row.shape_, row.vms_, seed + 1);
    Random random(seed);
    fleet.run(seconds(20));
    for (int kill = 0; kill < kills; ++kill) {
        const VmId vm = fleet.vms_[random.below(fleet.vms_.size())].id_;
        fleet.run(Duration(milliseconds(random.below(1000))));
        fleet.endpoints_.kill(vm);
        int passed = 0;
        for (; fleet.freshAt(vm) > 0 && passed < 10000; passed += 50)
            fleet.run(milliseconds(50));
        row.lapse_.push_back(passed / 1000.0);
        fleet.endpoints_.restart(vm);
        fleet.run(seconds(1));
    }
}

void run(const std::string &charts)
{
    std::printf("nodes,vms,probes_s_node,probe_bytes_s_node,digest_bytes_s_node,cpu_us_s_node,"
                "memory_kib_node,worst_stale_share,lapse_p50_s,lapse_p95_s\n");
    std::vector<double> sizes;
    std::vector<double> bytes;
    std::vector<double> processor;
    std::vector<double> memory;
    for (const FleetShape &shape : shapes(charts)) {
        Row row;
        row.shape_ = shape;
        row.vms_ = vmsFor(shape.nodes_);
        measureSteady(row);
        measureLapse(row);
        std::printf("%zu,%zu,%.1f,%.0f,%.0f,%.0f,%.0f,%.4f,%.2f,%.2f\n", shape.nodes_, row.vms_,
                    row.probes_, row.probeBytes_, row.digestBytes_, row.processor_,
                    row.memory_ / 1024, row.staleShare_, percentile(row.lapse_, 0.5),
                    percentile(row.lapse_, 0.95));
        std::fflush(stdout);
        sizes.push_back(static_cast<double>(shape.nodes_));
        bytes.push_back(row.digestBytes_ + row.probeBytes_);
        processor.push_back(row.processor_);
        memory.push_back(row.memory_ / 1024);
    }
    printFit("bytes_s_node", sizes, bytes);
    printFit("cpu_us_s_node", sizes, processor);
    printFit("memory_kib_node", sizes, memory);
}

} // namespace

} // namespace cardamombay::bench

int main(int argc, char **argv)
{
    cardamombay::bench::run(argc > 1 ? argv[1] : "charts");
    return EXIT_SUCCESS;
}
