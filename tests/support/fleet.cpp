#include "support/fleet.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace cardamombay::support {

namespace json = boost::json;

namespace {

constexpr std::string_view loopback = "127.0.0.1";

json::object vmOf(const FleetNode &node, const Address &address, std::string_view role,
                  std::string_view service = "")
{
    return {{"id", node.name_},       {"role", role},          {"status", "live"},
            {"ip", address.ip_},      {"port", address.port_}, {"zone", node.zone_.text()},
            {"domain", node.domain_}, {"service", service}};
}

} // namespace

Fleet::Fleet(std::filesystem::path programs, std::filesystem::path sources, FleetPlan plan)
    : plan_(std::move(plan))
    , sources_(std::move(sources))
    , harness_(std::move(programs))
{
}

void Fleet::start()
{
    startPlatform();
    startEntries();
    applyConfiguration();
    waitUntilServing();
}

void Fleet::startPlatform()
{
    Launch platform{"platform", "platform_standin", plan_.platformArguments_};
    platform_ = launchEndpoint(std::move(platform), AvailabilityZone{}, "");
    const std::string weights = routed("engine", platform_, platform_.address_).text();
    for (const auto &zone : plan_.zones_) {
        for (std::uint32_t d = 0; d < plan_.domainsPerZone_; ++d) {
            const std::string domain = zone.text() + "-d" + std::to_string(d);
            for (std::uint32_t i = 0; i < plan_.enginesPerDomain_; ++i) {
                Launch launch{domain + "-e" + std::to_string(i), "engine_standin",
                              plan_.engineArguments_};
                launch.arguments_.insert(launch.arguments_.end(), {"--weights", weights});
                if (!plan_.checksFencing_)
                    launch.arguments_.emplace_back("--ignore-fencing");
                engines_.push_back(launchEndpoint(std::move(launch), zone, domain));
            }
        }
        for (std::uint32_t i = 0; i < plan_.plainsPerZone_; ++i) {
            Launch launch{zone.text() + "-p" + std::to_string(i), "plain_standin", {}};
            plains_.push_back(launchEndpoint(std::move(launch), zone, ""));
        }
    }
}

FleetNode Fleet::launchEndpoint(Launch launch, const AvailabilityZone &zone, std::string domain)
{
    FleetNode node;
    node.name_ = launch.name_;
    node.zone_ = zone;
    node.domain_ = std::move(domain);
    node.address_ = {std::string(loopback), freePort()};
    launch.arguments_.insert(launch.arguments_.end(),
                             {"--port", std::to_string(node.address_.port_)});
    if (launch.program_ != "platform_standin") {
        launch.arguments_.insert(launch.arguments_.end(),
                                 {"--vm", node.name_, "--ledger", ledgerFile(node)});
    }
    node.process_
        = harness_.start(node.name_, harness_.program(launch.program_), launch.arguments_);
    harness_.waitForPort(node.process_);
    launches_.push_back(std::move(launch));
    return node;
}

void Fleet::startEntries()
{
    for (std::uint32_t i = 0; i < plan_.entries_; ++i) {
        FleetNode entry;
        entry.name_ = "entry-" + std::to_string(i);
        entry.zone_ = plan_.zones_[i % plan_.zones_.size()];
        entry.address_ = {std::string(loopback), freePort()};
        entry.peers_ = {std::string(loopback), freePort()};
        entry.reached_ = routed("caller", entry, entry.address_);
        entries_.push_back(std::move(entry));
    }
    postVms();
    for (std::size_t i = 0; i < entries_.size(); ++i)
        launchEntry(i);
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const bool isUp = waitUntil([&] {
            return caller(i).fetch("/healthz").status_ == 200
                   || !harness_.isRunning(entries_[i].process_);
        });
        if (!isUp || !harness_.isRunning(entries_[i].process_))
            throw std::runtime_error("entry VM does not start: " + entryLogs());
    }
}

void Fleet::launchEntry(std::size_t index)
{
    FleetNode &entry = entries_[index];
    const std::string file = harness_.writeFile(entry.name_ + ".toml", settingsOf(entry));
    entry.process_
        = harness_.start(entry.name_, harness_.program("cardamombayd"), {"--settings", file});
}

std::string Fleet::settingsOf(const FleetNode &entry) const
{
    std::ostringstream out;
    out << "entry = \"" << entry.name_ << "\"\n"
        << "zone = \"" << entry.zone_.text() << "\"\n"
        << "region = \"" << plan_.region_ << "\"\n"
        << "charts = \"" << (sources_ / "charts").string() << "\"\n"
        << "[listen]\ncallers = \"" << entry.address_ << "\"\npeers = \"" << entry.peers_
        << "\"\n[platform]\naddresses = [\"" << routed(entry.name_, platform_, platform_.address_)
        << "\"]\n[peers]\nseeds = [";
    for (const auto &other : entries_) {
        if (other.name_ != entry.name_)
            out << "\"" << routed(entry.name_, other, other.peers_) << "\", ";
    }
    out << "]\nadvertise = \"" << routed("entry", entry, entry.peers_) << "\"\n" << plan_.settings_;
    return out.str();
}

Address Fleet::routed(std::string_view client, const FleetNode &server,
                      const Address &address) const
{
    return plan_.route_ ? plan_.route_(client, server.name_, address) : address;
}

