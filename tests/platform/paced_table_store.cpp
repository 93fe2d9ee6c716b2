#include "support/fake_store.hpp"

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/platform/paced_table_store.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::platform;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using support::FakePlatform;
using support::FakeTableStore;

namespace {

Transaction writeTo(std::string table, std::string key = "row")
{
    return {WriterToken("w"), {}, {{{std::move(table), std::move(key)}, "{}"}}};
}

struct Fixture
{
    explicit Fixture(StorePacing pacing = {})
        : store_(inner_, clock_, Random(1), std::move(pacing))
    {
    }

    void commit(std::string table = "claims", std::string key = "row")
    {
        store_.commit(writeTo(std::move(table), std::move(key)),
                      [this](const Result<CommitReceipt> &result) { answers_.push_back(result); });
    }

    /// Lets enough commits fail for the store to count as unreachable.
    void loseStore()
    {
        platform_.faults_.isDown_ = true;
        for (int i = 0; i < 3; ++i)
            commit();
        clock_.advance(milliseconds(20));
        answers_.clear();
    }

    ManualClock clock_;
    FakePlatform platform_{clock_};
    FakeTableStore inner_{platform_};
    PacedTableStore store_;
    std::vector<Result<CommitReceipt>> answers_;
};

/// Answers every call with StoreThrottled until told otherwise.
class ThrottlingStore final : public TableStore
{
public:
    explicit ThrottlingStore(Clock &clock)
        : clock_(clock)
    {
    }

    void commit(Transaction, Callback<CommitReceipt> done) override
    {
        ++calls_;
        clock_.schedule(milliseconds(1), [this, done] {
            if (throttles_)
                done(Error(StoreThrottled{"commit", seconds(1)}));
            else
                done(CommitReceipt{RowVersion(1)});
        });
    }
    void read(std::vector<RowKey>, Callback<std::vector<Row>>) override {}
    void scan(Scan, Callback<ScanPage>) override {}

    Clock &clock_;
    bool throttles_ = true;
    int calls_ = 0;
};

} // namespace

Test(paced_table_store, burst_passes_and_the_rest_follows_at_the_rate)
{
    Fixture fixture({.writeBurst_ = 16, .longestWait_ = seconds(60)});
    fixture.store_.setFleetSize(30); // 10 writes a second for this node.

    for (int i = 0; i < 46; ++i)
        fixture.commit();
    fixture.clock_.advance(milliseconds(10));
    const auto first = fixture.platform_.commits_;
    fixture.clock_.advance(seconds(1));
    const auto second = fixture.platform_.commits_;
    fixture.clock_.advance(seconds(4));

    cr_assert_eq(first, 16U);
    cr_assert(second >= 24 && second <= 26, "%lu", second);
    cr_assert_eq(fixture.platform_.commits_, 46U);
}

Test(paced_table_store, call_that_waits_too_long_is_refused_and_not_sent)
{
    Fixture fixture({.writeBurst_ = 1, .longestWait_ = seconds(2)});
    fixture.store_.setFleetSize(400);

    for (int i = 0; i < 10; ++i)
        fixture.commit();
    fixture.clock_.advance(seconds(5));

    cr_assert_eq(fixture.answers_.size(), 10U);
    const auto refused
        = std::count_if(fixture.answers_.begin(), fixture.answers_.end(),
                        [](const auto &answer) { return isError<StoreThrottled>(answer); });
    cr_assert_eq(fixture.platform_.commits_ + static_cast<std::uint64_t>(refused), 10U);
    cr_assert(fixture.platform_.commits_ <= 3);
}

Test(paced_table_store, full_queue_refuses_but_not_inline)
{
    Fixture fixture({.writeBurst_ = 1, .waitingCalls_ = 2});
    for (int i = 0; i < 4; ++i)
        fixture.commit();
    cr_assert(fixture.answers_.empty());

    fixture.clock_.runDue();

    cr_assert_eq(fixture.answers_.size(), 1U);
    cr_assert(isError<StoreThrottled>(fixture.answers_.front()));
}

Test(paced_table_store, lease_write_goes_before_claims_that_wait)
{
    Fixture fixture({.writeBurst_ = 1, .longestWait_ = seconds(60)});
    fixture.store_.setFleetSize(400);
    for (const char *key : {"a", "b", "c"})
        fixture.commit("claims", key);
    fixture.commit("leases");

    fixture.clock_.advance(milliseconds(1300));

    cr_assert(fixture.platform_.row({"leases", "row"}) != nullptr);
    cr_assert(fixture.platform_.row({"claims", "b"}) == nullptr);
}

