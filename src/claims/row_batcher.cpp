#include <cardamombay/claims/row_batcher.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::claims {

using platform::CommitReceipt;
using platform::Row;
using platform::RowKey;

namespace {

const Row *find(const std::vector<Row> &rows, const RowKey &key)
{
    const auto found
        = std::find_if(rows.begin(), rows.end(), [&](const Row &row) { return row.key_ == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

RowBatcher::RowBatcher(Clock &clock, platform::TableStore &store, Random &random,
                       platform::WriterTokens tokens, BatchPolicy policy)
    : clock_(clock)
    , store_(store)
    , tokens_(std::move(tokens))
    , policy_(policy)
    , commit_(clock, store, random, policy.commit_)
    , credit_(policy.burst_)
    , refilledAt_(clock.now())
    , alive_(std::make_shared<char>())
{
}

void RowBatcher::submit(RowChange change, RowChangeCallback done)
{
    urgent_ += change.isUrgent_ ? 1 : 0;
    queue_.push_back(Item{std::move(change), std::move(done)});
    wake(queue_.size() >= policy_.maxRows_ ? Duration::zero() : policy_.batchDelay_);
}

void RowBatcher::setEntryCount(std::uint32_t count)
{
    refill();
    entryCount_ = std::max(count, 1U);
}

void RowBatcher::refill()
{
    const auto now = clock_.now();
    const std::chrono::duration<double> passed = now - refilledAt_;
    const double rate = policy_.writesPerSecond_ / entryCount_;
    credit_ = std::min(policy_.burst_, credit_ + passed.count() * rate);
    refilledAt_ = now;
}

/// One credit stays back for urgent changes.
double RowBatcher::creditNeeded() const
{
    return urgent_ > 0 || policy_.burst_ < 2 ? 1 : 2;
}

/// Runs pump() after \p delay, or earlier if that was asked for.
void RowBatcher::wake(Duration delay)
{
    const auto due = clock_.now() + delay;
    if (timer_ != TimerId::None && timerDue_ <= due)
        return;
    clock_.cancel(timer_);
    timerDue_ = due;
    timer_ = clock_.schedule(delay, [this, alive = std::weak_ptr(alive_)] {
        if (alive.expired())
            return;
        timer_ = TimerId::None;
        pump();
    });
}

void RowBatcher::pump()
{
    expire();
    while (!queue_.empty() && inFlight_ < policy_.inFlight_) {
        refill();
        if (credit_ < creditNeeded()) {
            const double rate = policy_.writesPerSecond_ / entryCount_;
            const std::chrono::duration<double> missing((creditNeeded() - credit_) / rate);
            wake(std::chrono::duration_cast<Duration>(missing) + std::chrono::microseconds(1));
            return;
        }
        flush();
    }
}

void RowBatcher::expire()
{
    const auto now = clock_.now();
    const auto isLate = [now](const Item &item) { return item.change_.startBefore_ <= now; };
    if (std::none_of(queue_.begin(), queue_.end(), isLate))
        return;
    std::vector<Item> late;
    std::deque<Item> rest;
    for (auto &item : queue_) {
        if (isLate(item)) {
            urgent_ -= item.change_.isUrgent_ ? 1 : 0;
            late.push_back(std::move(item));
        } else {
            rest.push_back(std::move(item));
        }
    }
    queue_ = std::move(rest);
    for (const auto &item : late)
        item.done_(Error(StoreUnavailable{"row change", "not submitted in time"}));
}

void RowBatcher::flush()
{
    auto batch = std::make_shared<std::vector<Item>>();
    const auto count = std::min(queue_.size(), policy_.maxRows_);
    for (std::size_t i = 0; i < count; ++i) {
        urgent_ -= queue_.front().change_.isUrgent_ ? 1 : 0;
        batch->push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    send(batch);
}

void RowBatcher::send(const Batch &batch)
{
    platform::Transaction transaction{tokens_.next(), {}, {}};
    for (const auto &item : *batch) {
        const auto &change = item.change_;
        transaction.conditions_.push_back({change.key_, change.expected_});
        transaction.writes_.push_back({change.key_, change.value_});
    }
    credit_ -= 1;
    ++inFlight_;
    ++counts_.transactions_;
    commit_.commit(std::move(transaction),
                   [this, batch](const Result<CommitReceipt> &result) { judge(batch, result); });
}

void RowBatcher::judge(const Batch &batch, const Result<CommitReceipt> &result)
{
    if (!isOk(result)) {
        if (const auto *conflict = std::get_if<StoreConflict>(&errorOf(result))) {
            ++counts_.conflicts_;
            readConflicts(batch, *conflict);
            return;
        }
    }
    --inFlight_;
    for (const auto &item : *batch) {
        if (isOk(result)) {
            ++counts_.changes_;
            item.done_(RowWritten{valueOf(result).version_});
        } else {
            item.done_(errorOf(result));
        }
    }
    wake(Duration::zero());
}

void RowBatcher::readConflicts(const Batch &batch, const StoreConflict &conflict)
{
    std::vector<RowKey> keys;
    for (const auto &item : *batch)
        keys.push_back(item.change_.key_);
    store_.read(std::move(keys), [this, alive = std::weak_ptr(alive_), batch,
                                  conflict](Result<std::vector<Row>> result) {
        if (alive.expired())
            return;
        --inFlight_;
        split(batch, conflict, isOk(result) ? valueOf(result) : std::vector<Row>{});
    });
}

/// A read may be stale, a conflict never is: only a higher version proves a conflict, and absence
/// proves one only where the store itself reported it. The rest goes alone and at once, on credit
/// of the next batch, so that no fresh loser can hold it up again.
void RowBatcher::split(const Batch &batch, const StoreConflict &conflict,
                       const std::vector<Row> &rows)
{
    auto rest = std::make_shared<std::vector<Item>>();
    for (auto &item : *batch) {
        const auto &change = item.change_;
        const bool isReported = change.key_ == RowKey{conflict.table_, conflict.key_};
        const Row *row = find(rows, change.key_);
        if (row && row->version_ > change.expected_)
            item.done_(RowConflict{*row});
        else if (isReported && conflict.found_.isNone())
            item.done_(RowConflict{Row{change.key_, {}, {}, {}}});
        else if (isReported && ++item.conflicts_ >= policy_.conflicts_)
            item.done_(Error(conflict));
        else if (isReported)
            requeue(std::move(item));
        else
            rest->push_back(std::move(item));
    }
    if (!rest->empty())
        send(rest);
    wake(Duration::zero());
}

void RowBatcher::requeue(Item item)
{
    urgent_ += item.change_.isUrgent_ ? 1 : 0;
    queue_.push_back(std::move(item));
}

} // namespace cardamombay::claims
