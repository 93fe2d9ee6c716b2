/// \file
/// \brief Program: the users' store with engines in groups and plain endpoints, on 127.0.0.1.
/// \details The store's port also takes what a test tells it: POST /test/config with a
/// configuration, /test/silence/ID, /test/expire/ID, /test/drain/ID, /test/outage/STATUS,
/// /test/limit/ID with the requests a second that the endpoint names from then on,
/// /test/cooldown/ID with the seconds that it names in refusals for a while, /test/leaving/ID after
/// which it says in its answers that it leaves,
/// /test/restore/AGE with the age of the backup in milliseconds, /test/port/ID with the port that
/// the endpoint lists, and GET /test/report with runs, violations and the endpoints' own ports.
#include "support/group_engine_standin.hpp"
#include "support/program_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

using namespace cardamombay;
using namespace cardamombay::support;

namespace {

namespace json = boost::json;

/// Milliseconds; only their differences mean something.
json::array arrivalsOf(const GroupEngineStandin &engine)
{
    json::array result;
    for (const auto at : engine.arrivals())
        result.emplace_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count());
    return result;
}

std::string reportOf(const EngineHall &hall)
{
    json::object runs;
    for (const auto &[request, count] : hall.runs_)
        runs[request] = count;
    json::array violations(hall.violations_.begin(), hall.violations_.end());
    json::object ports;
    for (const auto &[id, engine] : hall.engines_)
        ports[id] = engine->port();
    json::object arrivals;
    for (const auto &[id, engine] : hall.engines_)
        arrivals[id] = arrivalsOf(*engine);
    return json::serialize(json::object{{"runs", std::move(runs)},
                                        {"arrivals", std::move(arrivals)},
                                        {"crashes", hall.crashes_},
                                        {"violations", std::move(violations)},
                                        {"ports", std::move(ports)}});
}

/// For which an endpoint that is told to refuse does so.
constexpr auto need = std::chrono::milliseconds(2500);

void command(EngineHall &hall, const std::string &path, const std::string &body)
{
    const auto slash = path.rfind('/');
    const auto verb = path.substr(0, slash);
    const auto id = path.substr(slash + 1);
    if (path == "/test/config")
        hall.store_.put("op", "config", body);
    else if (verb == "/test/silence")
        hall.engines_.at(id)->fallSilent();
    else if (verb == "/test/expire")
        hall.store_.remove("servers", id);
    else if (verb == "/test/drain")
        hall.engines_.at(id)->drain();
    else if (verb == "/test/limit")
        hall.engines_.at(id)->limit(body);
    else if (verb == "/test/cooldown")
        hall.engines_.at(id)->refuseFor(need, body);
    else if (verb == "/test/leaving")
        hall.engines_.at(id)->sayLeaving();
    else if (verb == "/test/port")
        hall.engines_.at(id)->listAt(static_cast<std::uint16_t>(std::stoul(body)));
    else if (verb == "/test/restore")
        hall.store_.restore(std::chrono::milliseconds(std::stoul(id)));
    else if (verb == "/test/outage")
        hall.store_.outage_ = static_cast<unsigned>(std::stoul(id));
}

boost::asio::awaitable<void> handle(RowStoreStandin &store, EngineHall &hall,
                                    StandinExchange &exchange)
{
    const bool isTaken = co_await store.handle(exchange);
    if (isTaken)
        co_return;
    command(hall, std::string(exchange.request().target()), exchange.request().body());
    auto response = jsonResponse(200, reportOf(hall));
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
    EngineHall hall{store, {}, {}, {}, 0};
    const auto add = [&](const std::string &id, const std::string &service,
                         const std::string &domain) {
        auto engine = std::make_shared<GroupEngineStandin>(context, hall, id, service, domain);
        engine->list();
        hall.engines_.emplace(id, std::move(engine));
    };
    for (std::uint64_t d = 0; d < domains; ++d) {
        for (std::uint64_t e = 0; e < engines; ++e)
            add("e-" + std::to_string(d) + "-" + std::to_string(e), "lm", "d" + std::to_string(d));
    }
    for (std::uint64_t p = 0; p < plain; ++p)
        add("p-" + std::to_string(p), "app", "");
    StandinServer server(context, 0,
                         [&](StandinExchange &exchange) { return handle(store, hall, exchange); });
    runStandin(context, server.port());
    return 0;
}
