#include "gateway_daemon.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/core/hash.hpp>
#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/serving/planner_lease.hpp>

#include <csignal>
#include <utility>

namespace cardamombay::gateway {

namespace {

/// Store calls usually take 4 ms.
constexpr Duration storeTimeout = std::chrono::milliseconds(900);
constexpr Duration orderTimeout = std::chrono::milliseconds(800);
/// Engines answer state queries within a few milliseconds; a longer time-out delays repairs.
constexpr Duration stateTimeout = std::chrono::milliseconds(150);

/// Watches occupy connections of their own in addition to other calls.
constexpr std::size_t storeConnections = 8;
constexpr std::size_t orderConnections = 2;

/// The load balancer excludes an entry VM after two failed checks, one second apart.
constexpr Duration announcePeriod = std::chrono::milliseconds(2600);
/// Reserved for releasing the lease and sending the last answers.
constexpr Duration stopReserve = std::chrono::milliseconds(900);

/// Callers reuse a connection until shortly before the configured idle time-out; requests that are
/// in transit at that moment must still find it open.
constexpr Duration idleMargin = std::chrono::seconds(2);

constexpr std::size_t relayHeaderAllowance = 1024;

/// Parts of the process's descriptors that connections of callers and of peers may use; the rest is
/// for endpoints, the store and files.
constexpr std::size_t callerDescriptorDivisor = 2;
constexpr std::size_t relayDescriptorDivisor = 8;

constexpr std::size_t statusBodyBytes = 4096;
constexpr std::size_t statusConnections = 128;

constexpr Duration leavePollInterval = std::chrono::milliseconds(20);
constexpr int maxLeavePolls = 20;

/// Engines answer orders and questions about their state with less than a tenth of that.
constexpr std::size_t maxOrderAnswerBytes = std::size_t{64} * 1024;

net::HttpClientLimits storeLimits()
{
    net::HttpClientLimits limits;
    limits.connectionsPerAddress_ = storeConnections;
    return limits;
}

net::HttpClientLimits orderLimits()
{
    net::HttpClientLimits limits;
    limits.connectionsPerAddress_ = orderConnections;
    limits.responseBytes_ = maxOrderAnswerBytes;
    return limits;
}

/// \param descriptors of the process; 0 keeps the default number of connections.
net::HttpServerLimits callerLimits(const serving::CallerLimits &declared, std::size_t descriptors)
{
    net::HttpServerLimits limits;
    if (descriptors > 0)
        limits.connections_ = descriptors / callerDescriptorDivisor;
    limits.headerBytes_ = declared.headerBytes_;
    limits.bodyBytes_ = declared.bodyBytes_;
    limits.readTimeout_ = declared.headerTime_ + idleMargin;
    limits.idleTimeout_ = declared.idleTime_ + idleMargin;
    limits.endsOnHalfClose_ = true;
    return limits;
}

/// Relayed requests have been accepted from callers, and carry a few more fields.
net::HttpServerLimits relayLimits(const serving::CallerLimits &declared, std::size_t descriptors)
{
    auto limits = callerLimits(declared, descriptors);
    if (descriptors > 0)
        limits.connections_ = descriptors / relayDescriptorDivisor;
    limits.headerBytes_ += relayHeaderAllowance;
    return limits;
}

/// Readiness checks and requests for metrics are few and have no body.
net::HttpServerLimits statusLimits()
{
    net::HttpServerLimits limits;
    limits.bodyBytes_ = statusBodyBytes;
    limits.connections_ = statusConnections;
    return limits;
}

/// Identifies this run of the process; increases across restarts as long as the system clock does.
Incarnation makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

std::uint64_t seedOf(const EntryId &entry)
{
    return stableHash(entry.text(), makeIncarnation().value());
}

settings::DrainTimes drainTimes(Duration grace)
{
    settings::DrainTimes times;
    times.announce_ = std::min(announcePeriod, grace / 2);
    times.inFlight_ = std::max(Duration::zero(), grace - times.announce_ - stopReserve);
    return times;
}

} // namespace

void StatusHandler::handle(net::ServerRequest /*request*/,
                           std::shared_ptr<net::ServerExchange> exchange)
{
    auto text = text_();
    net::HttpResponse response;
    response.status_ = text ? 200 : 503;
    response.fields_.push_back({"Content-Type", "text/plain"});
    response.body_ = text ? *std::move(text) : "not ready\n";
    exchange->respond(std::move(response));
}

net::HttpResponse StatusHandler::refusal(net::ServerFault fault, std::string_view detail)
{
    net::HttpResponse response;
    response.status_ = net::statusOf(fault);
    response.body_ = detail;
    return response;
}

void RelayHandler::handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange)
{
    gateway_.handleRelayed(std::move(request), std::move(exchange));
}

