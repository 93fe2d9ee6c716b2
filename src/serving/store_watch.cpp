#include <cardamombay/serving/store_watch.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Pauses after failures; the store's rate is shared by all entry VMs, and what depends on it may
/// be two seconds late at most.
constexpr Duration firstPause = std::chrono::milliseconds(100);
constexpr std::uint32_t mostDoublings = 6;

/// Failures in a row that are logged one by one; an outage makes three a second.
constexpr std::uint32_t mostLogged = 3;

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
    next();
}

void StoreWatch::catchUp()
{
    // After a failure the pause is there for the store's sake.
    if (!isListed_ || isCalling_ || (isAsking_ && failures_ > 0))
        return;
    clock_.cancel(timer_);
    ask(Duration::zero());
}

void StoreWatch::relist()
{
    ++round_;
    isCalling_ = false;
    clock_.cancel(timer_);
    timer_ = TimerId::None;
    list();
}

/// Between two timelines something may be missing that neither reader knows of.
std::optional<RowVersion> StoreWatch::applyRelayed(RowVersion after, RowVersion to,
                                                   RowVersion lastChange)
{
    const bool isOfOtherTimeline
        = after.timeline() != version_.timeline() || to.timeline() != version_.timeline();
    if (!isListed_ || isOfOtherTimeline || after > version_ || to <= version_)
        return std::nullopt;
    lastChange_ = std::max(lastChange_, lastChange);
    return std::exchange(version_, to);
}

void StoreWatch::tell(const platform::RowChange &change)
{
    lastChange_ = std::max(lastChange_, change.row_.version_);
    listener_.rowChanged(change);
}

void StoreWatch::list()
{
    isAsking_ = true;
    listFrom({}, {}, clock_.now(), {});
}

void StoreWatch::listFrom(std::vector<platform::Row> rows, std::string after, TimePoint since,
                          RowVersion version)
{
    platform::Scan scan;
    scan.table_ = settings_.table_;
    scan.after_ = std::move(after);
    store_.scan(scan,
                [this, alive = std::weak_ptr(isAlive_), round = round_, rows = std::move(rows),
                 since, version](Result<platform::ScanPage> result) mutable {
                    if (alive.expired() || round != round_)
                        return;
                    if (!isOk(result)) {
                        failed(errorOf(result));
                        return;
                    }
                    auto &page = valueOf(result);
                    // The first page's version: what changed between two pages is told again by the
                    // feed.
                    if (version.isNone())
                        version = page.storeVersion_;
                    if (page.storeVersion_.timeline() != version.timeline()) {
                        list(); // The store was restored between two pages.
                        return;
                    }
                    std::move(page.rows_.begin(), page.rows_.end(), std::back_inserter(rows));
                    if (page.isLast_ || rows.empty()) {
                        listed(rows, version, since);
                        return;
                    }
                    auto last = rows.back().key_.key_;
                    listFrom(std::move(rows), std::move(last), since, version);
                });
}

void StoreWatch::listed(const std::vector<platform::Row> &rows, RowVersion version, TimePoint since)
{
    version_ = version;
    for (const auto &row : rows)
        lastChange_ = std::max(lastChange_, row.version_);
    isListed_ = true;
    reachable(true);
    listener_.tableListed(settings_.table_, rows);
    confirmed(since);
    isAsking_ = false;
    next();
}

void StoreWatch::confirmed(TimePoint asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
    listener_.tableConfirmed(settings_.table_, asOf);
}

void StoreWatch::next()
{
    if (isActive_ && !isAsking_ && isListed_)
        wait();
}

/// An answer with changes confirms the table only as of its call, so the next call waits no longer
/// than until the next confirmation is due. Otherwise nobody could tell a watch that hears nothing
/// from a store that has nothing to say.
Duration StoreWatch::remainingWait() const
{
    return std::clamp<Duration>(confirmedAt_ + settings_.wait_ - clock_.now(), Duration::zero(),
                                settings_.wait_);
}

void StoreWatch::wait()
{
    ask(remainingWait());
}

void StoreWatch::ask(Duration wait)
{
    isAsking_ = true;
    isCalling_ = true;
    const auto since = clock_.now();
    feed_.changes({settings_.table_, version_, wait},
                  [this, alive = std::weak_ptr(isAlive_), round = round_, since,
                   wait](const Result<platform::ChangePage> &result) {
                      if (alive.expired() || round != round_)
                          return;
                      isCalling_ = false;
                      if (isOk(result))
                          changed(valueOf(result), since, wait);
                      else if (isError<NotFound>(result))
                          list();
                      else
                          failed(errorOf(result));
                  });
}

/// An answer without changes is given when the wait is over, not before; it shows the table as of
/// then. One that is full shows an earlier state; a watch that paused after it would fall behind.
void StoreWatch::changed(const platform::ChangePage &page, TimePoint since, Duration wait)
{
    reachable(true);
    const auto before = version_;
    for (const auto &change : page.changes_) {
        // What was passed on meanwhile is newer.
        if (change.row_.version_ > before)
            tell(change);
    }
    version_ = std::max(version_, page.version_);
    if (!page.changes_.empty())
        listener_.changesArrived(settings_.table_, before, version_);
    if (!page.isLast_) {
        ask(Duration::zero());
        return;
    }
    const bool isWaitOver = page.changes_.empty() && clock_.now() - since >= wait;
    confirmed(isWaitOver ? since + wait : since);
    isAsking_ = false;
    const auto pause = std::min(settings_.pause_, remainingWait());
    if (page.changes_.empty() || pause == Duration::zero()) {
        next();
        return;
    }
    isAsking_ = true;
    later(pause, &StoreWatch::wait);
}

void StoreWatch::failed(const Error &error)
{
    if (++failures_ <= mostLogged)
        log::info(event::storeCallFailed, {{"table", settings_.table_},
                                           {"kind", std::string(kindOf(error))},
                                           {"problem", messageOf(error)},
                                           {"failures", std::to_string(failures_)}});
    // A single failure is no outage: connections are cut now and then.
    if (failures_ > 1)
        reachable(false);
    const auto doubled = firstPause * (1U << std::min(failures_ - 1, mostDoublings));
    later(std::min<Duration>(doubled, settings_.maxRetryDelay_),
          isListed_ ? &StoreWatch::wait : &StoreWatch::list);
}

void StoreWatch::reachable(bool isReachable)
{
    if (isReachable)
        failures_ = 0;
    if (std::exchange(isReachable_, isReachable) != isReachable)
        listener_.storeReachable(settings_.table_, isReachable);
}

void StoreWatch::later(Duration pause, void (StoreWatch::*step)())
{
    timer_ = clock_.schedule(pause, [this, step] {
        timer_ = TimerId::None;
        isAsking_ = false;
        if (isActive_ || !isListed_)
            (this->*step)();
    });
}

} // namespace cardamombay::serving
