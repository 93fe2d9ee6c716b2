// StoreWatch: listing, following changes, relayed changes, and outages.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/store_watch.hpp>

#include <deque>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Queues calls until the test completes them.
class FakeStore final : public platform::TableStore, public platform::ChangeFeed
{
public:
    void commit(platform::Transaction /*transaction*/,
                Callback<platform::CommitReceipt> /*done*/) override
    {
    }
    void read(std::vector<platform::RowKey> /*keys*/,
              Callback<std::vector<platform::Row>> /*done*/) override
    {
    }
    void scan(platform::Scan scan, Callback<platform::ScanPage> done) override
    {
        scans_.push_back({std::move(scan), std::move(done)});
    }
    void changes(platform::ChangeQuery query, Callback<platform::ChangePage> done) override
    {
        queries_.push_back({std::move(query), std::move(done)});
    }

    std::deque<std::pair<platform::Scan, Callback<platform::ScanPage>>> scans_;
    std::deque<std::pair<platform::ChangeQuery, Callback<platform::ChangePage>>> queries_;
};

struct Listener final : public WatchListener
{
    void tableListed(const std::string & /*table*/, const std::vector<platform::Row> &rows) override
    {
        listed_ = rows.size();
    }
    void rowChanged(const platform::RowChange &change) override
    {
        changed_.push_back(change.row_.version_.value());
    }
    void changesArrived(const std::string & /*table*/, RowVersion /*after*/,
                        RowVersion /*to*/) override
    {
        ++arrivals_;
    }
    void tableConfirmed(const std::string & /*table*/, TimePoint asOf) override
    {
        confirmed_ = asOf;
    }
    void storeReachable(const std::string & /*table*/, bool isReachable) override
    {
        isReachable_ = isReachable;
    }

    std::size_t listed_ = 0;
    std::vector<std::uint64_t> changed_;
    std::size_t arrivals_ = 0;
    TimePoint confirmed_{};
    bool isReachable_ = true;
};

platform::RowChange change(std::uint64_t version)
{
    return {{{"t", "k"}, "v", RowVersion(version), {}}, false};
}

struct Bench
{
    Bench()
    {
        watch_.start();
        store_.scans_.front().second(platform::ScanPage{{}, true, RowVersion(10)});
        store_.scans_.pop_front();
    }

    void answer(const Result<platform::ChangePage> &page)
    {
        const auto done = store_.queries_.front().second;
        store_.queries_.pop_front();
        done(page);
    }

    ManualClock clock_;
    FakeStore store_;
    Listener listener_;
    StoreWatch watch_{clock_, store_, store_, {"t", seconds(1), {}}, listener_};
};

} // namespace

Test(store_watch, response_with_changes_confirms_the_time_of_its_call)
{
    Bench bench;
    const auto sent = bench.clock_.now();
    bench.clock_.advance(seconds(1));
    bench.answer(platform::ChangePage{{change(11)}, RowVersion(11)});
    cr_assert(bench.listener_.confirmed_ == sent);
    cr_assert_eq(bench.store_.queries_.size(), 1);
}

Test(store_watch, empty_response_confirms_the_end_of_its_wait)
{
    Bench bench;
    const auto sent = bench.clock_.now();
    bench.clock_.advance(milliseconds(1010));
    bench.answer(platform::ChangePage{{}, RowVersion(10)});
    cr_assert(bench.listener_.confirmed_ == sent + seconds(1));
}

Test(store_watch, table_is_listed_again_if_the_history_is_lost)
{
    Bench bench;
    bench.answer(Error(NotFound{"history"}));
    cr_assert_eq(bench.store_.scans_.size(), 1);
    bench.store_.scans_.front().second(platform::ScanPage{{change(12).row_}, true, RowVersion(12)});
    cr_assert_eq(bench.listener_.listed_, 1);
    cr_assert_eq(bench.store_.queries_.back().first.after_, RowVersion(12));
}

Test(store_watch, two_consecutive_failures_are_an_outage_until_the_next_response)
{
    Bench bench;
    bench.answer(Error(StoreUnavailable{"changes", "503"}));
    cr_assert(bench.listener_.isReachable_);
    bench.clock_.advance(seconds(1));
    bench.answer(Error(StoreUnavailable{"changes", "503"}));
    cr_assert_not(bench.listener_.isReachable_);
    bench.clock_.advance(seconds(1));
    bench.answer(platform::ChangePage{{}, RowVersion(10)});
    cr_assert(bench.listener_.isReachable_);
}

