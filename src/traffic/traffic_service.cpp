#include <cardamombay/traffic/traffic_service.hpp>

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/upstream_client.hpp>
#include <cardamombay/traffic/worker.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

namespace cardamombay::traffic {

namespace {

/// What one traffic thread works with; the event loop goes last, since handlers hold the rest.
struct TrafficThread
{
    boost::asio::io_context context_{1};
    net::AsioClock clock_{context_};
    net::UpstreamClient upstream_{context_};
    net::AsioHttpClient cancels_{context_};
    std::unique_ptr<Worker> worker_;
    std::thread thread_;
};

} // namespace

class TrafficService::Impl
{
public:
    Impl(TrafficSettings settings, ControlLink &control, metrics::Registry &registry,
         const trace::Tracer &tracer, retries::CircuitBreakerProgramPtr circuits,
         const outcomes::AttemptProgramPtr &attempts);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<Address> start();
    void cutRequests();

    [[nodiscard]] net::HttpServer &server() { return *server_; }
    [[nodiscard]] TrafficState &state() { return state_; }

private:
    void makeThread(ControlLink &control, const trace::Tracer &tracer,
                    const outcomes::AttemptProgramPtr &attempts);

    TrafficSettings settings_;
    TrafficMetrics metrics_;
    Dispatcher dispatcher_;
    TrafficState state_;
    std::vector<std::unique_ptr<TrafficThread>> threads_;
    std::unique_ptr<net::HttpServer> server_;
};

TrafficService::Impl::Impl(TrafficSettings settings, ControlLink &control,
                           metrics::Registry &registry, const trace::Tracer &tracer,
                           retries::CircuitBreakerProgramPtr circuits,
                           const outcomes::AttemptProgramPtr &attempts)
    : settings_(std::move(settings))
    , metrics_(registry)
    , dispatcher_(settings_.incarnation_.value(), std::move(circuits), settings_.dispatch_)
{
    std::vector<net::ServerWorker> workers;
    for (std::uint32_t index = 0; index < std::max(settings_.threads_, 1U); ++index) {
        makeThread(control, tracer, attempts);
        workers.push_back({&threads_.back()->context_, threads_.back()->worker_.get()});
    }
    server_ = std::make_unique<net::HttpServer>(std::move(workers), settings_.limits_);
}

TrafficService::Impl::~Impl()
{
    for (const auto &thread : threads_)
        thread->context_.stop();
    for (const auto &thread : threads_) {
        if (thread->thread_.joinable())
            thread->thread_.join();
    }
}

void TrafficService::Impl::makeThread(ControlLink &control, const trace::Tracer &tracer,
                                      const outcomes::AttemptProgramPtr &attempts)
{
    auto thread = std::make_unique<TrafficThread>();
    auto *context = &thread->context_;
    auto post = [context](std::function<void()> action) {
        boost::asio::post(*context, std::move(action));
    };
    TrafficContext parts{thread->clock_,
                         thread->upstream_,
                         thread->cancels_,
                         control,
                         dispatcher_,
                         attempts,
                         metrics_,
                         tracer,
                         settings_.incarnation_,
                         std::move(post)};
    thread->worker_ = std::make_unique<Worker>(std::move(parts), state_, threads_.size());
    threads_.push_back(std::move(thread));
}

Result<Address> TrafficService::Impl::start()
{
    auto bound = server_->listen(settings_.callers_);
    if (!isOk(bound))
        return bound;
    for (const auto &thread : threads_) {
        auto *own = thread.get();
        boost::asio::post(own->context_, [own] { own->worker_->start(); });
        own->thread_ = std::thread([own] {
            const auto guard = boost::asio::make_work_guard(own->context_);
            own->context_.run();
        });
    }
    return bound;
}

void TrafficService::Impl::cutRequests()
{
    for (const auto &thread : threads_) {
        auto *worker = thread->worker_.get();
        boost::asio::post(thread->context_, [worker] { worker->cutSessions(); });
    }
}

Result<std::unique_ptr<TrafficService>> TrafficService::make(const TrafficSettings &settings,
                                                             ControlLink &control,
                                                             metrics::Registry &registry,
                                                             const trace::Tracer &tracer)
{
    const chart::ChartFolder charts(settings.chartsFolder_);
    const auto attemptChart = charts.load("attempt");
    if (!isOk(attemptChart))
        return errorOf(attemptChart);
    const auto circuitChart = charts.load("circuit");
    if (!isOk(circuitChart))
        return errorOf(circuitChart);
    const auto attempts = outcomes::makeAttemptProgram(valueOf(attemptChart));
    if (!isOk(attempts))
        return errorOf(attempts);
    auto circuits = retries::makeCircuitBreakerProgram(valueOf(circuitChart));
    if (!isOk(circuits))
        return errorOf(circuits);
    auto impl = std::make_unique<Impl>(settings, control, registry, tracer,
                                       valueOf(std::move(circuits)), valueOf(attempts));
    return std::unique_ptr<TrafficService>(new TrafficService(std::move(impl)));
}

TrafficService::TrafficService(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

TrafficService::~TrafficService() = default;

Result<Address> TrafficService::start()
{
    return impl_->start();
}

void TrafficService::setReady(bool isReady)
{
    impl_->state().isReady_ = isReady;
}

void TrafficService::endConnections()
{
    impl_->server().closeConnectionsAfterResponse();
}

void TrafficService::refuseNewRequests()
{
    impl_->state().isRefusing_ = true;
}

void TrafficService::cutRequests()
{
    impl_->cutRequests();
}

void TrafficService::closeListener()
{
    impl_->server().stopAccepting();
    impl_->server().closeIdleConnections();
}

std::size_t TrafficService::inFlight() const
{
    return impl_->state().inFlight_ + impl_->server().busyConnections();
}

} // namespace cardamombay::traffic
