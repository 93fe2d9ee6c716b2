#include "fleet.hpp"

#include <cardamombay/config/config_store.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdlib>
#include <optional>
#include <stdexcept>

namespace cardamombay::test {

namespace {

constexpr auto baseText = R"(deployment = "loopback"

[services.lm]
kind = "model"
model = { name = "m", version = "1" }
vms_per_replica = 2
requests_per_replica = 32
replicas = 2
request_timeout = "60s"

[services.app]
kind = "plain"
path_prefix = "/app"
requests_per_replica = 64
replicas = 1

[[services.app.routes]]
method = "POST"
path = "/app/bookings"
idempotent = false

[teams.studio]
weight = 1.0
)";

constexpr auto overlayText = R"(site = "lac"
region = "tunis"
)";

std::string stateOf(std::uint16_t port)
{
    support::Caller caller({"127.0.0.1", port});
    caller.timeout_ = std::chrono::seconds(2);
    const auto result = caller.fetch("/v1/state");
    return result.isWhole_ ? result.body_ : std::string();
}

boost::json::object objectOf(const std::string &text)
{
    boost::json::error_code error;
    const auto value = boost::json::parse(text, error);
    return !error && value.is_object() ? value.get_object() : boost::json::object();
}

boost::json::object vmLine(const std::string &id, const char *role, std::uint16_t port)
{
    boost::json::object vm;
    vm["id"] = id;
    vm["role"] = role;
    vm["status"] = "live";
    vm["ip"] = "127.0.0.1";
    vm["port"] = port;
    vm["zone"] = "lac";
    vm["domain"] = std::string(role) == "engine" ? "fabric-1" : "";
    vm["service"] = std::string(role) == "plain" ? "app" : "";
    return vm;
}

} // namespace

Fleet::Fleet(const FleetPlan &plan)
{
    startEndpoints(plan);
    for (std::size_t index = 0; index < plan.entries_; ++index)
        entries_.push_back({{}, {"127.0.0.1", support::freePort()}, support::freePort()});
    startPlatform();
    applyConfiguration();
    startEntries(plan.entries_);
}

void Fleet::startEndpoints(const FleetPlan &plan)
{
    for (std::size_t index = 0; index < plan.engines_; ++index) {
        const auto name = "engine-" + std::to_string(index);
        const auto process
            = harness_.start(name, harness_.program("engine_standin"),
                             {"--vm", name, "--load-ms", "50", "--tokens-per-second",
                              std::to_string(plan.tokensPerSecond_), "--slots", "64"});
        engines_.push_back({process, harness_.waitForPort(process)});
    }
    plain_.process_
        = harness_.start("plain-0", harness_.program("plain_standin"), {"--vm", "plain-0"});
    plain_.port_ = harness_.waitForPort(plain_.process_);
}

std::string Fleet::vmList() const
{
    boost::json::array vms;
    for (std::size_t index = 0; index < engines_.size(); ++index)
        vms.push_back(vmLine("engine-" + std::to_string(index), "engine", engines_[index].port_));
    vms.push_back(vmLine("plain-0", "plain", plain_.port_));
    for (std::size_t index = 0; index < entries_.size(); ++index)
        vms.push_back(vmLine("entry-" + std::to_string(index), "entry", entries_[index].peers_));
    boost::json::object list;
    list["vms"] = std::move(vms);
    return boost::json::serialize(list);
}

void Fleet::startPlatform()
{
    const auto file = harness_.writeFile("vms.json", vmList());
    platform_.process_ = harness_.start("platform", harness_.program("platform_standin"),
                                        {"--port", "0", "--vms", file, "--vm-list-lag-ms", "100",
                                         "--reads-per-second", "0", "--writes-per-second", "0"});
    platform_.port_ = harness_.waitForPort(platform_.process_);
}

