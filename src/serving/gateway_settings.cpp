#include <cardamombay/serving/gateway_settings.hpp>

#include "config/toml_reader.hpp"

#include <cardamombay/config/text_file.hpp>
#include <cardamombay/net/kept_upstream.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

using config::impl::Problems;
using config::impl::Range;
using config::impl::TableReader;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Range<Duration> graceRange{seconds(1), minutes(10)};
constexpr Range<Duration> boundRange{milliseconds(500), minutes(10)};
constexpr Range<double> coreRange{0.01, 1024};
constexpr Range<double> linkRange{0.1, 1'000'000};
constexpr Range<double> memoryRange{1, 100'000'000};
constexpr Range<std::uint32_t> descriptorRange{256, 100'000'000};
constexpr double bytesPerMegabyte = 1024 * 1024;
constexpr Range<std::uint32_t> answerRange{1024, 1U << 30U};
/// The connection to the endpoint holds an event until it is complete.
constexpr Range<std::uint32_t> eventRange{1024, net::KeptUpstreamLimits{}.unconsumedBytes_};
constexpr Range<double> reserveRange{0, 1'000'000};

/// Share of the revocation limit for which a confirmed configuration may be used; the rest is left
/// for the transit of the request.
constexpr double revocationUsableShare = 0.8;

void readListen(TableReader &root, GatewaySettings &result)
{
    root.require("listen", "add [listen] with callers, readiness, metrics and digests");
    const auto *table = root.table("listen");
    if (!table)
        return;
    auto reader = root.child(*table, "listen");
    reader.require("callers", "give the address callers reach, such as \"10.1.0.11:8080\"");
    reader.require("readiness", "give the address of the load balancer's readiness check");
    reader.require("digests", "give the address that peers reach");
    reader.read("callers", result.callers_);
    reader.read("readiness", result.readiness_);
    reader.read("metrics", result.metrics_);
    reader.read("digests", result.digests_);
    reader.finish();
}

void readStore(TableReader &root, GatewaySettings &result)
{
    root.require("store", "add [store] with the address of the platform's store");
    const auto *table = root.table("store");
    if (!table)
        return;
    auto reader = root.child(*table, "store");
    reader.require("address", "give the store's address, such as \"10.1.0.2:9000\"");
    reader.read("address", result.store_);
    reader.finish();
}

void readBytes(TableReader &reader, std::string_view key, std::size_t &target,
               Range<std::uint32_t> range)
{
    auto bytes = static_cast<std::uint32_t>(target);
    reader.read(key, bytes, range);
    target = bytes;
}

void readBounds(TableReader &root, GatewaySettings &result)
{
    const auto *table = root.table("bounds");
    if (!table)
        return;
    auto reader = root.child(*table, "bounds");
    auto &bounds = result.bounds_;
    Duration revocation{};
    Duration leaving = result.propagationBound_;
    Duration configuration = result.propagationBound_;
    reader.read("leave_within", leaving, boundRange);
    reader.read("configure_within", configuration, boundRange);
    result.propagationBound_ = std::min(leaving, configuration);
    reader.read("stop_within", result.grace_, graceRange);
    reader.read("revoke_within", revocation, boundRange);
    if (revocation > Duration::zero())
        bounds.longestUnconfirmed_ = fromSeconds(toSeconds(revocation) * revocationUsableShare);
    reader.read("retry_share", bounds.retryShare_, {0, 1});
    reader.read("retry_window", bounds.retryWindow_, boundRange);
    reader.read("retry_reserve", bounds.retryReserve_, reserveRange);
    readBytes(reader, "answer_bytes", bounds.answerBytes_, answerRange);
    readBytes(reader, "event_bytes", bounds.eventBytes_, eventRange);
    reader.finish();
}

void readMachine(TableReader &root, GatewaySettings &result)
{
    const auto *table = root.table("machine");
    if (!table)
        return;
    auto reader = root.child(*table, "machine");
    reader.read("cores", result.cores_, coreRange);
    reader.read("link_mbps", result.linkMegabits_, linkRange);
    double memory = 0;
    reader.read("memory_mb", memory, memoryRange);
    std::uint32_t descriptors = 0;
    reader.read("descriptors", descriptors, descriptorRange);
    result.descriptors_ = descriptors;
    if (memory <= 0) {
        reader.finish();
        return;
    }
    const double bytes = memory * bytesPerMegabyte;
    result.inputBytes_ = static_cast<std::size_t>(bytes * net::BoundedInputBudget::memoryShare);
    result.bounds_.callerBufferBytes_
        = static_cast<std::size_t>(bytes * BoundedCallerBuffers::memoryShare);
    result.bounds_.answerBufferBytes_
        = static_cast<std::size_t>(bytes * BoundedAnswerBuffers::memoryShare);
    reader.finish();
}

/// Reads [regions], whose keys are availability zones.
void readRegions(TableReader &root, GatewaySettings &result)
{
    const auto *table = root.table("regions");
    if (!table)
        return;
    auto reader = root.child(*table, "regions");
    for (const auto &[zone, region] : *table) {
        std::string name;
        reader.read(zone.str(), name);
        if (!name.empty())
            result.regions_.emplace(std::string(zone.str()), name);
    }
    reader.finish();
}

void readLog(TableReader &root, GatewaySettings &result)
{
    const auto *table = root.table("log");
    if (!table)
        return;
    auto reader = root.child(*table, "log");
    reader.readChoice("level", result.logLevel_, {"debug", "info", "warn", "error"});
    reader.finish();
}

GatewaySettings readAll(const toml::table &document, const std::string &file, Problems &problems)
{
    GatewaySettings result;
    TableReader root(document, "", file, problems);
    root.require("entry", "set a name that is unique among the entry VMs");
    root.require("zone", "set the availability zone of this VM");
    std::string entry;
    std::string zone;
    root.read("entry", entry);
    root.read("zone", zone);
    result.entry_ = EntryId(entry);
    result.zone_ = AvailabilityZone(zone);
    root.read("first_start", result.isFirstStart_);
    root.read("charts", result.chartsFolder_);
    readListen(root, result);
    readStore(root, result);
    readBounds(root, result);
    readMachine(root, result);
    readRegions(root, result);
    readLog(root, result);
    root.finish();
    return result;
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(std::string_view text, const std::string &file)
{
    Problems problems;
    const auto document = config::impl::parseToml(text, file, problems);
    GatewaySettings result = document ? readAll(*document, file, problems) : GatewaySettings{};
    if (!problems.isEmpty())
        return Error(problems.sorted().front());
    return result;
}

Result<GatewaySettings> loadGatewaySettings(const std::string &file)
{
    const auto text = config::readTextFile(file);
    if (!isOk(text))
        return errorOf(text);
    return parseGatewaySettings(valueOf(text), file);
}

} // namespace cardamombay::serving
