/// \file
/// \brief Metrics for calls to the platform's store and for orders to engines.
/// \details Decorators that forward all calls unchanged.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/platform/change_feed.hpp>
#include <cardamombay/serving/replica_orders.hpp>

namespace cardamombay::serving {

/// \brief Counter and duration histogram for one kind of call.
/// \details Exports the counter NAME_total with the labels "call" and "result" ("ok" or the kind of
/// error), and the histogram NAME_seconds.
class CallMeter
{
public:
    CallMeter(metrics::Registry &registry, Clock &clock, std::string name, std::string call);

    /// \returns a callback that records the result and passes it to \p done.
    template<typename Value>
    [[nodiscard]] Callback<Value> metered(Callback<Value> done)
    {
        return [this, startedAt = clock_.now(), done = std::move(done)](Result<Value> result) {
            count(isOk(result) ? "ok" : std::string(kindOf(errorOf(result))), startedAt);
            done(std::move(result));
        };
    }

private:
    void count(const std::string &result, TimePoint startedAt);

    metrics::Registry &registry_;
    Clock &clock_;
    std::string name_;
    std::string call_;
    metrics::Histogram duration_;
};

/// \brief Table store and change feed with metrics.
/// \code
/// MeteredStore store(clock, client, client, registry);
/// store.read({key}, done); // cardamombay_store_calls_total{call="read",result="ok"} 1
/// \endcode
class MeteredStore final : public platform::TableStore, public platform::ChangeFeed
{
public:
    /// \param clock, store, feed, registry must outlive this.
    MeteredStore(Clock &clock, platform::TableStore &store, platform::ChangeFeed &feed,
                 metrics::Registry &registry);

    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override;
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override;
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override;
    /// \details The measured time includes the wait for the first change.
    void changes(platform::ChangeQuery query, Callback<platform::ChangePage> done) override;

private:
    platform::TableStore &store_;
    platform::ChangeFeed &feed_;
    CallMeter commit_;
    CallMeter read_;
    CallMeter scan_;
    CallMeter changes_;
};

/// \brief Orders and state queries to engines, with metrics.
class MeteredOrders final : public ReplicaOrders
{
public:
    /// \param clock, orders, registry must outlive this.
    MeteredOrders(Clock &clock, ReplicaOrders &orders, metrics::Registry &registry);

    void send(const Endpoint &engine, const Order &order, std::uint64_t fence,
              Callback<OrderAnswer> done) override;
    void state(const Endpoint &engine, Callback<Endpoint> done) override;

private:
    ReplicaOrders &orders_;
    std::vector<CallMeter> byKind_; ///< In the order of the alternatives of Order.
    CallMeter state_;
};

} // namespace cardamombay::serving
