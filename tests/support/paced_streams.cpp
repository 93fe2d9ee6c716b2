#include "support/paced_streams.hpp"

#include <algorithm>
#include <utility>

namespace cardamombay::support {

using namespace cardamombay::serving;

namespace {

class PacedUpstreamCall final : public net::UpstreamCall
{
public:
    explicit PacedUpstreamCall(std::shared_ptr<PacedCall> call)
        : call_(std::move(call))
    {
    }
    ~PacedUpstreamCall() override { call_->listener_ = nullptr; }
    PacedUpstreamCall(const PacedUpstreamCall &) = delete;
    PacedUpstreamCall &operator=(const PacedUpstreamCall &) = delete;

    void consume(std::size_t size) override
    {
        call_->unconsumed_.erase(0, size);
        call_->isReading_ = true;
    }

private:
    std::shared_ptr<PacedCall> call_;
};

class PacedExchange final : public net::ServerExchange
{
public:
    explicit PacedExchange(std::shared_ptr<PacedCaller> caller)
        : caller_(std::move(caller))
    {
    }

    void respond(net::HttpResponse response) override { caller_->refusal_ = std::move(response); }
    void startStream(net::HttpResponse /*head*/) override {}
    void write(std::span<const std::string_view> parts, std::function<void()> written) override
    {
        for (const auto part : parts)
            caller_->unread_ += part;
        caller_->written_ = std::move(written);
    }
    void finish(std::span<const net::HttpField> /*trailers*/) override
    {
        caller_->isFinished_ = true;
    }
    void abort() override { caller_->isAborted_ = true; }
    void onLost(std::function<void()> lost) override { caller_->lost_ = std::move(lost); }

private:
    std::shared_ptr<PacedCaller> caller_;
};

} // namespace

std::string pacedEvents(std::size_t first, std::size_t last)
{
    std::string result;
    for (auto event = first; event <= last; ++event) {
        auto text = "id: " + std::to_string(event) + "\ndata: ";
        text.resize(pacedEventSize - 2, static_cast<char>('a' + event % 26));
        result += text + "\n\n";
    }
    return result;
}

bool PacedCall::accept()
{
    if (!listener_->onConnected())
        return false;
    net::HttpResponse head;
    head.status_ = 200;
    head.fields_ = {{"seal", "s"}};
    listener_->onHead(std::move(head));
    return true;
}

bool PacedCall::send(std::size_t count)
{
    if (listener_ == nullptr || !std::exchange(isReading_, false))
        return false;
    unconsumed_ += pacedEvents(nextEvent_, nextEvent_ + count - 1);
    nextEvent_ += count;
    listener_->onData(unconsumed_);
    return true;
}

bool PacedCall::end()
{
    if (listener_ == nullptr || !isReading_)
        return false;
    std::exchange(listener_, nullptr)->onEnd(unconsumed_);
    return true;
}

void PacedCall::fail()
{
    if (auto *listener = std::exchange(listener_, nullptr))
        listener->onFailure({true, false, "the connection broke"});
}

std::unique_ptr<net::UpstreamCall> PacedUpstream::start(net::UpstreamRequest request,
                                                        net::UpstreamListener &listener)
{
    auto call = std::make_shared<PacedCall>();
    call->listener_ = &listener;
    const auto last = std::find_if(request.fields_.begin(), request.fields_.end(),
                                   [](const auto &field) { return field.name_ == "last"; });
    if (last != request.fields_.end())
        call->nextEvent_ = std::stoul(last->value_) + 1;
    calls_.push_back(call);
    return std::make_unique<PacedUpstreamCall>(std::move(call));
}

std::unique_ptr<net::UpstreamCall> PacedUpstream::probe(const Address & /*address*/,
                                                        Duration /*timeout*/,
                                                        net::UpstreamListener &listener)
{
    listener.onConnected();
    return nullptr;
}

void PacedCaller::read(std::size_t size)
{
    while (!unread_.empty() && size > 0) {
        const auto part = std::min(size, unread_.size());
        received_ += unread_.substr(0, part);
        unread_.erase(0, part);
        size -= part;
        if (unread_.empty()) {
            if (const auto written = std::exchange(written_, nullptr))
                written();
        }
    }
}

void PacedCaller::leave()
{
    written_ = nullptr;
    unread_.clear();
    if (const auto lost = std::exchange(lost_, nullptr))
        lost();
}

PacedFixture::PacedFixture(std::size_t groups, std::size_t bound, CallerBuffers *buffers)
    : balancer_(endpointRegistry_, loadTracker_, upstream_, Random(1))
    , metrics_(registry_)
    , gateway_(
          {clock_, upstream_, dialect_, loadTracker_, balancer_, metrics_, buffers},
          [bound] {
              GatewayBounds bounds;
              bounds.callerBufferBytes_ = bound;
              return bounds;
          }(),
          Random(2))
{
    gateway_.setRoutes(std::make_shared<RouteTable>(gatewayConfiguration()));
    gateway_.confirm(clock_.now());
    for (std::size_t i = 0; i < groups; ++i) {
        const auto head = "g-" + std::to_string(i);
        const GroupName group("m." + head);
        endpointRegistry_.put(engineIn(head, "d", group, 1, 0, MemberState::Open));
        endpointRegistry_.put(engineIn(head + "-member", "d", group, 1, 1, MemberState::Ready));
    }
}

std::shared_ptr<PacedCaller> PacedFixture::ask()
{
    auto caller = std::make_shared<PacedCaller>();
    net::ServerRequest request;
    request.method_ = "POST";
    request.target_ = "/stream/1";
    request.fields_ = {{"id", "r-1"}, {"host", "h"}, {"key", "key-a"}, {"model", "m"}};
    const auto calls = upstream_.calls_.size();
    gateway_.handle(std::move(request), std::make_shared<PacedExchange>(caller));
    if (upstream_.calls_.size() > calls)
        (void)upstream_.calls_.back()->accept();
    return caller;
}

void PacedFixture::sendAll(std::size_t count)
{
    const auto calls = upstream_.calls_;
    for (const auto &call : calls)
        call->send(count);
}

void PacedFixture::endAll()
{
    const auto calls = upstream_.calls_;
    for (const auto &call : calls)
        (void)call->end();
}

void PacedFixture::pass(Duration time)
{
    const auto end = clock_.now() + time;
    while (clock_.now() < end) {
        clock_.advance(Gateway::sweepPeriod);
        gateway_.confirm(clock_.now());
        gateway_.sweep();
    }
}

} // namespace cardamombay::support
