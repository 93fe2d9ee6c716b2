/// \file
/// \brief Cost of whole control nodes by fleet size, in one process with the paused clock.
/// \details bench_capacity [folder of charts] [nodes ...]. Prints one line for each figure:
/// nodes,engines,zones,regions,figure,value. Processor time is that of the nodes alone, with their
/// codecs, but without sockets; memory is what nodes allocated and hold.

#include "capacity_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <new>

// A counting allocator: the header says how much a block holds and whether a node asked for it.
namespace {

struct BlockHead
{
    std::size_t bytes_;
    bool isInNode_;
};

constexpr std::size_t headBytes = 16;
static_assert(sizeof(BlockHead) <= headBytes);

} // namespace

void *operator new(std::size_t bytes)
{
    auto *block = static_cast<char *>(std::malloc(bytes + headBytes));
    if (block == nullptr)
        throw std::bad_alloc();
    using cardamombay::bench::HeldBytes;
    auto *head = ::new (static_cast<void *>(block)) BlockHead{bytes, HeldBytes::isInNode_};
    HeldBytes::bytes_ += head->isInNode_ ? static_cast<std::int64_t>(bytes) : 0;
    return block + headBytes;
}

void operator delete(void *memory) noexcept
{
    if (memory == nullptr)
        return;
    auto *block = static_cast<char *>(memory) - headBytes;
    const auto *head = reinterpret_cast<const BlockHead *>(block);
    if (head->isInNode_)
        cardamombay::bench::HeldBytes::bytes_ -= static_cast<std::int64_t>(head->bytes_);
    std::free(block);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace cardamombay::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Prints figures of one fleet.
class Report
{
public:
    explicit Report(const CapacityShape &shape)
        : shape_(shape)
    {
    }

    void print(const std::string &figure, double value) const
    {
        std::printf("%zu,%zu,%zu,%zu,%s,%.6g\n", shape_.nodes_, shape_.engines_, shape_.zones_,
                    shape_.regions_, figure.c_str(), value);
        std::fflush(stdout);
    }

private:
    CapacityShape shape_;
};

/// Sites of about 23 entry VMs and 213 engines, as at the two-year size.
CapacityShape shapeOf(std::size_t nodes, const std::string &charts)
{
    CapacityShape shape;
    shape.nodes_ = nodes;
    shape.zones_ = std::max<std::size_t>(3, nodes * 15 / 340);
    shape.regions_ = nodes < 140 ? 1 : std::max<std::size_t>(2, nodes * 4 / 340);
    shape.engines_ = nodes * 3200 / 340;
    shape.charts_ = charts;
    return shape;
}

constexpr std::array<Message, 3> storeReads{Message::Read, Message::Scan, Message::VmList};

double countOf(CapacityFleet &fleet, Message kind)
{
    double count = 0;
    for (const NodeMeter &node : fleet.meter().nodes())
        count += static_cast<double>(node.traffic_[static_cast<std::size_t>(kind)].messages_);
    return count;
}

double readsOf(CapacityFleet &fleet)
{
    double count = 0;
    for (const Message kind : storeReads)
        count += countOf(fleet, kind);
    return count;
}

void reportMessages(CapacityFleet &fleet, const Report &report, double window)
{
    const auto nodes = static_cast<double>(fleet.size());
    double sent = 0;
    double received = 0;
    double worst = 0;
    for (std::size_t kind = 0; kind < messageNames.size(); ++kind) {
        Traffic sum;
        for (const NodeMeter &node : fleet.meter().nodes()) {
            sum.messages_ += node.traffic_[kind].messages_;
            sum.sent_ += node.traffic_[kind].sent_;
            sum.received_ += node.traffic_[kind].received_;
        }
        const std::string name(messageNames[kind]);
        const double scale = 1 / window / nodes;
        report.print(name + " /s", static_cast<double>(sum.messages_) * scale);
        report.print(name + " sent B/s", static_cast<double>(sum.sent_) * scale);
        report.print(name + " received B/s", static_cast<double>(sum.received_) * scale);
    }
    for (const NodeMeter &node : fleet.meter().nodes()) {
        double own = static_cast<double>(node.answered_.sent_);
        double taken = static_cast<double>(node.answered_.received_);
        for (const Traffic &traffic : node.traffic_) {
            own += static_cast<double>(traffic.sent_);
            taken += static_cast<double>(traffic.received_);
        }
        sent += own / window / nodes;
        received += taken / window / nodes;
        worst = std::max({worst, own / window, taken / window});
    }
    report.print("all sent B/s", sent);
    report.print("all received B/s", received);
    report.print("worst node and direction B/s", worst);
}

void reportProcessor(CapacityFleet &fleet, const Report &report, double window)
{
    const auto nodes = static_cast<double>(fleet.size());
    double sum = 0;
    double worst = 0;
    for (std::size_t work = 1; work < workNames.size(); ++work) {
        double part = 0;
        for (const NodeMeter &node : fleet.meter().nodes())
            part += node.seconds_[work];
        report.print("cpu us/s " + std::string(workNames[work]), part * 1e6 / window / nodes);
    }
    for (const NodeMeter &node : fleet.meter().nodes()) {
        sum += node.processor();
        worst = std::max(worst, node.processor());
    }
    report.print("cpu us/s", sum * 1e6 / window / nodes);
    report.print("cpu us/s worst node", worst * 1e6 / window);
}

void reportStore(CapacityFleet &fleet, const Report &report, double window)
{
    report.print("fleet store reads/s", readsOf(fleet) / window);
    report.print("fleet store commits/s", countOf(fleet, Message::Commit) / window);
}

/// From all nodes started at once to all groups usable.
void measureStart(CapacityFleet &fleet, const Report &report, int limit)
{
    double reads = 0;
    double commits = 0;
    double mostReads = 0;
    double mostCommits = 0;
    int usableAfter = 0;
    for (int second = 1; second <= limit; ++second) {
        fleet.run(seconds(1));
        mostReads = std::max(mostReads, readsOf(fleet) - std::exchange(reads, readsOf(fleet)));
        const double all = countOf(fleet, Message::Commit);
        mostCommits = std::max(mostCommits, all - std::exchange(commits, all));
        const std::size_t known = fleet.knownGroups(0);
        if (usableAfter == 0 && known > 0 && fleet.usableGroups(0) == known)
            usableAfter = second;
    }
    report.print("start: most store reads in a second", mostReads);
    report.print("start: most commits in a second", mostCommits);
    report.print("start: s until node 0 has all its groups usable", usableAfter);
    report.print("groups", static_cast<double>(fleet.knownGroups(0)));
    report.print("usable groups at node 0", static_cast<double>(fleet.usableGroups(0)));
}

/// A version's time to be in force everywhere, and what it costs beyond the steady state.
void measureChange(CapacityFleet &fleet, const Report &report)
{
    constexpr auto step = milliseconds(100);
    fleet.applyConfiguration(2);
    Duration passed{};
    const ConfigVersion before = fleet.acceptedVersion();
    const auto isEverywhere = [&] {
        if (fleet.acceptedVersion() == before)
            return false;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.node(index).configuration().version() != fleet.acceptedVersion())
                return false;
        }
        return true;
    };
    while (!isEverywhere() && passed < seconds(20)) {
        fleet.clock().advance(step);
        passed += step;
    }
    report.print("change: s to be in force everywhere",
                 static_cast<double>(toMilliseconds(passed)) / 1000);
}