net::HttpResponse RelayHandler::refusal(net::ServerFault fault, std::string_view detail)
{
    return gateway_.refusal(fault, detail);
}

GatewayDaemon::GatewayDaemon(serving::GatewaySettings settings, std::string file)
    : settings_(std::move(settings))
    , file_(std::move(file))
    , inputBudget_(clock_, settings_.inputBytes_, &inputMetrics_)
    , storeHttp_(context_, storeLimits())
    , orderHttp_(context_, orderLimits())
    , store_(storeHttp_, {settings_.store_, storeTimeout})
    , orders_(orderHttp_, orderTimeout, stateTimeout)
    , meteredStore_(clock_, store_, store_, registry_)
    , balancer_(endpointRegistry_, loadTracker_, upstream_, Random(seedOf(settings_.entry_)))
    , metrics_(registry_)
    , gateway_({clock_, upstream_, dialect_, loadTracker_, balancer_, metrics_}, settings_.bounds_,
               Random(seedOf(settings_.entry_) + 1))
    , gatedOrders_(clock_, orders_, gateway_.notices())
    , meteredOrders_(clock_, gatedOrders_, registry_)
    , relayHandler_(gateway_)
    , readiness_([this]() -> std::optional<std::string> {
        const bool isServing = lifecycle_ && lifecycle_->state() == "serving";
        return isServing && node_->isReady() ? std::optional<std::string>("ready\n") : std::nullopt;
    })
    , metricsHandler_([this] { return std::optional(registry_.text()); })
    , callers_({{&context_, &gateway_, &inputBudget_}}, callerLimits({}, settings_.descriptors_))
    , relays_({{&context_, &relayHandler_, &inputBudget_}}, relayLimits({}, settings_.descriptors_))
    , readinessServer_({{&context_, &readiness_, &inputBudget_}}, statusLimits())
    , metricsServer_({{&context_, &metricsHandler_, &inputBudget_}}, statusLimits())
{
}

Result<Done> GatewayDaemon::run()
{
    auto started = start();
    if (!isOk(started))
        return started;
    context_.run();
    log::info(log::event::daemonStopped, {{"entry", settings_.entry_.text()}});
    return Done{};
}

Result<Done> GatewayDaemon::start()
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    waitForSignal();
    auto made = makeControl();
    if (!isOk(made))
        return made;
    auto listening = listen();
    if (!isOk(listening))
        return listening;
    node_->onConfiguration([this](const serving::Configuration &configuration) {
        callers_.setLimits(callerLimits(configuration.limits_, settings_.descriptors_));
        relays_.setLimits(relayLimits(configuration.limits_, settings_.descriptors_));
        warnOfBodyLimit(configuration.limits_.bodyBytes_);
    });
    node_->start();
    lifecycle_->ready();
    log::info(log::event::daemonStarted, {{"entry", settings_.entry_.text()},
                                          {"zone", settings_.zone_.text()},
                                          {"callers", settings_.callers_.text()},
                                          {"store", settings_.store_.text()},
                                          {"first-start", settings_.isFirstStart_ ? "yes" : "no"},
                                          {"version", CARDAMOMBAY_VERSION}});
    return Done{};
}

Result<Done> GatewayDaemon::makeControl()
{
    const chart::ChartFolder charts(settings_.chartsFolder_);
    const auto leaseChart = charts.load("lease");
    if (!isOk(leaseChart))
        return errorOf(leaseChart);
    auto leaseProgram = leases::LeaseKeeper::bind(valueOf(leaseChart));
    if (!isOk(leaseProgram))
        return errorOf(leaseProgram);
    const auto daemonChart = charts.load("daemon");
    if (!isOk(daemonChart))
        return errorOf(daemonChart);
    auto daemonProgram = traffic::makeLifecycleProgram(valueOf(daemonChart));
    if (!isOk(daemonProgram))
        return errorOf(daemonProgram);
    balancer_.setRegions(settings_.regions_);
    const auto incarnation = makeIncarnation();
    lease_ = std::make_unique<leases::LeaseKeeper>(
        clock_, meteredStore_, Random(seedOf(settings_.entry_) + 2), serving::plannerLeaseTimes(),
        settings_.entry_, incarnation, FabricDomain("fleet"), valueOf(std::move(leaseProgram)));
    manager_ = std::make_unique<serving::ReplicaManager>(serving::ManagerParts{
        clock_, *lease_, meteredOrders_, endpointRegistry_, loadTracker_, &mix_});
    node_ = std::make_unique<serving::Node>(
        serving::NodeParts{clock_, meteredStore_, meteredStore_, format_, datagrams_, *lease_,
                           endpointRegistry_, loadTracker_, gateway_, *manager_},
        serving::NodeSettings{settings_.entry_, settings_.zone_, incarnation, settings_.digests_,
                              settings_.isFirstStart_, settings_.cores_, settings_.linkMegabits_,
                              settings_.propagationBound_});
    traffic::LifecycleActions &actions = *this;
    lifecycle_ = std::make_unique<traffic::Lifecycle>(valueOf(std::move(daemonProgram)), clock_,
                                                      drainTimes(settings_.grace_), actions);
    return Done{};
}

