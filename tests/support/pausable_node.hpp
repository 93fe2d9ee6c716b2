/// \file
/// \brief Simulates a process that can be paused: its timers and answers wait until it resumes.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/endpoint/endpoint_orders.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace cardamombay::support {

/// \brief Clock of one process, based on the clock of a test; time advances while it is paused.
class PausableClock final : public Clock
{
public:
    explicit PausableClock(Clock &clock)
        : clock_(clock)
    {
    }

    [[nodiscard]] TimePoint now() const override { return clock_.now(); }
    TimerId schedule(Duration delay, std::function<void()> action) override
    {
        const auto timer = std::make_shared<TimerId>(TimerId::None);
        *timer = clock_.schedule(delay, [this, timer, action = std::move(action)] {
            if (isPaused_)
                waiting_.push_back({*timer, action});
            else
                action();
        });
        return *timer;
    }
    void cancel(TimerId timer) override
    {
        clock_.cancel(timer);
        for (auto &each : waiting_) {
            if (timer != TimerId::None && each.timer_ == timer)
                each.action_ = [] {};
        }
    }

    /// \brief Runs \p action now, or when the process resumes.
    void run(const std::function<void()> &action)
    {
        if (isPaused_)
            waiting_.push_back({TimerId::None, action});
        else
            action();
    }

    [[nodiscard]] bool isPaused() const { return isPaused_; }
    void pause() { isPaused_ = true; }
    void resume()
    {
        isPaused_ = false;
        while (!waiting_.empty() && !isPaused_) {
            const auto next = std::move(waiting_.front());
            waiting_.pop_front();
            next.action_();
        }
    }

private:
    struct Waiting
    {
        TimerId timer_ = TimerId::None; ///< None if the action is an answer.
        std::function<void()> action_;
    };

    Clock &clock_;
    bool isPaused_ = false;
    std::deque<Waiting> waiting_;
};

/// \brief Table store as seen by a process that may be paused.
class PausableStore final : public platform::TableStore
{
public:
    PausableStore(PausableClock &clock, platform::TableStore &store)
        : clock_(clock)
        , store_(store)
    {
    }

    /// \brief Called with each transaction just before it is sent, to provoke races.
    std::function<void(const platform::Transaction &)> beforeCommit_;
    bool failsScans_ = false; ///< Scans fail, while reads and commits work.

    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override
    {
        if (beforeCommit_)
            beforeCommit_(transaction);
        store_.commit(std::move(transaction), later(std::move(done)));
    }
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override
    {
        store_.read(std::move(keys), later(std::move(done)));
    }
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override
    {
        if (failsScans_) {
            clock_.schedule(Duration::zero(), [done = std::move(done)] {
                done(Error(StoreUnavailable{"scan", "switched off"}));
            });
            return;
        }
        store_.scan(std::move(scan), later(std::move(done)));
    }

private:
    template<typename Value>
    Callback<Value> later(Callback<Value> done)
    {
        return [this, done = std::move(done)](Result<Value> result) {
            clock_.run([done, result = std::move(result)] { done(result); });
        };
    }

    PausableClock &clock_;
    platform::TableStore &store_;
};

/// \brief Control link to endpoint VMs, as seen by a process that may be paused.
class PausableOrders final : public endpoint::EndpointOrders
{
public:
    PausableOrders(PausableClock &clock, endpoint::EndpointOrders &orders)
        : clock_(clock)
        , orders_(orders)
    {
    }

    void probe(VmId vm, Address address, Callback<endpoint::EndpointState> done) override
    {
        orders_.probe(std::move(vm), std::move(address), later(std::move(done)));
    }
    void send(Address address, endpoint::EndpointOrder order,
              Callback<endpoint::EndpointState> done) override
    {
        orders_.send(std::move(address), std::move(order), later(std::move(done)));
    }

private:
    Callback<endpoint::EndpointState> later(Callback<endpoint::EndpointState> done)
    {
        return [this, done = std::move(done)](Result<endpoint::EndpointState> result) {
            clock_.run([done, result = std::move(result)] { done(result); });
        };
    }

    PausableClock &clock_;
    endpoint::EndpointOrders &orders_;
};

} // namespace cardamombay::support