std::string Fleet::settingsOf(std::size_t index) const
{
    const auto &entry = entries_[index];
    std::string seeds;
    for (const auto &other : entries_)
        seeds += (seeds.empty() ? "\"127.0.0.1:" : ", \"127.0.0.1:") + std::to_string(other.peers_)
                 + "\"";
    return "entry = \"entry-" + std::to_string(index) + "\"\nzone = \"lac\"\nregion = \"tunis\"\n"
           + "charts = \"" + SOURCE_FOLDER + "/charts\"\n[listen]\ncallers = \""
           + entry.callers_.text() + "\"\npeers = \"127.0.0.1:" + std::to_string(entry.peers_)
           + "\"\n[platform]\naddresses = [\"127.0.0.1:" + std::to_string(platform_.port_)
           + "\"]\n[peers]\nseeds = [" + seeds + "]\n"
           + "[drain]\nannounce = \"500ms\"\nin_flight = \"60s\"\n"
           + "[intervals]\nprobe = \"100ms\"\nfreshness = \"800ms\"\nvm_list = \"200ms\"\n"
           + "[log]\ntrace_file = \"" + (harness_.folder() / "spans.jsonl").string() + "\"\n";
}

void Fleet::startEntries(std::size_t count)
{
    for (std::size_t index = 0; index < count; ++index) {
        const auto name = "entry-" + std::to_string(index);
        const auto file = harness_.writeFile(name + ".toml", settingsOf(index));
        entries_[index].process_
            = harness_.start(name, harness_.program("cardamombayd"), {"--settings", file});
    }
}

void Fleet::applyConfiguration() const
{
    boost::asio::io_context context(1);
    net::AsioClock clock(context);
    net::AsioHttpClient client(context);
    const platform::HttpEndpoint endpoint{{"127.0.0.1", platform_.port_}};
    platform::HttpTableStore tables(client, endpoint);
    platform::HttpObjectStore objects(client, endpoint);
    Random random(1);
    config::ConfigStore store(clock, tables, objects, random,
                              platform::WriterTokens(EntryId("test"), Incarnation(1)));
    config::ConfigChange change;
    change.sources_ = {{"base.toml", baseText}, {{"lac.toml", overlayText}}};
    std::optional<Result<ConfigVersion>> applied;
    store.apply(std::move(change), [&](Result<ConfigVersion> result) {
        applied = std::move(result);
        context.stop();
    });
    context.run();
    if (!isOk(*applied))
        throw std::runtime_error(messageOf(errorOf(*applied)));
}

void Fleet::waitUntilServing(std::size_t groups)
{
    const auto isServing = [&] {
        std::size_t ready = 0;
        for (const auto &engine : engines_)
            ready += objectOf(stateOf(engine.port_))["phase"] == "ready" ? 1 : 0;
        if (ready < 2 * groups)
            return false;
        for (const auto &entry : entries_) {
            support::Caller caller(entry.callers_);
            support::CompletionCall call;
            call.service_ = "lm";
            call.team_ = "studio";
            call.tokens_ = 1;
            if (caller.fetch("/readyz").status_ != 200 || !caller.complete(call).isComplete())
                return false;
        }
        return true;
    };
    if (!support::waitUntil(isServing))
        throw std::runtime_error("the fleet did not come to serve: "
                                 + harness_.errors(entries_.front().process_));
}

std::string Fleet::engineState(std::size_t index) const
{
    return stateOf(engines_.at(index).port_);
}

std::string Fleet::groupOf(std::size_t engine) const
{
    const auto state = objectOf(engineState(engine));
    const auto *assignment = state.if_contains("assignment");
    if (assignment == nullptr || !assignment->is_object())
        return {};
    const auto *group = assignment->get_object().if_contains("group");
    return group == nullptr ? std::string() : std::string(group->get_string());
}

std::size_t Fleet::runningEngine() const
{
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        support::Caller caller({"127.0.0.1", engines_[index].port_});
        const auto ledger = caller.fetch("/test/ledger");
        if (ledger.body_.find("\"running\"") != std::string::npos)
            return index;
    }
    return engines_.size();
}

double Fleet::tokensRelayed(std::size_t index) const
{
    constexpr std::string_view name = "\ncardamombay_tokens_relayed_total ";
    const auto metrics = support::Caller(entry(index)).fetch("/metrics").body_;
    const auto at = metrics.find(name);
    return at == std::string::npos ? 0 : std::strtod(metrics.c_str() + at + name.size(), nullptr);
}

std::size_t Fleet::fellowOf(std::size_t index) const
{
    const auto group = groupOf(index);
    for (std::size_t other = 0; other < engines_.size(); ++other) {
        if (other != index && groupOf(other) == group)
            return other;
    }
    return engines_.size();
}

} // namespace cardamombay::test
