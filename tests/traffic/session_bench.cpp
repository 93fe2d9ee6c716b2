#include "session_bench.hpp"

#include "test_engine.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>

#include <utility>

namespace cardamombay::test {

namespace {

chart::Chart chartOf(std::string_view name)
{
    return valueOf(chart::ChartFolder(std::string(SOURCE_FOLDER) + "/charts").load(name));
}

/// The session's end of a FakeCall.
class CallHandle final : public net::UpstreamCall
{
public:
    explicit CallHandle(std::shared_ptr<FakeCall> call)
        : call_(std::move(call))
    {
    }
    ~CallHandle() override { call_->listener_ = nullptr; }
    CallHandle(const CallHandle &) = delete;
    CallHandle &operator=(const CallHandle &) = delete;

    void consume(std::size_t size) override
    {
        call_->pending_.erase(0, size);
        ++call_->consumptions_;
    }

private:
    std::shared_ptr<FakeCall> call_;
};

} // namespace

void FakeExchange::respond(net::HttpResponse response)
{
    isFinished_ = true;
    outcome_ = response.field("X-Outcome");
    body_ = response.body_;
    head_ = std::move(response);
}

void FakeExchange::write(std::span<const std::string_view> parts, std::function<void()> written)
{
    for (const auto part : parts)
        body_ += part;
    written_ = std::move(written);
}

void FakeExchange::completeWrite()
{
    if (const auto written = std::exchange(written_, nullptr))
        written();
}

void FakeExchange::finish(std::span<const net::HttpField> trailers)
{
    isFinished_ = true;
    for (const auto &field : trailers)
        outcome_ = field.value_;
}

std::string FakeCall::attempt() const
{
    for (const auto &field : request_.fields_) {
        if (field.name_ == "X-Attempt-Id")
            return field.value_;
    }
    return {};
}

bool FakeCall::begin()
{
    if (listener_ == nullptr || !listener_->onConnected())
        return false;
    listener_->onHead(
        {200, {{"Content-Type", "text/event-stream"}, {"X-Attempt-Id", attempt()}}, {}});
    return true;
}

void FakeCall::receive(const std::string &data)
{
    pending_ += data;
    if (listener_ != nullptr)
        listener_->onData(pending_);
}

void FakeCall::receiveToken(std::uint64_t index)
{
    receive(tokenEvent(attempt(), index));
}

void FakeCall::end()
{
    if (listener_ != nullptr)
        listener_->onEnd(pending_);
}

void FakeCall::fail(bool mayHaveLeft)
{
    if (listener_ != nullptr)
        listener_->onFailure({mayHaveLeft, false, "test"});
}

std::unique_ptr<net::UpstreamCall> FakeUpstream::start(net::UpstreamRequest request,
                                                       net::UpstreamListener &listener)
{
    auto call = std::make_shared<FakeCall>();
    call->request_ = std::move(request);
    call->listener_ = &listener;
    calls_.push_back(call);
    return std::make_unique<CallHandle>(std::move(call));
}

SessionBench::SessionBench()
    : dispatcher_(7, valueOf(retries::makeCircuitBreakerProgram(chartOf("circuit"))))
{
    log::configure(log::Level::Error);
    configuration_.teams_ = {{TeamName("studio"), 1.0, {}}};
    config::Service service;
    service.name_ = ServiceName("lm");
    service.model_ = {ModelName("m"), ModelVersion("1"), {}};
    service.requestTimeout_ = std::chrono::minutes(2);
    configuration_.services_ = {service};
    snapshot_.self_ = EntryId("entry-1");
    snapshot_.services_ = {{service.name_, {}}};
    traffic::TrafficContext context{clock_,
                                    upstream_,
                                    cancels_,
                                    control_,
                                    dispatcher_,
                                    valueOf(outcomes::makeAttemptProgram(chartOf("attempt"))),
                                    metrics_,
                                    tracer_,
                                    Incarnation(5),
                                    [this](std::function<void()> action) {
                                        posted_.push_back(std::move(action)); }};
    worker_ = std::make_unique<traffic::Worker>(std::move(context), state_, 0);
    worker_->start();
}

routing::SnapshotGroup &SessionBench::addGroup(const std::string &name)
{
    routing::SnapshotGroup group;
    group.group_ = GroupId(name);
    group.generation_ = Generation(1);
    group.model_ = configuration_.services_[0].model_;
    group.freshUntil_ = clock_.now() + std::chrono::hours(10);
    group.capacity_ = 4;
    snapshot_.services_[0].groups_.push_back(std::move(group));
    return snapshot_.services_[0].groups_.back();
}

void SessionBench::publish()
{
    ++snapshot_.sequence_;
    snapshot_.configuration_ = std::make_shared<const config::Configuration>(configuration_);
    control_.holder_.publish(std::make_shared<const routing::RoutingSnapshot>(snapshot_));
}

std::shared_ptr<FakeExchange> SessionBench::send(bool isStream, std::vector<net::HttpField> fields)
{
    net::ServerRequest request;
    request.method_ = "POST";
    request.target_ = "/v1/completions";
    request.fields_ = std::move(fields);
    request.fields_.push_back({"X-Team", "studio"});
    request.body_
        = std::string(R"({"model":"lm","prompt":"x","stream":)") + (isStream ? "true}" : "false}");
    auto exchange = std::make_shared<FakeExchange>();
    worker_->handle(std::move(request), exchange);
    runPosted();
    return exchange;
}

void SessionBench::runPosted()
{
    while (!posted_.empty()) {
        const auto action = std::move(posted_.front());
        posted_.pop_front();
        action();
    }
}

void SessionBench::advance(Duration step)
{
    constexpr Duration period = std::chrono::milliseconds(20);
    for (Duration passed{}; passed < step; passed += period) {
        clock_.advance(period);
        runPosted();
    }
}

} // namespace cardamombay::test
