/// \file
/// \brief Charges processor time, memory and messages of simulated nodes to the kind of work.
#pragma once

#include <cardamombay/core/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamombay::bench {

/// \brief What a node's processor time is spent on; Outside belongs to the fakes.
enum class Work {
    Outside,
    ShortTimer,    ///< Timers of 100 ms: membership and watching, with the digests they encode.
    SnapshotTimer, ///< Timers of 250 ms.
    PlanTimer,     ///< Timers of 500 ms.
    OtherTimer,    ///< Leases, board, configuration, list, claims.
    PeerCall,      ///< Answering a peer's digest.
    PeerAnswer,
    ProbeAnswer,
    StoreAnswer,
    VmListAnswer,
    Count
};

constexpr std::array<std::string_view, static_cast<std::size_t>(Work::Count)> workNames{
    "outside",       "membership+watching timers",
    "snapshot",      "planning",
    "other timers",  "peer calls",
    "peer answers",  "probe answers",
    "store answers", "VM list"};

/// \brief Kinds of messages a node sends.
enum class Message { Peer, Probe, Order, Commit, Read, Scan, VmList, Object, Count };

constexpr std::array<std::string_view, static_cast<std::size_t>(Message::Count)> messageNames{
    "digest", "probe", "order", "commit", "read", "scan", "vm-list", "object"};

/// \brief Messages of one kind: requests, and bytes there and back.
struct Traffic
{
    std::uint64_t messages_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
};

/// \brief Counters of one node.
struct NodeMeter
{
    std::array<double, static_cast<std::size_t>(Work::Count)> seconds_{};
    std::array<Traffic, static_cast<std::size_t>(Message::Count)> traffic_{};
    Traffic answered_; ///< Digests of peers that it answered.

    [[nodiscard]] double processor() const
    {
        double sum = 0;
        for (const double seconds : seconds_)
            sum += seconds;
        return sum - seconds_[0];
    }
};

/// \brief Processor time of this thread.
inline double threadSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// \brief Bytes that nodes hold; a global counting allocator of the program keeps it.
struct HeldBytes
{
    static inline bool isInNode_ = false;
    static inline std::int64_t bytes_ = 0;
};

/// \brief Knows which node runs at this moment.
class Meter
{
public:
    explicit Meter(std::size_t nodes)
        : nodes_(nodes)
        , since_(threadSeconds())
    {
    }

    [[nodiscard]] std::vector<NodeMeter> &nodes() { return nodes_; }

    void reset()
    {
        nodes_.assign(nodes_.size(), {});
        since_ = threadSeconds();
    }

    /// \brief Charges what follows; returns what was charged before.
    std::pair<std::size_t, Work> enter(std::size_t node, Work work)
    {
        const double now = threadSeconds();
        nodes_[node_].seconds_[static_cast<std::size_t>(work_)] += now - since_;
        const std::pair<std::size_t, Work> before{node_, work_};
        node_ = node;
        work_ = work;
        HeldBytes::isInNode_ = work != Work::Outside;
        since_ = now;
        return before;
    }

private:
    std::vector<NodeMeter> nodes_;
    std::size_t node_ = 0;
    Work work_ = Work::Outside;
    double since_;
};

/// \brief Charges a block.
class Charge
{
public:
    Charge(Meter &meter, std::size_t node, Work work)
        : meter_(meter)
        , before_(meter.enter(node, work))
    {
    }
    Charge(const Charge &) = delete;
    Charge &operator=(const Charge &) = delete;
    ~Charge() { meter_.enter(before_.first, before_.second); }

private:
    Meter &meter_;
    std::pair<std::size_t, Work> before_;
};

/// \brief A node's clock: charges its timers to the node.
class MeteredClock final : public Clock
{
public:
    MeteredClock(Clock &clock, Meter &meter, std::size_t node)
        : clock_(clock)
        , meter_(meter)
        , node_(node)
    {
    }

    [[nodiscard]] TimePoint now() const override { return clock_.now(); }

    TimerId schedule(Duration delay, std::function<void()> action) override
    {
        auto charged = [this, work = workOf(delay), action = std::move(action)] {
            const Charge charge(meter_, node_, work);
            action();
        };
        return clock_.schedule(delay, std::move(charged));
    }

    void cancel(TimerId timer) override { clock_.cancel(timer); }

private:
    static Work workOf(Duration delay)
    {
        if (delay == std::chrono::milliseconds(100))
            return Work::ShortTimer;
        if (delay == std::chrono::milliseconds(250))
            return Work::SnapshotTimer;
        if (delay == std::chrono::milliseconds(500))
            return Work::PlanTimer;
        return Work::OtherTimer;
    }

    Clock &clock_;
    Meter &meter_;
    std::size_t node_;
};

} // namespace cardamombay::bench
