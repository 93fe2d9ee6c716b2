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
    schedulePump(queue_.size() >= policy_.maxRows_ ? Duration::zero() : policy_.batchDelay_);
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

/// Credit for one transaction is reserved for urgent changes.
double RowBatcher::creditNeeded() const
{
    return urgent_ > 0 || policy_.burst_ < 2 ? 1 : 2;
}

/// Runs pump() after \p delay, unless an earlier run is already scheduled.
void RowBatcher::schedulePump(Duration delay)
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
    rejectLateChanges();
    while (!queue_.empty() && inFlight_ < policy_.inFlight_) {
        refill();
        if (credit_ < creditNeeded()) {
            const double rate = policy_.writesPerSecond_ / entryCount_;
            const std::chrono::duration<double> missing((creditNeeded() - credit_) / rate);
            schedulePump(std::chrono::duration_cast<Duration>(missing)
                         + std::chrono::microseconds(1));
            return;
        }
        sendNextBatch();
    }
}

void RowBatcher::rejectLateChanges()
{
    const auto now = clock_.now();
    const auto isOverdue = [now](const Item &item) { return item.change_.startBefore_ <= now; };
    if (std::none_of(queue_.begin(), queue_.end(), isOverdue))
        return;
    std::vector<Item> overdue;
    std::deque<Item> rest;
    for (auto &item : queue_) {
        if (isOverdue(item)) {
            urgent_ -= item.change_.isUrgent_ ? 1 : 0;
            overdue.push_back(std::move(item));
        } else {
            rest.push_back(std::move(item));
        }
    }
    queue_ = std::move(rest);
    for (const auto &item : overdue)
        item.done_(Error(StoreUnavailable{"row change", "not submitted in time"}));
}

void RowBatcher::sendNextBatch()
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
    commit_.commit(std::move(transaction), [this, batch](const Result<CommitReceipt> &result) {
        handleCommitResult(batch, result);
    });
}

void RowBatcher::handleCommitResult(const Batch &batch, const Result<CommitReceipt> &result)
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
    schedulePump(Duration::zero());
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
        resolveConflicts(batch, conflict, isOk(result) ? valueOf(result) : std::vector<Row>{});
    });
}

/// Reads may be stale, reported conflicts are not. A row read therefore shows a conflict only if
/// its version is higher than expected, and an absent row only if the store reported it as absent.
/// The changes without a conflict are sent at once, on the credit of the next batch and without
/// newly queued changes, so that a new conflict cannot delay them again.
void RowBatcher::resolveConflicts(const Batch &batch, const StoreConflict &conflict,
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
        else if (isReported && ++item.conflicts_ >= policy_.maxConflicts_)
            item.done_(Error(conflict));
        else if (isReported)
            requeue(std::move(item));
        else
            rest->push_back(std::move(item));
    }
    if (!rest->empty())
        send(rest);
    schedulePump(Duration::zero());
}

void RowBatcher::requeue(Item item)
{
    urgent_ += item.change_.isUrgent_ ? 1 : 0;
    queue_.push_back(std::move(item));
}

} // namespace cardamombay::claims
