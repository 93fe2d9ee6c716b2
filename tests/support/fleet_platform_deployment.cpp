#include "support/fleet_platform_deployment.hpp"

#include <boost/json.hpp>

#include <sstream>
#include <stdexcept>

namespace cardamombay::test {

namespace json = boost::json;

namespace {

constexpr auto callTimeout = std::chrono::seconds(10);

std::string configurationText(int version, const std::string &extraRoute, bool hasKeyA,
                              std::size_t bodyBytes)
{
    json::array routes{{{"Name", "stream"},
                        {"Host", "h"},
                        {"Prefix", "/stream/"},
                        {"Kind", "streaming"},
                        {"TimeoutMs", 8000},
                        {"GoalMs", 2000},
                        {"Priority", 1},
                        {"Service", "lm"},
                        {"MaxAttempts", 2},
                        {"Resumable", true},
                        {"GapTargetMs", 500}},
                       {{"Name", "once"},
                        {"Host", "h"},
                        {"Prefix", "/once/"},
                        {"Kind", "non_idempotent"},
                        {"TimeoutMs", 3000},
                        {"GoalMs", 500},
                        {"Priority", 2},
                        {"Service", "app"},
                        {"MaxAttempts", 1}}};
    if (!extraRoute.empty())
        routes.push_back({{"Name", "extra"},
                          {"Host", "h"},
                          {"Prefix", extraRoute},
                          {"Kind", "idempotent"},
                          {"TimeoutMs", 3000},
                          {"GoalMs", 500},
                          {"Service", "app"},
                          {"MaxAttempts", 2}});
    const json::array models{
        {{"Name", "m"}, {"size", 2}, {"Share", 0.5}, {"pace", 1.0}, {"LoadS", 1.5}, {"WarmS", 0.1}},
        {{"Name", "n"},
         {"size", 3},
         {"Share", 0.5},
         {"pace", 1.0},
         {"LoadS", 1.5},
         {"WarmS", 0.1}}};
    const json::object engine{{"Slots", 8},
                              {"KvCapacity", 100000},
                              {"Stride", 7},
                              {"Models", models},
                              {"step_ms", 3.0},
                              {"per_seq_ms", 0.05},
                              {"context_per_k", 0.01},
                              {"read_per_s", 50000.0},
                              {"LoadsPerS", 10.0},
                              {"loads_at_once", 6},
                              {"far_x", 2.5},
                              {"FormMs", 20.0}};
    json::array keys;
    if (hasKeyA)
        keys.emplace_back("key-a");
    keys.emplace_back("key-c");
    return json::serialize(json::object{{"Version", version},
                                        {"Routes", routes},
                                        {"Services",
                                         {{{"Name", "lm"}, {"MaxConns", 300}, {"Engine", engine}},
                                          {{"Name", "app"}, {"MaxConns", 100}}}},
                                        {"Limits",
                                         {{"MaxHeaderBytes", 16384},
                                          {"MaxBodyBytes", bodyBytes},
                                          {"HeaderTimeoutMs", 3000},
                                          {"IdleTimeoutMs", 15000}}},
                                        {"Tenants", {{{"Name", "team-a"}, {"ApiKeys", keys}}}}});
}

std::string addressText(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

Deployment::Deployment(Links links, std::uint32_t memoryMegabytes, std::size_t bodyBytes)
    : harness_(PROGRAM_FOLDER)
    , memoryMegabytes_(memoryMegabytes)
    , bodyBytes_(bodyBytes)
{
    const auto platform
        = harness_.start("platform", harness_.program("fleet_platform_standin"), {});
    store_ = harness_.waitForPort(platform);
    configure(1);
    if (links != Links::None)
        openLinks(links);
    for (std::size_t number = 0; number < gatewayCount; ++number) {
        ports_.push_back(
            {support::freePort(), support::freePort(), support::freePort(), support::freePort()});
        gateways_.push_back(startGateway(number));
    }
    const bool serves = support::waitUntil([this] {
        for (std::size_t number = 0; number < gatewayCount; ++number) {
            if (!isReady(number) || stream(number, "warm", "m").status_ != 200
                || stream(number, "warm", "n").status_ != 200)
                return false;
        }
        return true;
    });
    if (!serves)
        throw std::runtime_error("the gateways did not start serving: "
                                 + harness_.output(gateways_[0]));
}

void Deployment::openLinks(Links links)
{
    proxy_ = harness_.waitForPort(harness_.start("links", harness_.program("fault_proxy"), {}));
    for (std::size_t number = 0; number < gatewayCount; ++number)
        storeLinkPorts_.push_back(openLink(store_));
    if (links == Links::Store)
        return;
    for (const auto &[id, port] : report().ports_)
        tell("port/" + id, std::to_string(openLink(static_cast<std::uint16_t>(port))));
}

std::uint16_t Deployment::openLink(std::uint16_t target)
{
    const auto body = json::serialize(json::object{{"ip", "127.0.0.1"}, {"port", target}});
    const auto result = support::Caller({"127.0.0.1", proxy_}).post("/test/links", body);
    ++linkCount_;
    return json::parse(result.body_).as_object().at("port").to_number<std::uint16_t>();
}

void Deployment::controlLink(std::size_t link, const std::string &action,
                             const std::string &body) const
{
    const auto path = "/test/links/" + std::to_string(link) + "/" + action;
    const auto result = support::Caller({"127.0.0.1", proxy_}).post(path, body);
    if (result.status_ != 200)
        throw std::runtime_error("the fault proxy rejected " + path + ": " + result.body_);
}

support::ProcessId Deployment::startGateway(std::size_t number)
{
    const auto &ports = ports_.at(number);
    const bool isFirst = number >= gateways_.size();
    const auto name = "entry-" + std::to_string(number);
    const auto settings = harness_.writeFile(
        name + ".toml",
        "entry = \"" + name
            + "\"\nzone = \"z\"\nfirst_start = " + std::string(isFirst ? "true" : "false")
            + "\ncharts = \"" SOURCE_FOLDER "/charts\"\n[listen]\ncallers = "
            + addressText(ports.callers_) + "readiness = " + addressText(ports.readiness_)
            + "metrics = " + addressText(ports.metrics_)
            + "digests = " + addressText(ports.digests_) + "[store]\naddress = "
            + addressText(storeLinkPorts_.empty() ? store_ : storeLinkPorts_.at(number))
            + "[bounds]\nstop_within = \"8s\"\nrevoke_within = \"5s\"\nretry_share = 0.2\n"
              "retry_window = \"10s\"\nretry_reserve = 130\n"
            + (memoryMegabytes_ == 0
                   ? std::string()
                   : "[machine]\nmemory_mb = " + std::to_string(memoryMegabytes_) + "\n"));
    return harness_.start(name, harness_.program("cardamombay-gateway"), {"--settings", settings});
}

load::CallResult Deployment::stream(std::size_t gateway, const std::string &id,
                                    const std::string &model, const std::string &key,
                                    const std::string &path) const
{
    return support::Caller({}).send(streamCall(gateway, id, model, key, path));
}

load::Call Deployment::streamCall(std::size_t gateway, const std::string &id,
                                  const std::string &model, const std::string &key,
                                  const std::string &path) const
{
    load::Call call;
    call.address_ = {"127.0.0.1", ports_.at(gateway).callers_};
    call.target_ = path;
    call.timeout_ = callTimeout;
    call.fields_ = {{"Host", "h"},
                    {"X-Request-Id", id},
                    {"X-Model", model},
                    {"X-Token-Counts", "200,140"},
                    {"X-Deadline-Ms", "8000"},
                    {"Authorization", "Bearer " + key}};
    return call;
}

load::CallResult Deployment::streamWithParts(std::size_t gateway, const std::string &id,
                                             const std::string &parts,
                                             const std::string &model) const
{
    auto call = streamCall(gateway, id, model, "key-a", "/stream/" + id);
    call.fields_.push_back({"X-Prompt-Prefix", parts});
    return support::Caller({}).send(call);
}

load::CallResult Deployment::call(std::size_t gateway, const std::string &path,
                                  const std::string &id, const std::string &key,
                                  std::string body) const
{
    load::Call call;
    call.address_ = {"127.0.0.1", ports_.at(gateway).callers_};
    call.target_ = path;
    call.timeout_ = callTimeout;
    call.body_ = std::move(body);
    call.fields_ = {{"Host", "h"},
                    {"X-Request-Id", id},
                    {"X-Deadline-Ms", "3000"},
                    {"Authorization", "Bearer " + key}};
    return support::Caller({}).send(call);
}

void Deployment::configure(int version, const std::string &extraRoute, bool hasKeyA) const
{
    tell("config", configurationText(version, extraRoute, hasKeyA, bodyBytes_));
}

void Deployment::tell(const std::string &what, const std::string &body) const
{
    const auto result = support::Caller({"127.0.0.1", store_}).post("/test/" + what, body);
    if (result.status_ != 200)
        throw std::runtime_error("the platform stand-in rejected " + what);
}

EngineReport Deployment::report() const
{
    const auto result = support::Caller({"127.0.0.1", store_}).fetch("/test/report");
    const auto object = json::parse(result.body_).as_object();
    EngineReport report;
    report.crashes_ = object.at("crashes").to_number<int>();
    report.endlessOpen_ = object.at("endless_open").to_number<std::size_t>();
    report.endlessStarted_ = object.at("endless_started").to_number<std::size_t>();
    report.endlessBytes_ = object.at("endless_bytes").to_number<std::uint64_t>();
    for (const auto &endpoint : object.at("endpoint_crashes").as_object())
        report.endpointCrashes_[std::string(endpoint.key())] = endpoint.value().to_number<int>();
    for (const auto &run : object.at("runs").as_object())
        report.runs_.emplace_back(std::string(run.key()), run.value().to_number<int>());
    for (const auto &endpoint : object.at("arrivals").as_object()) {
        auto &arrivals = report.arrivals_[std::string(endpoint.key())];
        for (const auto &at : endpoint.value().as_array())
            arrivals.push_back(at.to_number<std::int64_t>());
    }
    for (const auto &one : object.at("violations").as_array())
        report.violations_.push_back(json::value_to<std::string>(one));
    for (const auto &port : object.at("ports").as_object())
        report.ports_.emplace_back(std::string(port.key()), port.value().to_number<int>());
    return report;
}

bool Deployment::isReady(std::size_t gateway) const
{
    support::Caller caller({"127.0.0.1", ports_.at(gateway).readiness_});
    caller.timeout_ = std::chrono::seconds(1);
    return caller.fetch("/ready").status_ == 200;
}

std::vector<std::string> Deployment::logLinesContaining(std::size_t gateway,
                                                        const std::string &text) const
{
    std::vector<std::string> result;
    std::istringstream lines(harness_.output(gateways_.at(gateway)));
    for (std::string line; std::getline(lines, line);) {
        if (line.find(text) != std::string::npos)
            result.push_back(line);
    }
    return result;
}

std::size_t countSequentialEvents(const std::string &body)
{
    std::istringstream lines(body);
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("id: "))
            continue;
        if (line != "id: " + std::to_string(++count))
            return 0;
    }
    return count;
}

} // namespace cardamombay::test
