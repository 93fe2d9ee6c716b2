/// \file
/// \brief Program: test double of the users' store, engines and plain endpoints, on 127.0.0.1.
/// \details The store's port also accepts test commands. POST requests:
/// - /test/config: publishes the configuration in the body.
/// - /test/silence/ID: the endpoint stops responding.
/// - /test/expire/ID: removes the endpoint's entry.
/// - /test/drain/ID: the endpoint's entry becomes "draining".
/// - /test/limit/ID: the endpoint announces the rate limit in the body (requests per second).
/// - /test/cooldown/ID: the endpoint refuses for a while, with the Retry-After in the body.
/// - /test/leaving/ID: the endpoint announces in its responses, not in its entry, that it leaves.
/// - /test/endless/ID: the endpoint sends bytes without end, of the kind in the body; an empty body
///   ends this.
/// - /test/port/ID: the endpoint registers the port in the body.
/// - /test/restore/AGE: restores a backup of at least that age in milliseconds.
/// - /test/outage/STATUS: the store responds with that status only; 0 ends the outage.
///
/// GET /test/report returns runs, arrivals, crashes, violations and the endpoints' actual ports.
#include "support/group_engine_standin.hpp"
#include "support/program_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

using namespace cardamombay;
using namespace cardamombay::support;

namespace {

namespace json = boost::json;

/// Times in milliseconds from an arbitrary origin.
json::array encodeArrivals(const GroupEngineStandin &engine)
{
    json::array result;
    for (const auto at : engine.arrivals())
        result.emplace_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count());
    return result;
}

std::string encodeReport(const EngineRegistry &registry)
{
    json::object runs;
    for (const auto &[request, count] : registry.runs_)
        runs[request] = count;
    json::array violations(registry.violations_.begin(), registry.violations_.end());
    json::object ports;
    for (const auto &[id, engine] : registry.engines_)
        ports[id] = engine->port();
    json::object endpointCrashes;
    for (const auto &[id, engine] : registry.engines_)
        endpointCrashes[id] = engine->crashCount();
    json::object arrivals;
    for (const auto &[id, engine] : registry.engines_)
        arrivals[id] = encodeArrivals(*engine);
    return json::serialize(json::object{{"runs", std::move(runs)},
                                        {"arrivals", std::move(arrivals)},
                                        {"crashes", registry.crashes_},
                                        {"endpoint_crashes", std::move(endpointCrashes)},
                                        {"endless_open", registry.endlessAnswers_.open_},
                                        {"endless_started", registry.endlessAnswers_.started_},
                                        {"endless_bytes", registry.endlessAnswers_.bytes_},
                                        {"violations", std::move(violations)},
                                        {"ports", std::move(ports)}});
}

/// How long an endpoint refuses after a cooldown command.
constexpr auto refusalPeriod = std::chrono::milliseconds(2500);

void command(EngineRegistry &registry, const std::string &path, const std::string &body)
{
    const auto slash = path.rfind('/');
    const auto verb = path.substr(0, slash);
    const auto id = path.substr(slash + 1);
    if (path == "/test/config")
        registry.store_.put("op", "config", body);
    else if (verb == "/test/silence")
        registry.engines_.at(id)->stopResponding();
    else if (verb == "/test/expire")
        registry.store_.remove("servers", id);
    else if (verb == "/test/drain")
        registry.engines_.at(id)->drain();
    else if (verb == "/test/limit")
        registry.engines_.at(id)->setRateLimit(body);
    else if (verb == "/test/cooldown")
        registry.engines_.at(id)->startCooldown(refusalPeriod, body);
    else if (verb == "/test/leaving")
        registry.engines_.at(id)->announceLeaving();
    else if (verb == "/test/endless")
        registry.engines_.at(id)->setEndlessAnswers(body);
    else if (verb == "/test/port")
        registry.engines_.at(id)->registerAt(static_cast<std::uint16_t>(std::stoul(body)));
    else if (verb == "/test/restore")
        registry.store_.restore(std::chrono::milliseconds(std::stoul(id)));
    else if (verb == "/test/outage")
        registry.store_.outage_ = static_cast<unsigned>(std::stoul(id));
}

boost::asio::awaitable<void> handle(RowStoreStandin &store, EngineRegistry &registry,
                                    StandinExchange &exchange)
{
    const bool isTaken = co_await store.handle(exchange);
    if (isTaken)
        co_return;
    command(registry, std::string(exchange.request().target()), exchange.request().body());
    auto response = jsonResponse(200, encodeReport(registry));
    co_await exchange.respond(std::move(response));
}

} // namespace

int main(int argc, char **argv)
{
    std::uint64_t engines = 6;
    std::uint64_t domains = 2;
    std::uint64_t plain = 2;
    ProgramOptions()
        .number("engines", engines, "engines of each fabric domain")
        .number("domains", domains, "fabric domains")
        .number("plain", plain, "endpoints of the plain service")
        .parse(argc, argv);
    boost::asio::io_context context;
    RowStoreStandin store;
    EngineRegistry registry{store, {}, {}, {}, 0, {}};
    const auto add = [&](const std::string &id, const std::string &service,
                         const std::string &domain) {
        auto engine = std::make_shared<GroupEngineStandin>(context, registry, id, service, domain);
        engine->registerEntry();
        registry.engines_.emplace(id, std::move(engine));
    };
    for (std::uint64_t d = 0; d < domains; ++d) {
        for (std::uint64_t e = 0; e < engines; ++e)
            add("e-" + std::to_string(d) + "-" + std::to_string(e), "lm", "d" + std::to_string(d));
    }
    for (std::uint64_t p = 0; p < plain; ++p)
        add("p-" + std::to_string(p), "app", "");
    StandinServer server(
        context, 0, [&](StandinExchange &exchange) { return handle(store, registry, exchange); });
    runStandin(context, server.port());
    return 0;
}