/// The store is away for a while; what it has to carry when it is back.
void measureOutage(CapacityFleet &fleet, const Report &report)
{
    fleet.platform().faults_.isDown_ = true;
    fleet.run(seconds(20));
    report.print("outage: usable groups at node 0", static_cast<double>(fleet.usableGroups(0)));
    fleet.platform().faults_.isDown_ = false;
    double mostReads = 0;
    double mostCommits = 0;
    for (int second = 0; second < 10; ++second) {
        fleet.meter().reset();
        fleet.run(seconds(1));
        mostReads = std::max(mostReads, readsOf(fleet));
        mostCommits = std::max(mostCommits, countOf(fleet, Message::Commit));
    }
    report.print("outage: most store reads in a second after it", mostReads);
    report.print("outage: most commits in a second after it", mostCommits);
    report.print("outage: usable groups after", static_cast<double>(fleet.usableGroups(0)));
}

void measure(std::size_t nodes, const std::string &charts)
{
    const CapacityShape shape = shapeOf(nodes, charts);
    const Report report(shape);
    CapacityFleet fleet(shape);
    measureStart(fleet, report, nodes > 100 ? 16 : 30);
    const int window = nodes > 100 ? 5 : 20;
    fleet.meter().reset();
    fleet.run(seconds(window));
    reportProcessor(fleet, report, window);
    reportMessages(fleet, report, window);
    reportStore(fleet, report, window);
    report.print("memory KiB",
                 static_cast<double>(HeldBytes::bytes_) / 1024 / static_cast<double>(nodes));
    report.print("VM list bytes", static_cast<double>(fleet.listBytes()));
    measureChange(fleet, report);
    if (nodes <= 100)
        measureOutage(fleet, report);
}

} // namespace

} // namespace cardamombay::bench

int main(int count, char **arguments)
{
    const std::string charts = count > 1 ? arguments[1] : "charts";
    std::printf("nodes,engines,zones,regions,figure,value\n");
    for (int each = 2; each < count; ++each)
        cardamombay::bench::measure(std::strtoul(arguments[each], nullptr, 10), charts);
    if (count <= 2) {
        for (const std::size_t nodes : {7U, 21U, 35U, 70U, 140U})
            cardamombay::bench::measure(nodes, charts);
    }
    return EXIT_SUCCESS;
}
