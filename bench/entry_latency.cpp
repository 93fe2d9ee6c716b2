// Added latency and throughput of the entry VM against going straight to an endpoint, in one run.
//   build/bin/bench_entry_latency [CALLS] [CALLERS] [SECONDS]
// The endpoint stand-in, the traffic side and the callers run in one process, on threads of their
// own, and talk over loopback TCP.
#include "support/plain_standin.hpp"

#include <cardamombay/log/log.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/traffic/snapshot_holder.hpp>
#include <cardamombay/traffic/traffic_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

using namespace cardamombay;

namespace {

namespace http = boost::beast::http;
using Clk = std::chrono::steady_clock;

/// A fixed snapshot with one plain endpoint.
class FixedControl final : public traffic::ControlLink
{
public:
    FixedControl(const Address &endpoint, TimePoint now)
    {
        auto configuration = std::make_shared<config::Configuration>();
        configuration->teams_ = {{TeamName("bench"), 1.0, {}}};
        config::Service service;
        service.name_ = ServiceName("app");
        service.kind_ = config::ServiceKind::Plain;
        service.pathPrefix_ = "/app";
        service.requestsPerReplica_ = 4096;
        configuration->services_ = {service};
        auto snapshot = std::make_shared<routing::RoutingSnapshot>();
        snapshot->sequence_ = 1;
        snapshot->self_ = EntryId("entry-1");
        snapshot->configuration_ = configuration;
        routing::SnapshotGroup group;
        group.group_ = GroupId("app-1");
        group.address_ = endpoint;
        group.freshUntil_ = now + std::chrono::hours(1);
        group.capacity_ = 4096;
        snapshot->services_ = {{service.name_, {group}}};
        holder_.publish(snapshot);
    }

    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const override
    {
        return holder_.snapshot();
    }
    void postTraffic(traffic::TrafficReport) override {}
    void claim(traffic::ClaimRequest, traffic::ClaimCallback) override {}
    void completeClaim(traffic::ClaimCompletion) override {}

private:
    traffic::SnapshotHolder holder_;
};

/// Caller with one kept-alive connection.
class BenchCaller
{
public:
    explicit BenchCaller(const Address &address)
        : socket_(context_)
    {
        socket_.connect({boost::asio::ip::make_address(address.ip_), address.port_});
        socket_.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    /// Time of one call in microseconds; exits if it is not answered with success.
    double call()
    {
        http::request<http::string_body> request{http::verb::post, "/app/echo", 11};
        request.set(http::field::host, "bench");
        request.set("X-Team", "bench");
        request.set("X-Attempt-Id", "bench.1.1");
        request.body() = std::string(200, 'x');
        request.prepare_payload();
        const auto start = Clk::now();
        http::write(socket_, request);
        http::response<http::string_body> response;
        http::read(socket_, buffer_, response);
        const auto took = Clk::now() - start;
        if (response.result_int() != 200) {
            std::printf("status %u: %s\n", response.result_int(), response.body().c_str());
            std::exit(1);
        }
        return std::chrono::duration<double, std::micro>(took).count();
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

double quantile(std::vector<double> &times, double share)
{
    const auto at = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(at), times.end());
    return times[at];
}

/// Calls a second of callers in closed loops.
double throughput(const Address &address, int callers, int seconds)
{
    std::atomic<bool> isOver{false};
    std::atomic<std::uint64_t> calls{0};
    std::vector<std::thread> threads;
    for (int index = 0; index < callers; ++index) {
        threads.emplace_back([&] {
            BenchCaller caller(address);
            while (!isOver) {
                caller.call();
                ++calls;
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    isOver = true;
    for (auto &thread : threads)
        thread.join();
    return static_cast<double>(calls) / seconds;
}

int argumentOr(int argc, char **argv, int index, int fallback)
{
    return argc > index ? std::atoi(argv[index]) : fallback;
}

} // namespace

int main(int argc, char **argv)
{
    const int calls = argumentOr(argc, argv, 1, 10000);
    const int callers = argumentOr(argc, argv, 2, 4);
    const int seconds = argumentOr(argc, argv, 3, 3);
    log::configure(log::Level::Warning);

    boost::asio::io_context endpointContext(1);
    support::PlainStandin endpoint(endpointContext, VmId("app-1"), 0, Incarnation(1));
    std::thread endpointThread([&] { endpointContext.run(); });
    const Address direct{"127.0.0.1", endpoint.port()};

    boost::asio::io_context clockContext;
    const net::AsioClock clock(clockContext);
    FixedControl control(direct, clock.now());
    metrics::Registry registry;
    const trace::Tracer tracer("entry-1", nullptr);
    traffic::TrafficSettings settings;
    settings.callers_ = {"127.0.0.1", 0};
    settings.chartsFolder_ = argc > 4 ? argv[4] : "charts";
    settings.incarnation_ = Incarnation(1);
    auto made = traffic::TrafficService::make(settings, control, registry, tracer);
    if (!isOk(made)) {
        std::printf("%s\n", messageOf(errorOf(made)).c_str());
        return 1;
    }
    auto &service = *valueOf(made);
    const Address entry = valueOf(service.start());

    {
        BenchCaller straight(direct);
        BenchCaller through(entry);
        std::vector<double> straightTimes;
        std::vector<double> throughTimes;
        for (int index = 0; index < calls; ++index) {
            straightTimes.push_back(straight.call());
            throughTimes.push_back(through.call());
        }
        for (const double share : {0.5, 0.95, 0.99}) {
            const double straightTime = quantile(straightTimes, share);
            const double throughTime = quantile(throughTimes, share);
            std::printf("p%.0f straight %.0f us, entry VM %.0f us, added %.0f us, ratio %.2f\n",
                        share * 100, straightTime, throughTime, throughTime - straightTime,
                        throughTime / straightTime);
        }
    }
    const double straightRate = throughput(direct, callers, seconds);
    const double throughRate = throughput(entry, callers, seconds);
    std::printf("%d callers: straight %.0f calls/s, entry VM %.0f calls/s, ratio %.2f\n", callers,
                straightRate, throughRate, throughRate / straightRate);

    endpointContext.stop();
    endpointThread.join();
    return 0;
}
