#include "support/fake_peers.hpp"

#include <utility>

namespace cardamombay::support {

using membership::Digest;

PausableClock::~PausableClock()
{
    for (const auto &[id, timer] : timers_)
        clock_.cancel(timer.first);
}

TimerId PausableClock::schedule(Duration delay, std::function<void()> action)
{
    const std::uint64_t id = next_++;
    const TimerId inner = clock_.schedule(delay, [this, id] { fire(id); });
    timers_.emplace(id, std::pair{inner, std::move(action)});
    return TimerId{id};
}

void PausableClock::cancel(TimerId timer)
{
    const auto found = timers_.find(static_cast<std::uint64_t>(timer));
    if (found == timers_.end())
        return;
    clock_.cancel(found->second.first);
    timers_.erase(found);
}

void PausableClock::fire(std::uint64_t id)
{
    if (isPaused_) {
        held_.push_back(id);
        return;
    }
    auto timer = timers_.extract(id);
    if (!timer.empty())
        timer.mapped().second();
}

void PausableClock::resume()
{
    isPaused_ = false;
    for (const std::uint64_t id : std::exchange(held_, {}))
        fire(id);
}

struct FakePeerNetwork::Node
{
    EntryId id_;
    std::unique_ptr<PausableClock> clock_;
    std::unique_ptr<membership::PeerTransport> transport_;
    Handler handler_;
    std::vector<std::function<void()>> waiting_; ///< Arrived during a pause.
    bool isDead_ = false;
    bool isSilent_ = false;
};

struct FakePeerNetwork::Exchange
{
    EntryId from_;
    EntryId to_;
    std::shared_ptr<Node> sender_;
    Digest request_;
    Callback<Digest> done_;
    bool isFinished_ = false;
};

class FakePeerNetwork::Transport final : public membership::PeerTransport
{
public:
    Transport(FakePeerNetwork &network, EntryId id)
        : network_(network)
        , id_(std::move(id))
    {
    }

    void exchange(Address address, Digest digest, Callback<Digest> done) override
    {
        network_.send(id_, address, std::move(digest), std::move(done));
    }

private:
    FakePeerNetwork &network_;
    EntryId id_;
};

void FakePeerNetwork::addNode(const EntryId &id, const Address &address)
{
    auto node = std::make_shared<Node>();
    node->id_ = id;
    node->clock_ = std::make_unique<PausableClock>(clock_);
    node->transport_ = std::make_unique<Transport>(*this, id);
    nodes_[id] = std::move(node);
    addresses_[address] = id;
}

void FakePeerNetwork::setHandler(const EntryId &id, Handler handler)
{
    nodes_.at(id)->handler_ = std::move(handler);
}

membership::PeerTransport &FakePeerNetwork::transport(const EntryId &id)
{
    return *nodes_.at(id)->transport_;
}

PausableClock &FakePeerNetwork::clock(const EntryId &id)
{
    return *nodes_.at(id)->clock_;
}

void FakePeerNetwork::partition(const std::set<EntryId> &side)
{
    for (const auto &[from, sender] : nodes_) {
        for (const auto &[to, receiver] : nodes_) {
            if (side.contains(from) != side.contains(to))
                cut(from, to);
        }
    }
}

void FakePeerNetwork::pause(const EntryId &id)
{
    nodes_.at(id)->clock_->pause();
}

void FakePeerNetwork::resume(const EntryId &id)
{
    const auto node = nodes_.at(id);
    node->clock_->resume();
    for (const auto &action : std::exchange(node->waiting_, {}))
        action();
}

void FakePeerNetwork::kill(const EntryId &id, bool isSilent)
{
    Node &node = *nodes_.at(id);
    node.isDead_ = true;
    node.isSilent_ = isSilent;
    node.handler_ = nullptr;
    node.clock_->pause();
}

Duration FakePeerNetwork::flight()
{
    if (faults_.jitter_ <= Duration::zero())
        return faults_.latency_;
    const auto bound = static_cast<std::uint64_t>(faults_.jitter_.count());
    return faults_.latency_ + Duration(random_.below(bound));
}

bool FakePeerNetwork::isLost(const EntryId &from, const EntryId &to)
{
    return cuts_.contains({from, to}) || (faults_.loss_ > 0 && random_.unit() < faults_.loss_);
}

void FakePeerNetwork::runOn(Node &node, std::function<void()> action)
{
    if (node.isDead_)
        return;
    if (node.clock_->isPaused())
        node.waiting_.push_back(std::move(action));
    else
        action();
}

void FakePeerNetwork::send(const EntryId &from, const Address &address, Digest digest,
                           Callback<Digest> done)
{
    ++messages_;
    if (observer_)
        observer_(from, digest, false);
    const auto place = addresses_.find(address);
    auto exchange = std::make_shared<Exchange>(
        Exchange{from, place == addresses_.end() ? EntryId() : place->second, nodes_.at(from),
                 std::move(digest), std::move(done)});
    clock_.schedule(faults_.timeout_, [this, exchange] {
        finish(exchange, Error(TimedOut{"exchange", faults_.timeout_}));
    });
    if (isLost(from, exchange->to_))
        return;
    clock_.schedule(flight(), [this, exchange] { deliver(exchange); });
    if (faults_.duplication_ > 0 && random_.unit() < faults_.duplication_)
        clock_.schedule(flight(), [this, exchange] { deliver(exchange); });
}

void FakePeerNetwork::deliver(const std::shared_ptr<Exchange> &exchange)
{
    const auto place = nodes_.find(exchange->to_);
    if (place == nodes_.end() || place->second->isDead_) {
        if (place == nodes_.end() || !place->second->isSilent_)
            finish(exchange, Error(PeerUnreachable{exchange->to_, "connection refused"}));
        return;
    }
    const auto node = place->second;
    runOn(*node, [this, node, exchange] {
        if (node->handler_)
            answer(exchange, node->handler_(exchange->request_));
    });
}

void FakePeerNetwork::answer(const std::shared_ptr<Exchange> &exchange, Digest digest)
{
    ++messages_;
    if (observer_)
        observer_(exchange->to_, digest, true);
    if (isLost(exchange->to_, exchange->from_))
        return;
    clock_.schedule(flight(), [this, exchange, digest = std::move(digest)]() mutable {
        finish(exchange, std::move(digest));
    });
}

void FakePeerNetwork::finish(const std::shared_ptr<Exchange> &exchange, Result<Digest> result)
{
    runOn(*exchange->sender_, [exchange, result = std::move(result)]() mutable {
        if (std::exchange(exchange->isFinished_, true))
            return;
        exchange->done_(std::move(result));
    });
}

} // namespace cardamombay::support
