#include <cardamombay/settings/settings.hpp>

#include "config/toml_reader.hpp"

#include <cardamombay/config/duration_text.hpp>
#include <cardamombay/config/text_file.hpp>
#include <cardamombay/groups/manager_settings.hpp>
#include <cardamombay/leases/lease_settings.hpp>

namespace cardamombay::settings {

namespace {

using config::impl::Problems;
using config::impl::Range;
using config::impl::TableReader;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint32_t mostHeaderBytes = 1024 * 1024;
constexpr std::uint32_t mostBodyBytes = 256 * 1024 * 1024;
constexpr std::uint32_t mostConnections = 1'000'000;
constexpr std::uint32_t mostTrafficThreads = 64;

constexpr Range<Duration> timeoutRange{milliseconds(100), minutes(10)};
constexpr Range<Duration> drainRange{Duration::zero(), hours(1)};
constexpr Range<Duration> intervalRange{milliseconds(20), minutes(1)};
constexpr Range<Duration> leaseRange{seconds(2), minutes(5)};

void readListen(TableReader &root, Settings &result)
{
    root.require("listen", "add [listen] with callers and peers");
    const auto *table = root.table("listen");
    if (!table)
        return;
    auto reader = root.child(*table, "listen");
    reader.require("callers", "give the address callers reach, such as \"10.1.0.11:8080\"");
    reader.require("peers", "give the address other entry VMs reach, such as \"10.1.0.11:8090\"");
    reader.read("callers", result.callers_);
    reader.read("peers", result.peers_);
    if (reader.has("peers") && result.callers_ == result.peers_)
        reader.report("peers", "both listeners have the same address", "give them two ports");
    reader.finish();
}

void readPlatform(TableReader &root, Settings &result)
{
    root.require("platform", "add [platform] with addresses of the platform's service");
    const auto *table = root.table("platform");
    if (!table)
        return;
    auto reader = root.child(*table, "platform");
    reader.require("addresses", "list the platform's service, such as [\"10.1.0.2:9000\"]");
    reader.read("addresses", result.platform_);
    reader.finish();
}

void readPeers(TableReader &root, Settings &result)
{
    result.advertised_ = result.peers_;
    const auto *table = root.table("peers");
    if (!table)
        return;
    auto reader = root.child(*table, "peers");
    reader.read("seeds", result.seeds_);
    reader.read("advertise", result.advertised_);
    reader.finish();
}

void readLimits(TableReader &root, Limits &limits)
{
    const auto *table = root.table("limits");
    if (!table)
        return;
    auto reader = root.child(*table, "limits");
    reader.read("header_bytes", limits.headerBytes_, {512, mostHeaderBytes});
    reader.read("body_bytes", limits.bodyBytes_, {1024, mostBodyBytes});
    reader.read("connections", limits.connections_, {1, mostConnections});
    reader.read("read_timeout", limits.readTimeout_, timeoutRange);
    reader.read("idle_timeout", limits.idleTimeout_, timeoutRange);
    reader.read("write_timeout", limits.writeTimeout_, timeoutRange);
    reader.finish();
}

void readDrain(TableReader &root, DrainTimes &drain)
{
    const auto *table = root.table("drain");
    if (!table)
        return;
    auto reader = root.child(*table, "drain");
    reader.read("announce", drain.announce_, drainRange);
    reader.read("in_flight", drain.inFlight_, drainRange);
    reader.finish();
}

/// A lease is renewed after a third of its term, or a quarter later than that by jitter. By then
/// the clock margin and what an order needs must still be left, or its holder never plans.
Duration shortestLeaseTerm()
{
    const Duration needed
        = leases::LeaseSettings().margin_ + groups::ManagerSettings().orderMargin_;
    const auto exact = needed * 12 / 7;
    return std::chrono::ceil<milliseconds>(exact);
}

void checkIntervals(TableReader &reader, const Intervals &intervals)
{
    // An observation comes with a digest and must outlive one probe that fails.
    const Duration leastFreshness = 2 * intervals.probe_ + intervals.exchange_;
    if (intervals.freshness_ < leastFreshness)
        reader.report("freshness", "an observation would lapse before the second probe is known",
                      "make freshness at least twice probe and once exchange: "
                          + config::textOf(leastFreshness));
    if (intervals.leaseTerm_ < shortestLeaseTerm())
        reader.report("lease_term", "its holder would never have time left for an order",
                      "make lease_term at least " + config::textOf(shortestLeaseTerm()));
}

void readIntervals(TableReader &root, Intervals &intervals)
{
    const auto *table = root.table("intervals");
    if (!table)
        return;
    auto reader = root.child(*table, "intervals");
    reader.read("exchange", intervals.exchange_, intervalRange);
    reader.read("suspect", intervals.suspect_, intervalRange);
    reader.read("probe", intervals.probe_, intervalRange);
    reader.read("freshness", intervals.freshness_, intervalRange);
    reader.read("vm_list", intervals.vmList_, intervalRange);
    reader.read("config_poll", intervals.configPoll_, intervalRange);
    reader.read("plan", intervals.plan_, intervalRange);
    reader.read("lease_term", intervals.leaseTerm_, leaseRange);
    checkIntervals(reader, intervals);
    reader.finish();
}

void readLog(TableReader &root, Settings &result)
{
    const auto *table = root.table("log");
    if (!table)
        return;
    auto reader = root.child(*table, "log");
    reader.readChoice("level", result.logLevel_, {"trace", "debug", "info", "warn", "error"});
    reader.read("trace_file", result.traceFile_);
    reader.finish();
}

Settings readAll(const toml::table &document, const std::string &file, Problems &problems)
{
    Settings result;
    TableReader root(document, "", file, problems);
    root.require("entry", "give this entry VM a name that no other one has");
    root.require("zone", "name the availability zone of this VM");
    root.require("region", "name the region of this VM");
    std::string entry;
    std::string zone;
    std::string region;
    root.read("entry", entry);
    root.read("zone", zone);
    root.read("region", region);
    result.entry_ = EntryId(entry);
    result.zone_ = AvailabilityZone(zone);
    result.region_ = RegionName(region);
    root.read("traffic_threads", result.trafficThreads_, {1, mostTrafficThreads});
    root.read("charts", result.chartsFolder_);
    readListen(root, result);
    readPlatform(root, result);
    readPeers(root, result);
    readLimits(root, result.limits_);
    readDrain(root, result.drain_);
    readIntervals(root, result.intervals_);
    readLog(root, result);
    root.finish();
    return result;
}

Settings readText(std::string_view text, const std::string &file, Problems &problems)
{
    const auto document = config::impl::parseToml(text, file, problems);
    return document ? readAll(*document, file, problems) : Settings{};
}

} // namespace

Result<Settings> parse(std::string_view text, const std::string &file)
{
    Problems problems;
    Settings result = readText(text, file, problems);
    if (!problems.isEmpty())
        return Error(problems.sorted().front());
    return result;
}

std::vector<InvalidInput> check(std::string_view text, const std::string &file)
{
    Problems problems;
    static_cast<void>(readText(text, file, problems));
    return problems.sorted();
}

Result<Settings> load(const std::string &file)
{
    const auto text = config::readTextFile(file);
    if (!isOk(text))
        return errorOf(text);
    return parse(valueOf(text), file);
}

} // namespace cardamombay::settings
