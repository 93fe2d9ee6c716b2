#include <cardamombay/serving/store_watch.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Exponential retry delay: all entry VMs share the store's request rate, while dependents of the
/// watch tolerate data up to 2 s late.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr std::uint32_t maxDoublings = 6;

/// Consecutive failures that are logged; an outage causes three failures a second.
constexpr std::uint32_t maxLoggedFailures = 3;

} // namespace

StoreWatch::StoreWatch(Clock &clock, platform::TableStore &store, platform::ChangeFeed &feed,
                       Settings settings, WatchListener &listener)
    : clock_(clock)
    , store_(store)
    , feed_(feed)
    , settings_(std::move(settings))
    , listener_(listener)
{
}

StoreWatch::~StoreWatch()
{
    clock_.cancel(timer_);
}

void StoreWatch::start()
{
    list();
}

void StoreWatch::setActive(bool isActive)
{
    isActive_ = isActive;
    resume();
}

void StoreWatch::catchUp()
{
    // The delay after a failure protects the store, so it is not cut short.
    if (!isListed_ || isCallPending_ || (isBusy_ && failures_ > 0))
        return;
    clock_.cancel(timer_);
    requestChanges(Duration::zero());
}

void StoreWatch::relist()
{
    ++generation_;
    isCallPending_ = false;
    clock_.cancel(timer_);
    timer_ = TimerId::None;
    list();
}

/// Relayed changes of another timeline are rejected: changes between the two timelines may be
/// missing without either reader knowing.
std::optional<RowVersion> StoreWatch::applyRelayed(RowVersion after, RowVersion to,
                                                   RowVersion lastChange)
{
    const bool isOtherTimeline
        = after.timeline() != version_.timeline() || to.timeline() != version_.timeline();
    if (!isListed_ || isOtherTimeline || after > version_ || to <= version_)
        return std::nullopt;
    lastChange_ = std::max(lastChange_, lastChange);
    return std::exchange(version_, to);
}

void StoreWatch::notifyChange(const platform::RowChange &change)
{
    lastChange_ = std::max(lastChange_, change.row_.version_);
    listener_.rowChanged(change);
}

void StoreWatch::list()
{
    isBusy_ = true;
    listPage({}, {}, clock_.now(), {});
}

void StoreWatch::listPage(std::vector<platform::Row> rows, std::string after, TimePoint startedAt,
                          RowVersion version)
{
    platform::Scan scan;
    scan.table_ = settings_.table_;
    scan.after_ = std::move(after);
    store_.scan(scan, [this, alive = std::weak_ptr(isAlive_), generation = generation_,
                       rows = std::move(rows), startedAt,
                       version](Result<platform::ScanPage> result) mutable {
        if (alive.expired() || generation != generation_)
            return;
        if (!isOk(result)) {
            onFailure(errorOf(result));
            return;
        }
        auto &page = valueOf(result);
        // Uses the first page's version: the feed then repeats changes made between
        // two pages.
        if (version.isNone())
            version = page.storeVersion_;
        if (page.storeVersion_.timeline() != version.timeline()) {
            list(); // The store was restored between two pages.
            return;
        }
        std::move(page.rows_.begin(), page.rows_.end(), std::back_inserter(rows));
        if (page.isLast_ || rows.empty()) {
            onListed(rows, version, startedAt);
            return;
        }
        auto last = rows.back().key_.key_;
        listPage(std::move(rows), std::move(last), startedAt, version);
    });
}

void StoreWatch::onListed(const std::vector<platform::Row> &rows, RowVersion version,
                          TimePoint startedAt)
{
    version_ = version;
    for (const auto &row : rows)
        lastChange_ = std::max(lastChange_, row.version_);
    isListed_ = true;
    setReachable(true);
    listener_.tableListed(settings_.table_, rows);
    confirm(startedAt);
    isBusy_ = false;
    resume();
}

void StoreWatch::confirm(TimePoint asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
    listener_.tableConfirmed(settings_.table_, asOf);
}

void StoreWatch::resume()
{
    if (isActive_ && !isBusy_ && isListed_)
        waitForChanges();
}

/// A response with changes confirms the table only as of the time of its call, so the next call
/// waits no longer than until the next confirmation is due. Otherwise a store without changes could
/// not be told from one that does not respond.
Duration StoreWatch::remainingWait() const
{
    return std::clamp<Duration>(confirmedAt_ + settings_.wait_ - clock_.now(), Duration::zero(),
                                settings_.wait_);
}

void StoreWatch::waitForChanges()
{
    requestChanges(remainingWait());
}

void StoreWatch::requestChanges(Duration wait)
{
    isBusy_ = true;
    isCallPending_ = true;
    const auto startedAt = clock_.now();
    feed_.changes({settings_.table_, version_, wait},
                  [this, alive = std::weak_ptr(isAlive_), generation = generation_, startedAt,
                   wait](const Result<platform::ChangePage> &result) {
                      if (alive.expired() || generation != generation_)
                          return;
                      isCallPending_ = false;
                      if (isOk(result))
                          onChanges(valueOf(result), startedAt, wait);
                      else if (isError<NotFound>(result))
                          list();
                      else
                          onFailure(errorOf(result));
                  });
}

/// A response without changes is sent at the end of the wait and confirms the table as of then. A
/// full page shows an earlier state; a watch that paused after it would fall behind, so it requests
/// the next page immediately.
void StoreWatch::onChanges(const platform::ChangePage &page, TimePoint startedAt, Duration wait)
{
    setReachable(true);
    const auto before = version_;
    for (const auto &change : page.changes_) {
        // Skips changes already superseded by relayed ones.
        if (change.row_.version_ > before)
            notifyChange(change);
    }
    version_ = std::max(version_, page.version_);
    if (!page.changes_.empty())
        listener_.changesArrived(settings_.table_, before, version_);
    if (!page.isLast_) {
        requestChanges(Duration::zero());
        return;
    }
    const bool isWaitOver = page.changes_.empty() && clock_.now() - startedAt >= wait;
    confirm(isWaitOver ? startedAt + wait : startedAt);
    isBusy_ = false;
    const auto pause = std::min(settings_.pause_, remainingWait());
    if (page.changes_.empty() || pause == Duration::zero()) {
        resume();
        return;
    }
    isBusy_ = true;
    scheduleStep(pause, &StoreWatch::waitForChanges);
}

void StoreWatch::onFailure(const Error &error)
{
    if (++failures_ <= maxLoggedFailures)
        log::info(event::storeCallFailed, {{"table", settings_.table_},
                                           {"kind", std::string(kindOf(error))},
                                           {"problem", messageOf(error)},
                                           {"failures", std::to_string(failures_)}});
    // A single failure is not an outage: connections are dropped occasionally.
    if (failures_ > 1)
        setReachable(false);
    const auto delay = initialRetryDelay * (1U << std::min(failures_ - 1, maxDoublings));
    scheduleStep(std::min<Duration>(delay, settings_.maxRetryDelay_),
                 isListed_ ? &StoreWatch::waitForChanges : &StoreWatch::list);
}

void StoreWatch::setReachable(bool isReachable)
{
    if (isReachable)
        failures_ = 0;
    if (std::exchange(isReachable_, isReachable) != isReachable)
        listener_.storeReachable(settings_.table_, isReachable);
}

void StoreWatch::scheduleStep(Duration pause, void (StoreWatch::*step)())
{
    timer_ = clock_.schedule(pause, [this, step] {
        timer_ = TimerId::None;
        isBusy_ = false;
        if (isActive_ || !isListed_)
            (this->*step)();
    });
}

} // namespace cardamombay::serving
