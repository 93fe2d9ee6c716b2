/// \file
/// \brief Counts and times the calls to the platform's store and the orders to engines.
/// \details Passes everything on unchanged; decides nothing.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/platform/change_feed.hpp>
#include <cardamombay/serving/replica_orders.hpp>

namespace cardamombay::serving {

/// \brief Counters and times of one kind of call.
/// \details Metrics NAME_total with the labels "call" and "result" (ok, or the kind of error), and
/// the histogram NAME_seconds.
class CallMeter
{
public:
    CallMeter(metrics::Registry &registry, Clock &clock, std::string name, std::string call);

    /// \brief A callback that counts the result and hands it to \p done.
    template<typename Value>
    [[nodiscard]] Callback<Value> metered(Callback<Value> done)
    {
        return [this, since = clock_.now(), done = std::move(done)](Result<Value> result) {
            count(isOk(result) ? "ok" : std::string(kindOf(errorOf(result))), since);
            done(std::move(result));
        };
    }

private:
    void count(const std::string &result, TimePoint since);

    metrics::Registry &registry_;
    Clock &clock_;
    std::string name_;
    std::string call_;
    metrics::Histogram seconds_;
};

/// \brief A table store with its feed of changes, metered.
/// \code
/// MeteredStore store(clock, client, client, registry);
/// store.read({key}, done); // cardamombay_store_calls_total{call="read",result="ok"} 1
/// \endcode
class MeteredStore final : public platform::TableStore, public platform::ChangeFeed
{
public:
    /// \param store, feed, registry outlive this.
    MeteredStore(Clock &clock, platform::TableStore &store, platform::ChangeFeed &feed,
                 metrics::Registry &registry);

    void commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done) override;
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override;
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override;
    /// \details The time of a call includes its wait for the first change.
    void changes(platform::ChangeQuery query, Callback<platform::ChangePage> done) override;

private:
    platform::TableStore &store_;
    platform::ChangeFeed &feed_;
    CallMeter commit_;
    CallMeter read_;
    CallMeter scan_;
    CallMeter changes_;
};

/// \brief Orders and questions to engines, metered.
class MeteredOrders final : public ReplicaOrders
{
public:
    /// \param orders, registry outlive this.
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
