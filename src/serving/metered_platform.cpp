#include <cardamombay/serving/metered_platform.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

constexpr auto storeCallsMetric = "cardamombay_store_calls";
constexpr auto engineCallsMetric = "cardamombay_engine_calls";

/// A usual call takes 4 ms, a call during an outage ends at its timeout of 0.9 s, and a call for
/// changes waits up to 1.5 s.
const std::vector<double> durationBucketsSeconds{0.002, 0.005, 0.01, 0.025, 0.05,
                                                 0.1,   0.25,  0.5,  1,     2.5};

} // namespace

CallMeter::CallMeter(metrics::Registry &registry, Clock &clock, std::string name, std::string call)
    : registry_(registry)
    , clock_(clock)
    , name_(std::move(name))
    , call_(std::move(call))
    , duration_(registry.histogram(name_ + "_seconds", "From a call to its result.",
                                   durationBucketsSeconds, {{"call", call_}}))
{
}

void CallMeter::count(const std::string &result, TimePoint startedAt)
{
    registry_.counter(name_ + "_total", "Calls by result.", {{"call", call_}, {"result", result}})
        .increment();
    duration_.observe(toSeconds(clock_.now() - startedAt));
}

MeteredStore::MeteredStore(Clock &clock, platform::TableStore &store, platform::ChangeFeed &feed,
                           metrics::Registry &registry)
    : store_(store)
    , feed_(feed)
    , commit_(registry, clock, storeCallsMetric, "commit")
    , read_(registry, clock, storeCallsMetric, "read")
    , scan_(registry, clock, storeCallsMetric, "scan")
    , changes_(registry, clock, storeCallsMetric, "changes")
{
}

void MeteredStore::commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done)
{
    store_.commit(std::move(transaction), commit_.metered(std::move(done)));
}

void MeteredStore::read(std::vector<platform::RowKey> keys,
                        Callback<std::vector<platform::Row>> done)
{
    store_.read(std::move(keys), read_.metered(std::move(done)));
}

void MeteredStore::scan(platform::Scan scan, Callback<platform::ScanPage> done)
{
    store_.scan(std::move(scan), scan_.metered(std::move(done)));
}

void MeteredStore::changes(platform::ChangeQuery query, Callback<platform::ChangePage> done)
{
    feed_.changes(std::move(query), changes_.metered(std::move(done)));
}

MeteredOrders::MeteredOrders(Clock &clock, ReplicaOrders &orders, metrics::Registry &registry)
    : orders_(orders)
    , state_(registry, clock, engineCallsMetric, "state")
{
    for (const auto &order : {Order(JoinOrder()), Order(OpenOrder()), Order(CloseOrder()),
                              Order(LeaveOrder()), Order(StageOrder())})
        byKind_.emplace_back(registry, clock, engineCallsMetric, std::string(nameOf(order)));
}

void MeteredOrders::send(const Endpoint &engine, const Order &order, std::uint64_t fence,
                         Callback<OrderAnswer> done)
{
    orders_.send(engine, order, fence, byKind_.at(order.index()).metered(std::move(done)));
}

void MeteredOrders::state(const Endpoint &engine, Callback<Endpoint> done)
{
    orders_.state(engine, state_.metered(std::move(done)));
}

} // namespace cardamombay::serving