void Fleet::postVms()
{
    const auto answer = Caller(platform_.address_).post("/test/vms", vmList());
    if (answer.status_ != 200)
        throw std::runtime_error("the platform refused the VM list: " + answer.body_);
}

std::string Fleet::vmList() const
{
    json::array vms;
    for (const auto &node : engines_)
        vms.push_back(vmOf(node, routed("entry", node, node.address_), "engine"));
    for (const auto &node : plains_)
        vms.push_back(
            vmOf(node, routed("entry", node, node.address_), "plain", plan_.plainService_));
    for (const auto &node : entries_)
        vms.push_back(vmOf(node, routed("entry", node, node.peers_), "entry"));
    return json::serialize(json::object{{"vms", std::move(vms)}});
}

std::string Fleet::defaultBase() const
{
    std::ostringstream out;
    out << "deployment = \"test\"\n"
        << "[planner]\nreturn_time = \"10s\"\nreplace_grace = \"1s\"\n"
        << "[services.lm]\nkind = \"model\"\nmodel = { name = \"m\", version = \"1\" }\n"
        << "vms_per_replica = " << plan_.vmsPerReplica_ << "\nreplicas = " << plan_.replicas_
        << "\nrequests_per_replica = 16\nload_time = \"1s\"\nchecks_fencing = "
        << (plan_.checksFencing_ ? "true" : "false") << "\nrequest_timeout = \"30s\"\n"
        << "[services.app]\nkind = \"plain\"\npath_prefix = \"/app\"\nreplicas = "
        << plan_.plainsPerZone_ << "\nrequest_timeout = \"10s\"\n"
        << "[[services.app.routes]]\nmethod = \"POST\"\npath = \"/app/bookings\"\n"
        << "idempotent = false\n"
        << "[teams.red]\nweight = 2.0\n[teams.blue]\nweight = 1.0\n";
    return out.str();
}

void Fleet::applyConfiguration()
{
    apply(plan_.base_.empty() ? defaultBase() : plan_.base_);
}

std::string Fleet::apply(std::string_view base, std::vector<std::string> overlays, std::uint64_t on)
{
    if (overlays.empty()) {
        for (const auto &zone : plan_.zones_)
            overlays.push_back("site = \"" + zone.text() + "\"\nregion = \"" + plan_.region_
                               + "\"\n");
    }
    std::vector<std::string> arguments{"--store", platform_.address_.text(), "config", "apply",
                                       harness_.writeFile("base.toml", base)};
    if (on > 0)
        arguments.insert(arguments.end(), {"--on", std::to_string(on)});
    for (std::size_t i = 0; i < overlays.size(); ++i) {
        const std::string name = "overlay-" + std::to_string(i) + ".toml";
        arguments.push_back(harness_.writeFile(name, overlays[i]));
    }
    const auto ctl = harness_.start("ctl-" + std::to_string(++ctlRuns_),
                                    harness_.program("cardamombayctl"), arguments);
    const int status = harness_.waitForExit(ctl);
    std::string printed = harness_.output(ctl);
    if (status != 0)
        throw std::runtime_error("cardamombayctl failed: " + printed + harness_.errors(ctl));
    return printed;
}

void Fleet::waitUntilServing()
{
    const auto serves = [&](std::size_t entry) {
        CompletionCall call;
        call.service_ = "lm";
        call.team_ = "red";
        call.tokens_ = 1;
        auto probing = caller(entry);
        if (!probing.complete(call).isComplete())
            return false;
        load::Call plain;
        plain.method_ = "GET";
        plain.target_ = "/app/";
        plain.fields_ = {{"X-Team", "red"}};
        return plan_.plainsPerZone_ == 0 || probing.send(plain).status_ == 200;
    };
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (!waitUntil([&] { return serves(i); }))
            throw std::runtime_error("entry VM " + std::to_string(i)
                                     + " does not serve: " + entryLogs());
    }
}

void Fleet::restart(FleetNode &node)
{
    if (harness_.isRunning(node.process_))
        harness_.kill(node.process_);
    const auto launch = std::find_if(launches_.begin(), launches_.end(), [&](const Launch &known) {
        return known.name_ == node.name_;
    });
    if (launch == launches_.end()) {
        launchEntry(static_cast<std::size_t>(&node - entries_.data()));
        return;
    }
    node.process_
        = harness_.start(node.name_, harness_.program(launch->program_), launch->arguments_);
}

void Fleet::leave(const FleetNode &node)
{
    const json::object status{{"id", node.name_}, {"status", "leaving"}};
    Caller(platform_.address_).post("/test/vms/status", json::serialize(status));
}

std::string Fleet::ledgerFile(const FleetNode &node) const
{
    return harness_.folder() / (node.name_ + ".runs");
}

std::vector<RunRecord> Fleet::runs() const
{
    std::vector<RunRecord> all;
    for (const auto *nodes : {&engines_, &plains_}) {
        for (const auto &node : *nodes) {
            const auto records = RunLedgerFile::read(ledgerFile(node));
            all.insert(all.end(), records.begin(), records.end());
        }
    }
    return all;
}

Caller Fleet::caller(std::size_t entry) const
{
    return Caller(entries_.at(entry).reached_);
}

std::string Fleet::entryLogs()
{
    std::string logs;
    for (const auto &entry : entries_)
        logs += entry.name_ + ":\n" + harness_.output(entry.process_)
                + harness_.errors(entry.process_);
    return logs;
}

} // namespace cardamombay::support
