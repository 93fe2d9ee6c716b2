/// \file
/// \brief Entry VMs' links in memory: latency, loss, cuts and pauses on one manual clock.
#pragma once

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/membership/peer_transport.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace cardamombay::support {

/// \brief A node's view of the common clock; while it is paused its timers wait.
class PausableClock final : public Clock
{
public:
    explicit PausableClock(ManualClock &clock)
        : clock_(clock)
    {
    }

    ~PausableClock() override;

    [[nodiscard]] TimePoint now() const override { return clock_.now(); }
    TimerId schedule(Duration delay, std::function<void()> action) override;
    void cancel(TimerId timer) override;

    void pause() { isPaused_ = true; }
    /// \brief Runs what fell due during the pause, in order.
    void resume();
    [[nodiscard]] bool isPaused() const { return isPaused_; }

private:
    void fire(std::uint64_t id);

    ManualClock &clock_;
    std::uint64_t next_ = 1;
    std::map<std::uint64_t, std::pair<TimerId, std::function<void()>>> timers_;
    std::vector<std::uint64_t> held_;
    bool isPaused_ = false;
};

/// \brief Faults on all links.
struct PeerFaults
{
    Duration latency_ = std::chrono::microseconds(300);
    Duration jitter_{}; ///< Up to this much more; reorders messages.
    double loss_ = 0;
    double duplication_ = 0; ///< Share of requests delivered twice.
    Duration timeout_ = std::chrono::seconds(1);
};

/// \brief Connects any number of nodes; owns their transports and clocks.
class FakePeerNetwork
{
public:
    using Handler = std::function<membership::Digest(const membership::Digest &)>;
    /// \brief Sees each message when it leaves.
    using Observer = std::function<void(const EntryId &from, const membership::Digest &message,
                                        bool isAnswer)>;

    FakePeerNetwork(ManualClock &clock, std::uint64_t seed)
        : clock_(clock)
        , random_(seed)
    {
    }

    PeerFaults faults_;

    /// \brief Adds a node or replaces it (a restart); its links are usable at once.
    void addNode(const EntryId &id, const Address &address);
    void setHandler(const EntryId &id, Handler handler);
    void setObserver(Observer observer) { observer_ = std::move(observer); }
    [[nodiscard]] membership::PeerTransport &transport(const EntryId &id);
    [[nodiscard]] PausableClock &clock(const EntryId &id);

    /// \brief Messages from \p from to \p to are lost.
    void cut(const EntryId &from, const EntryId &to) { cuts_.insert({from, to}); }
    /// \brief Splits the nodes in two sides.
    void partition(const std::set<EntryId> &side);
    void heal() { cuts_.clear(); }

    /// \brief Stops a node's timers; messages to it wait until resume().
    void pause(const EntryId &id);
    void resume(const EntryId &id);
    /// \brief The node is gone; connections to it are refused, or time out if \p isSilent.
    void kill(const EntryId &id, bool isSilent = false);

    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    struct Node;
    struct Exchange;
    class Transport;

    void send(const EntryId &from, const Address &address, membership::Digest digest,
              Callback<membership::Digest> done);
    void deliver(const std::shared_ptr<Exchange> &exchange);
    void answer(const std::shared_ptr<Exchange> &exchange, membership::Digest digest);
    void finish(const std::shared_ptr<Exchange> &exchange, Result<membership::Digest> result);
    void runOn(Node &node, std::function<void()> action);
    [[nodiscard]] Duration flight();
    [[nodiscard]] bool isLost(const EntryId &from, const EntryId &to);

    ManualClock &clock_;
    Random random_;
    std::map<EntryId, std::shared_ptr<Node>> nodes_;
    std::map<Address, EntryId> addresses_;
    std::set<std::pair<EntryId, EntryId>> cuts_;
    Observer observer_;
    std::uint64_t messages_ = 0;
};

} // namespace cardamombay::support
