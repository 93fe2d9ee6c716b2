#include "daemon.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <utility>

namespace cardamombay::daemon {

namespace {

constexpr Duration flushPoll = std::chrono::milliseconds(20);
constexpr int flushTurns = 50; ///< A second for the last answers after they were cut.

/// Start stamp: rises over restarts, so attempt ids of an earlier process never come back.
Incarnation startStamp()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    return Incarnation(static_cast<std::uint64_t>(count));
}

net::HttpServerLimits limitsOf(const settings::Limits &limits)
{
    net::HttpServerLimits result;
    result.headerBytes_ = limits.headerBytes_;
    result.bodyBytes_ = limits.bodyBytes_;
    result.connections_ = limits.connections_;
    result.readTimeout_ = limits.readTimeout_;
    result.idleTimeout_ = limits.idleTimeout_;
    result.writeTimeout_ = limits.writeTimeout_;
    return result;
}

std::shared_ptr<trace::SpanSink> sinkOf(const settings::Settings &settings)
{
    if (settings.traceFile_.empty())
        return nullptr;
    return trace::openSpanSink(settings.traceFile_);
}

} // namespace

Daemon::Daemon(settings::Settings settings)
    : settings_(std::move(settings))
    , incarnation_(startStamp())
    , spans_(sinkOf(settings_))
    , tracer_(settings_.entry_.text(), spans_)
{
}

Daemon::~Daemon()
{
    // The traffic threads use the control side, so they go first.
    traffic_.reset();
}

Result<Done> Daemon::run()
{
    auto started = start();
    if (!isOk(started))
        return started;
    context_.run();
    log::info(log::event::daemonStopped, {{"entry", settings_.entry_.text()}});
    return Done{};
}

Result<Done> Daemon::start()
{
    if (!settings_.traceFile_.empty() && !spans_) {
        InvalidInput error;
        error.key_ = "log.trace_file";
        error.problem_ = "the file '" + settings_.traceFile_ + "' cannot be written";
        error.remedy_ = "name a file in a folder that the daemon may write, or \"-\"";
        return Error(error);
    }
    auto lifecycle = makeLifecycle();
    if (!isOk(lifecycle))
        return lifecycle;
    // Before anything listens: whoever can reach the daemon may also ask it to stop.
    waitForSignal();
    control_ = makeControlSide({context_, clock_, settings_, incarnation_, registry_,
                                [this] { return std::string(lifecycle_->state()); }});
    const auto bound = startTraffic();
    if (!isOk(bound))
        return errorOf(bound);
    auto control = control_->start([this] {
        log::info(log::event::daemonReady, {{"entry", settings_.entry_.text()}});
        lifecycle_->ready();
    });
    if (!isOk(control))
        return control;
    log::info(log::event::daemonStarted, {{"entry", settings_.entry_.text()},
                                          {"zone", settings_.zone_.text()},
                                          {"callers", valueOf(bound).text()},
                                          {"peers", settings_.peers_.text()},
                                          {"version", CARDAMOMBAY_VERSION}});
    // Told on standard output, since a port of 0 is chosen by the system.
    std::cout << "listening port=" << valueOf(bound).port_ << std::endl;
    return Done{};
}

Result<Done> Daemon::makeLifecycle()
{
    const auto chart = chart::ChartFolder(settings_.chartsFolder_).load("daemon");
    if (!isOk(chart))
        return errorOf(chart);
    auto program = traffic::makeLifecycleProgram(valueOf(chart));
    if (!isOk(program))
        return errorOf(program);
    lifecycle_ = std::make_unique<traffic::Lifecycle>(valueOf(std::move(program)), clock_,
                                                      settings_.drain_, *this);
    return Done{};
}

Result<Address> Daemon::startTraffic()
{
    traffic::TrafficSettings settings;
    settings.callers_ = settings_.callers_;
    settings.threads_ = settings_.trafficThreads_;
    settings.chartsFolder_ = settings_.chartsFolder_;
    settings.incarnation_ = incarnation_;
    settings.limits_ = limitsOf(settings_.limits_);
    settings.dispatch_.digestEvery_ = settings_.intervals_.exchange_;
    auto made = traffic::TrafficService::make(settings, *control_, registry_, tracer_);
    if (!isOk(made))
        return errorOf(made);
    traffic_ = valueOf(std::move(made));
    return traffic_->start();
}

void Daemon::waitForSignal()
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait([this](boost::system::error_code error, int) {
        if (error)
            return;
        log::info(log::event::drainStarted, {{"entry", settings_.entry_.text()},
                                             {"in-flight", std::to_string(requestsInFlight())}});
        lifecycle_->stopRequested();
        waitForSignal();
    });
}

void Daemon::setHealthy(bool isHealthy)
{
    traffic_->setReady(isHealthy);
    if (!isHealthy)
        traffic_->endConnections();
}

void Daemon::refuseNewRequests()
{
    log::info(log::event::drainRefusing, {{"in-flight", std::to_string(requestsInFlight())}});
    traffic_->refuseNewRequests();
}

void Daemon::cutRemainingRequests()
{
    log::warning(log::event::drainLimitReached,
                 {{"in-flight", std::to_string(requestsInFlight())}});
    traffic_->cutRequests();
}

void Daemon::tellPeers()
{
    control_->tellPeers();
}

void Daemon::returnLeases(std::function<void()> done)
{
    control_->returnLeases(std::move(done));
}

void Daemon::exit()
{
    signals_.cancel();
    traffic_->closeListener();
    stopWhenFlushed(flushTurns);
}

void Daemon::stopWhenFlushed(int turnsLeft)
{
    if (requestsInFlight() == 0 || turnsLeft == 0) {
        context_.stop();
        return;
    }
    clock_.schedule(flushPoll, [this, turnsLeft] { stopWhenFlushed(turnsLeft - 1); });
}

std::size_t Daemon::requestsInFlight() const
{
    return traffic_ ? traffic_->inFlight() : 0;
}

} // namespace cardamombay::daemon