Result<Done> GatewayDaemon::listen()
{
    auto digests = datagrams_.listen(settings_.digests_);
    if (!isOk(digests))
        return digests;
    const auto callers = callers_.listen(settings_.callers_);
    if (!isOk(callers))
        return errorOf(callers);
    const auto relays = relays_.listen(settings_.digests_);
    if (!isOk(relays))
        return errorOf(relays);
    const auto readiness = readinessServer_.listen(settings_.readiness_);
    if (!isOk(readiness))
        return errorOf(readiness);
    if (settings_.metrics_.port_ == 0)
        return Done{};
    const auto metrics = metricsServer_.listen(settings_.metrics_);
    if (!isOk(metrics))
        return errorOf(metrics);
    return Done{};
}

void GatewayDaemon::warnOfBodyLimit(std::size_t bodyBytes) const
{
    if (bodyBytes <= inputBudget_.largestBody())
        return;
    log::warning(log::event::bodyLimitExceedsMemory,
                 {{"limit", std::to_string(bodyBytes)},
                  {"largest", std::to_string(inputBudget_.largestBody())},
                  {"remedy", "give the VM more memory, or lower the limit of bodies"}});
}

void GatewayDaemon::waitForSignal()
{
    signals_.async_wait([this](boost::system::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            reload();
        } else {
            log::info(log::event::drainStarted,
                      {{"entry", settings_.entry_.text()},
                       {"in-flight", std::to_string(requestsInFlight())}});
            lifecycle_->stopRequested();
        }
        waitForSignal();
    });
}

/// Applies the GatewayBounds of the file; all other settings require a restart.
void GatewayDaemon::reload()
{
    auto loaded = serving::loadGatewaySettings(file_);
    if (!isOk(loaded)) {
        log::error("settings-refused", {{"problem", messageOf(errorOf(loaded))},
                                        {"remedy", remedyOf(errorOf(loaded))}});
        return;
    }
    gateway_.setBounds(valueOf(loaded).bounds_);
    inputBudget_.setBound(valueOf(loaded).inputBytes_);
    log::info("settings-reloaded",
              {{"taken", "bounds, memory"}, {"needs-restart", "addresses and names"}});
}

void GatewayDaemon::setHealthy(bool isHealthy)
{
    if (isHealthy)
        return;
    callers_.closeConnectionsAfterResponse();
    relays_.closeConnectionsAfterResponse();
}

void GatewayDaemon::refuseNewRequests()
{
    callers_.closeIdleConnections();
    relays_.closeIdleConnections();
    gateway_.refuseNew();
}

void GatewayDaemon::cutRemainingRequests()
{
    log::warning(log::event::drainLimitReached,
                 {{"in-flight", std::to_string(requestsInFlight())}});
    gateway_.terminateAll();
}

void GatewayDaemon::tellPeers()
{
    node_->leave();
}

void GatewayDaemon::returnLeases(std::function<void()> done)
{
    pollUntilLeft(std::move(done), maxLeavePolls);
}

void GatewayDaemon::pollUntilLeft(std::function<void()> done, int pollsLeft)
{
    clock_.schedule(leavePollInterval, [this, done = std::move(done), pollsLeft]() mutable {
        if (pollsLeft == 0 || node_->hasLeft())
            done();
        else
            pollUntilLeft(std::move(done), pollsLeft - 1);
    });
}

void GatewayDaemon::exit()
{
    signals_.cancel();
    callers_.stopAccepting();
    relays_.stopAccepting();
    // Allow the last answers to be sent.
    clock_.schedule(leavePollInterval * 2, [this] { context_.stop(); });
}

std::size_t GatewayDaemon::requestsInFlight() const
{
    return gateway_.inFlight() + callers_.busyConnections() + relays_.busyConnections();
}

} // namespace cardamombay::gateway