Test(paced_table_store, failures_in_a_row_stop_calls_and_refuse_at_once)
{
    Fixture fixture;
    fixture.loseStore();
    cr_assert_not(fixture.store_.isReachable());
    const auto sent = fixture.store_.counters().writes_;

    fixture.commit();
    fixture.clock_.runDue();

    cr_assert(isError<StoreUnavailable>(fixture.answers_.front()));
    cr_assert_eq(fixture.store_.counters().writes_, sent);
}

Test(paced_table_store, conflict_is_an_answer_and_does_not_count_as_failure)
{
    Fixture fixture;
    auto conflicting = writeTo("claims");
    conflicting.conditions_.push_back({{"claims", "row"}, RowVersion(9)});

    for (int i = 0; i < 5; ++i)
        fixture.store_.commit(conflicting, [](const auto &) {});
    fixture.clock_.advance(seconds(1));

    cr_assert(fixture.store_.isReachable());
}

Test(paced_table_store, probe_finds_the_store_and_calls_pass_again)
{
    Fixture fixture;
    std::vector<bool> changes;
    fixture.store_.setListener([&](bool isReachable) { changes.push_back(isReachable); });
    fixture.loseStore();
    fixture.clock_.advance(minutes(2));
    cr_assert_gt(fixture.store_.unreachableFor(), minutes(1));

    fixture.platform_.faults_.isDown_ = false;
    fixture.clock_.advance(seconds(8));
    fixture.commit();
    fixture.clock_.advance(seconds(1));

    cr_assert(fixture.store_.isReachable());
    cr_assert(isOk(fixture.answers_.back()));
    cr_assert(changes == (std::vector<bool>{false, true}));
}

Test(paced_table_store, probes_in_a_long_outage_are_few)
{
    Fixture fixture;
    fixture.loseStore();

    fixture.clock_.advance(minutes(10));

    cr_assert_leq(fixture.store_.counters().probes_, 140U);
}

Test(paced_table_store, throttled_node_pauses_then_returns_with_half_its_share)
{
    ManualClock clock;
    ThrottlingStore inner(clock);
    PacedTableStore store(inner, clock, Random(1),
                          {.writeBurst_ = 100, .longestWait_ = seconds(60)});
    const auto commit = [&] { store.commit(writeTo("claims"), [](const auto &) {}); };
    for (int i = 0; i < 10; ++i)
        commit();
    clock.advance(milliseconds(5));
    inner.throttles_ = false;
    inner.calls_ = 0;

    for (int i = 0; i < 100; ++i)
        commit();
    clock.advance(milliseconds(900));
    const int inPause = inner.calls_;
    clock.advance(milliseconds(800));

    cr_assert_eq(inPause, 0);
    cr_assert(inner.calls_ >= 40, "%d", inner.calls_);
}

Test(paced_table_store, store_destroyed_with_calls_waiting_runs_nothing)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore inner(platform);
    {
        PacedTableStore store(inner, clock, Random(1), {.writeBurst_ = 1});
        for (int i = 0; i < 5; ++i)
            store.commit(writeTo("claims"), [](const auto &) {});
    }

    clock.advance(seconds(10));

    cr_assert_eq(platform.commits_, 1U);
}

// The fleet of two years' time comes back from an outage together; every node has work waiting.
Test(paced_table_store, fleet_of_340_nodes_stays_under_the_rate_after_an_outage)
{
    constexpr std::size_t nodes = 340;
    constexpr int stepsPerSecond = 10;
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore inner(platform);
    std::vector<std::unique_ptr<PacedTableStore>> stores;
    for (std::size_t node = 0; node < nodes; ++node) {
        stores.push_back(std::make_unique<PacedTableStore>(inner, clock, Random(node)));
        stores.back()->setFleetSize(nodes);
    }
    const auto demand = [&] {
        for (auto &store : stores)
            store->commit(writeTo("claims"), [](const auto &) {});
    };
    platform.faults_.isDown_ = true;
    for (int i = 0; i < 4; ++i)
        demand();
    clock.advance(minutes(5));
    platform.faults_.isDown_ = false;

    std::vector<std::uint64_t> commits{platform.commits_};
    for (int step = 0; step < 30 * stepsPerSecond; ++step) {
        demand();
        clock.advance(milliseconds(1000 / stepsPerSecond));
        commits.push_back(platform.commits_);
    }
    std::uint64_t most = 0;
    for (std::size_t i = stepsPerSecond; i < commits.size(); ++i)
        most = std::max(most, commits[i] - commits[i - stepsPerSecond]);

    std::printf("most commits in a second: %lu, all in 30 s: %lu\n", most, platform.commits_);
    cr_assert_leq(most, 400U);
    cr_assert_gt(platform.commits_, 4000U);
}
