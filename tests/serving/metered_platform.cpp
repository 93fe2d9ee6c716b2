// The metered decorators count calls by kind and result and forward them unchanged.
#include "support/fake_store.hpp"

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/metered_platform.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;

namespace {

/// Completes each call immediately with a fixed result.
struct Store final : public platform::TableStore, public platform::ChangeFeed
{
    void commit(platform::Transaction, Callback<platform::CommitReceipt> done) override
    {
        done(Error(StoreThrottled{}));
    }
    void read(std::vector<platform::RowKey> keys,
              Callback<std::vector<platform::Row>> done) override
    {
        done(std::vector<platform::Row>(keys.size()));
    }
    void scan(platform::Scan, Callback<platform::ScanPage> done) override
    {
        done(platform::ScanPage());
    }
    void changes(platform::ChangeQuery, Callback<platform::ChangePage> done) override
    {
        done(Error(NotFound{"history"}));
    }
};

struct Orders final : public ReplicaOrders
{
    void send(const Endpoint &, const Order &, std::uint64_t, Callback<OrderAnswer> done) override
    {
        done(OrderAnswer::Begun);
    }
    void state(const Endpoint &engine, Callback<Endpoint> done) override { done(engine); }
};

bool holds(const metrics::Registry &registry, const std::string &line)
{
    return registry.text().find(line) != std::string::npos;
}

} // namespace

Test(metered_platform, calls_to_the_store_are_counted_by_kind_and_result)
{
    ManualClock clock;
    Store store;
    metrics::Registry registry;
    MeteredStore metered(clock, store, store, registry);
    std::size_t rows = 0;
    bool isThrottled = false;
    metered.read({{"t", "a"}, {"t", "b"}},
                 [&](const auto &result) { rows = valueOf(result).size(); });
    metered.commit({}, [&](const auto &result) { isThrottled = isError<StoreThrottled>(result); });
    metered.changes({}, [](const auto &) {});
    cr_assert_eq(rows, 2);
    cr_assert(isThrottled);
    cr_assert(holds(registry, "cardamombay_store_calls_total{call=\"read\",result=\"ok\"} 1"));
    cr_assert(holds(registry, "call=\"commit\",result=\"store-throttled\"} 1"));
    cr_assert(holds(registry, "call=\"changes\",result=\"not-found\"} 1"));
    cr_assert(holds(registry, "cardamombay_store_calls_seconds_count{call=\"read\"} 1"));
}

Test(metered_platform, orders_are_counted_by_kind)
{
    ManualClock clock;
    Orders orders;
    metrics::Registry registry;
    MeteredOrders metered(clock, orders, registry);
    metered.send({}, LeaveOrder(), 1, [](const auto &) {});
    metered.send({}, StageOrder(), 1, [](const auto &) {});
    metered.state({}, [](const auto &) {});
    for (const auto *call : {"leave", "stage", "state"})
        cr_assert(holds(registry, "cardamombay_engine_calls_total{call=\"" + std::string(call)
                                      + "\",result=\"ok\"} 1"),
                  "%s", call);
}