Test(store_watch, relayed_changes_are_not_undone_by_an_older_response)
{
    Bench bench;
    cr_assert(bench.watch_.applyRelayed(RowVersion(10), RowVersion(12), RowVersion(12))
              == RowVersion(10));
    bench.answer(platform::ChangePage{{change(11)}, RowVersion(11)});
    cr_assert(bench.listener_.changed_.empty());
    cr_assert_eq(bench.watch_.lastChange(), RowVersion(12));
    cr_assert_eq(bench.watch_.version(), RowVersion(12));
}

Test(store_watch, writes_to_other_tables_do_not_count_as_changes)
{
    Bench bench;
    bench.answer(platform::ChangePage{{change(11)}, RowVersion(40)});
    cr_assert_eq(bench.watch_.lastChange(), RowVersion(11));
    cr_assert_eq(bench.watch_.version(), RowVersion(40));
}

Test(store_watch, relayed_changes_after_a_gap_are_rejected)
{
    Bench bench;
    cr_assert_not(bench.watch_.applyRelayed(RowVersion(12), RowVersion(13), RowVersion(13)));
    cr_assert_not(bench.watch_.applyRelayed(RowVersion(8), RowVersion(10), RowVersion(10)));
    cr_assert_eq(bench.watch_.version(), RowVersion(10));
}

Test(store_watch, inactive_watch_sends_calls_only_on_catch_up)
{
    Bench bench;
    bench.watch_.setActive(false);
    bench.answer(platform::ChangePage{{}, RowVersion(10)});
    bench.clock_.advance(seconds(10));
    cr_assert(bench.store_.queries_.empty());
    bench.watch_.catchUp();
    cr_assert_eq(bench.store_.queries_.size(), 1);
    cr_assert_eq(bench.store_.queries_.front().first.wait_, Duration::zero());
}

Test(store_watch, retry_delays_grow_up_to_the_configured_maximum)
{
    Bench bench;
    bench.watch_.setMaxRetryDelay(milliseconds(2500));
    for (int i = 0; i < 8; ++i) {
        bench.answer(Error(StoreUnavailable{"changes", "503"}));
        bench.clock_.advance(milliseconds(2500));
        cr_assert_eq(bench.store_.queries_.size(), 1);
    }
    bench.answer(Error(StoreUnavailable{"changes", "503"}));
    bench.clock_.advance(milliseconds(2400));
    cr_assert(bench.store_.queries_.empty());
    bench.watch_.setMaxRetryDelay(milliseconds(400));
    bench.clock_.advance(milliseconds(200));
    bench.answer(Error(StoreUnavailable{"changes", "503"}));
    bench.clock_.advance(milliseconds(400));
    cr_assert_eq(bench.store_.queries_.size(), 1);
}

Test(store_watch, full_page_confirms_nothing_and_is_followed_by_the_next_one_at_once)
{
    Bench bench;
    bench.watch_.setPause(seconds(1));
    const auto before = bench.listener_.confirmed_;
    bench.clock_.advance(milliseconds(10));
    bench.answer(platform::ChangePage{{change(11)}, RowVersion(11), false});
    cr_assert(bench.listener_.confirmed_ == before);
    cr_assert_eq(bench.listener_.changed_.size(), 1);
    cr_assert_eq(bench.store_.queries_.size(), 1);
    cr_assert_eq(bench.store_.queries_.front().first.after_, RowVersion(11));
    const auto asked = bench.clock_.now();
    bench.clock_.advance(milliseconds(5));
    bench.answer(platform::ChangePage{{change(12)}, RowVersion(12), true});
    cr_assert(bench.listener_.confirmed_ == asked);
    cr_assert(bench.store_.queries_.empty());
}

Test(store_watch, catch_up_ends_the_pause_after_changes)
{
    Bench bench;
    bench.watch_.setPause(seconds(1));
    bench.answer(platform::ChangePage{{change(11)}, RowVersion(11)});
    cr_assert(bench.store_.queries_.empty());
    bench.watch_.catchUp();
    cr_assert_eq(bench.store_.queries_.size(), 1);
    // No second call while one is in flight.
    bench.watch_.catchUp();
    cr_assert_eq(bench.store_.queries_.size(), 1);
    bench.answer(platform::ChangePage{{}, RowVersion(11)});
    bench.clock_.advance(seconds(2));
    cr_assert_eq(bench.store_.queries_.size(), 1);
}
