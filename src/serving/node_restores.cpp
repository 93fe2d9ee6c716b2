// What an entry VM does when the platform's store comes back from a backup.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// What operators, engines and entry VMs write again after the store was restored from a backup is
/// there by then.
constexpr Duration settleTime = std::chrono::milliseconds(2000);
/// An endpoint that has ended writes nothing again; its entry lapses after three heartbeats.
constexpr Duration leavingHeld = std::chrono::seconds(5);
/// A timeline that is further ahead than that is an error of who tells it.
constexpr std::uint64_t mostRestoresMissed = 64;
/// Such a peer says it in each of its digests.
constexpr std::size_t mostTimelinesLogged = 5;
/// Between the entry VMs that write their rows again, in the order of duties.
constexpr Duration announceTurn = std::chrono::milliseconds(10);

} // namespace

StoreTimeline Node::timelineOf(const std::string &table) const
{
    for (const auto *watch :
         {&configurationWatch_, &endpointWatch_, &peerWatch_, &quarantineWatch_}) {
        if (watch->table() == table)
            return watch->version().timeline();
    }
    return {};
}

/// \param source where the timeline was seen, for the log.
void Node::timelineSeen(StoreTimeline timeline, std::string_view source)
{
    if (timeline_ && timeline <= *timeline_)
        return;
    if (timeline_ && timeline.value() - timeline_->value() > mostRestoresMissed) {
        if (++timelinesRefused_ <= mostTimelinesLogged)
            log::warning(event::timelineRefused, {{"timeline", std::to_string(timeline.value())},
                                                  {"present", std::to_string(timeline_->value())},
                                                  {"seen-by", std::string(source)}});
        return;
    }
    const auto before = std::exchange(timeline_, timeline);
    if (settings_.isFirstStart_ && !before)
        parts_.lease_.setTimeline(timeline);
    else if (!timeline.isNone())
        parts_.lease_.storeRestored(timeline);
    if (before)
        storeRestored(*before, source);
}

/// The store has come back from a backup: what was written in the last seconds before is gone until
/// operators, engines and entry VMs have written it again. Meanwhile what is known here stands: an
/// endpoint that left stays so, one that is missing is excused, and the configuration in force does
/// not count as confirmed, since a newer one may have been lost.
void Node::storeRestored(StoreTimeline before, std::string_view source)
{
    const auto now = parts_.clock_.now();
    settledAt_ = now + settleTime;
    parts_.gateway_.countStoreRestore();
    parts_.endpointRegistry_.tolerateAbsence(now + absenceGrace);
    parts_.endpointRegistry_.keepLeaving(now + leavingHeld);
    keptQuarantines_.clear();
    for (auto *watch : {&configurationWatch_, &endpointWatch_}) {
        if (watch->isListed() && watch->version().timeline() < *timeline_)
            watch->listAnew();
    }
    log::warning(
        event::storeRestored,
        {{"timeline", std::to_string(timeline_->value())},
         {"before", std::to_string(before.value())},
         {"seen-by", std::string(source)},
         {"endpoints", std::to_string(parts_.endpointRegistry_.size())},
         {"quarantines", std::to_string(parts_.gateway_.poisonPills().quarantined(now).size())},
         {"settles-in-ms", std::to_string(toMilliseconds(settleTime))}});
    // The others hear of it at once.
    report(now);
    parts_.clock_.schedule(settleTime, [this, alive = std::weak_ptr(isAlive_)] {
        if (alive.expired() || isSettling(parts_.clock_.now()))
            return;
        endpointWatch_.listAnew();
        // One may have been taken back meanwhile, without a change that the store tells.
        if (!evacuations_.zones().empty())
            configurationWatch_.listAnew();
    });
    parts_.clock_.schedule(settleTime + announceTurn * dutyPlace_,
                           [this, alive = std::weak_ptr(isAlive_)] {
                               if (!alive.expired() && !isLeaving_)
                                   announce();
                           });
}

} // namespace cardamombay::serving
