// Handles a restore of the platform's store from a backup.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// Operators, engines and entry VMs have rewritten their rows within that time after a restore.
constexpr Duration settleTime = std::chrono::milliseconds(2000);
/// An endpoint that has ended doesn't rewrite its entry; the restored entry lapses after three
/// heartbeats.
constexpr Duration leavingHoldTime = std::chrono::seconds(5);
/// A timeline that is further ahead is considered an error of the sender.
constexpr std::uint64_t maxTimelineLead = 64;
/// Maximum number of log lines about such timelines; a faulty peer repeats the timeline in each
/// digest.
constexpr std::size_t maxTimelinesLogged = 5;
/// Delay between successive entry VMs, in the order of duties, that rewrite their rows.
constexpr Duration announceStagger = std::chrono::milliseconds(10);

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
void Node::noteTimeline(StoreTimeline timeline, std::string_view source)
{
    if (timeline_ && timeline <= *timeline_)
        return;
    if (timeline_ && timeline.value() - timeline_->value() > maxTimelineLead) {
        if (++rejectedTimelines_ <= maxTimelinesLogged)
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

/// The restored store lacks the writes of the last seconds before the restore until operators,
/// engines and entry VMs have repeated them. Until then the local state takes precedence: endpoints
/// that left remain so, missing ones are excused, and the current configuration doesn't count as
/// confirmed, since a newer one may have been lost.
void Node::storeRestored(StoreTimeline before, std::string_view source)
{
    const auto now = parts_.clock_.now();
    settledAt_ = now + settleTime;
    parts_.gateway_.countStoreRestore();
    parts_.endpointRegistry_.tolerateAbsence(now + absenceGracePeriod);
    parts_.endpointRegistry_.keepLeaving(now + leavingHoldTime);
    storedQuarantines_.clear();
    for (auto *watch : {&configurationWatch_, &endpointWatch_}) {
        if (watch->isListed() && watch->version().timeline() < *timeline_)
            watch->relist();
    }
    log::warning(
        event::storeRestored,
        {{"timeline", std::to_string(timeline_->value())},
         {"before", std::to_string(before.value())},
         {"seen-by", std::string(source)},
         {"endpoints", std::to_string(parts_.endpointRegistry_.size())},
         {"quarantines", std::to_string(parts_.gateway_.poisonPills().quarantined(now).size())},
         {"settles-in-ms", std::to_string(toMilliseconds(settleTime))}});
    // Notify the peers at once.
    report(now);
    parts_.clock_.schedule(settleTime, [this, alive = std::weak_ptr(isAlive_)] {
        if (alive.expired() || isSettling(parts_.clock_.now()))
            return;
        endpointWatch_.relist();
        // An evacuation may have been revoked meanwhile, without a change that the store reports.
        if (!evacuations_.zones().empty())
            configurationWatch_.relist();
    });
    parts_.clock_.schedule(settleTime + announceStagger * dutyPosition_,
                           [this, alive = std::weak_ptr(isAlive_)] {
                               if (!alive.expired() && !isLeaving_)
                                   announce();
                           });
}

} // namespace cardamombay::serving
