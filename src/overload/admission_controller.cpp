#include <cardamombay/overload/admission_controller.hpp>

#include "overload/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <iterator>

namespace cardamombay::overload {

namespace {

/// Five digest periods: digests that are late for longer are lost. A quarter of the 2 s after which
/// callers without an event disconnect.
constexpr Duration maxFiguresAge = std::chrono::milliseconds(500);
/// Two digest periods of 100 ms bring the first sum; a start without one is a fleet without
/// digests.
constexpr Duration maxStartTime = std::chrono::milliseconds(500);

/// \name Admitted share of the divided rank while digests are late
/// Halving would leave capacity unused for up to 1 s after a single refusal; with these steps the
/// share is restored after 0.7 s at most.
/// \{
constexpr double ownShareFactor = 2.0 / 3;
constexpr double ownShareStep = 0.05;
constexpr Duration ownSharePeriod = std::chrono::milliseconds(100);
/// \}

/// A less urgent rank is refused for so long before a more urgent one is divided. Engines refuse
/// meanwhile because of requests in flight and of other entry VMs. Half of the 2 s after which
/// callers without an event disconnect.
constexpr Duration rankPeriod = std::chrono::seconds(1);

constexpr double unitPerBit = 0x1p-53;

/// Number in [0, 1) from the upper 53 bits of a hash.
double unitOf(std::uint64_t draw)
{
    return static_cast<double>(draw >> 11U) * unitPerBit;
}

/// The least urgent rank with work that is more urgent than \p rank.
std::optional<Rank> rankBefore(const ModelDemand &demand, std::optional<Rank> rank)
{
    const auto &ranks = demand.offered_;
    const auto next = rank ? ranks.lower_bound(*rank) : ranks.end();
    return next == ranks.begin() ? std::nullopt : std::optional(std::prev(next)->first);
}

/// The most urgent rank with work that is less urgent than \p rank.
std::optional<Rank> rankAfter(const ModelDemand &demand, Rank rank)
{
    const auto next = demand.offered_.upper_bound(rank);
    return next == demand.offered_.end() ? std::nullopt : std::optional(next->first);
}

} // namespace

AdmissionController::AdmissionController(const AdmissionPolicy &policy, TimePoint startedAt)
    : policy_(policy)
    , startedAt_(startedAt)
{
}

void AdmissionController::update(const ModelName &model, const ModelFigures &figures, TimePoint now)
{
    auto &entry = models_[model];
    entry.figures_ = figures;
    if (figures.entries_ <= 1)
        entry.figures_.receivedAt_ = now;
    entry.fleetLevel_ = policy_.level(figures.fleet_, figures.capacity_);
    const auto source = sourceOf(entry, now);
    if (source == FigureSource::Own)
        raiseOwnShare(entry, now);
    else if (source == FigureSource::Fleet)
        entry.own_ = {entry.fleetLevel_.dividedRank_, entry.fleetLevel_.dividedShare_, now, now};
    else
        entry.own_ = {std::nullopt, 1, now, now};
    divideOwn(entry);
    if (const auto details = entry.log_.note(model, level(model, now), figuresAge(model, now), now))
        log::write(log::Level::Info, event::admissionLevelChanged, *details);
}

void AdmissionController::recordSend(const ModelName &model, bool isRefused, TimePoint now)
{
    const auto found = models_.find(model);
    if (found == models_.end() || !isRefused)
        return;
    auto &entry = found->second;
    if (sourceOf(entry, now) != FigureSource::Own)
        return;
    entry.own_.risesFrom_ = now;
    if (now - entry.own_.loweredAt_ >= ownSharePeriod)
        lowerOwnShare(entry, now);
    divideOwn(entry);
}

bool AdmissionController::admits(const AdmissionRequest &request, std::size_t inFlight,
                                 TimePoint now) const
{
    const auto found = models_.find(request.model_);
    if (found == models_.end())
        return true;
    const auto &entry = found->second;
    if (sourceOf(entry, now) == FigureSource::Start) {
        const auto entries = std::max<std::size_t>(1, entry.figures_.entries_);
        return inFlight < std::max<std::size_t>(1, entry.figures_.slots_ / entries);
    }
    return unitOf(request.draw_) < levelOf(entry, now).share(request.rank_, request.team_);
}

AdmissionLevel AdmissionController::level(const ModelName &model, TimePoint now) const
{
    const auto found = models_.find(model);
    if (found == models_.end())
        return {};
    auto result = levelOf(found->second, now);
    result.source_ = sourceOf(found->second, now);
    return result;
}

std::optional<Duration> AdmissionController::figuresAge(const ModelName &model, TimePoint now) const
{
    const auto found = models_.find(model);
    if (found == models_.end() || !found->second.figures_.receivedAt_)
        return std::nullopt;
    return now - *found->second.figures_.receivedAt_;
}

void AdmissionController::retain(std::span<const ModelName> models)
{
    std::erase_if(models_, [&](const auto &one) {
        return std::find(models.begin(), models.end(), one.first) == models.end();
    });
}

FigureSource AdmissionController::sourceOf(const Entry &entry, TimePoint now) const
{
    const auto &receivedAt = entry.figures_.receivedAt_;
    if (receivedAt && now - *receivedAt <= maxFiguresAge)
        return FigureSource::Fleet;
    const bool hasJustStarted = !receivedAt && now - startedAt_ < maxStartTime;
    return hasJustStarted ? FigureSource::Start : FigureSource::Own;
}

const AdmissionLevel &AdmissionController::levelOf(const Entry &entry, TimePoint now) const
{
    return sourceOf(entry, now) == FigureSource::Fleet ? entry.fleetLevel_ : entry.ownLevel_;
}

void AdmissionController::lowerOwnShare(Entry &entry, TimePoint now)
{
    auto &own = entry.own_;
    if (!own.rank_) {
        own = {rankBefore(entry.figures_.own_, std::nullopt), 1, now, now};
    } else if (own.share_ <= 0) {
        if (now - own.loweredAt_ < rankPeriod)
            return;
        own = {rankBefore(entry.figures_.own_, own.rank_), 1, now, now};
    }
    own.share_ *= ownShareFactor;
    own.loweredAt_ = now;
    const bool isLast = !rankBefore(entry.figures_.own_, own.rank_);
    if (own.share_ < ownShareStep && !isLast)
        own.share_ = 0;
}

/// One step for each update: the time for which a VM was suspended shows nothing about engines.
void AdmissionController::raiseOwnShare(Entry &entry, TimePoint now)
{
    auto &own = entry.own_;
    const auto passed = now - own.risesFrom_;
    if (!own.rank_ || passed < ownSharePeriod)
        return;
    own.risesFrom_ = passed < 2 * ownSharePeriod ? own.risesFrom_ + ownSharePeriod : now;
    own.share_ += ownShareStep;
    if (own.share_ < 1)
        return;
    own.rank_ = rankAfter(entry.figures_.own_, *own.rank_);
    own.share_ = own.rank_ ? ownShareStep : 1;
}

void AdmissionController::divideOwn(Entry &entry) const
{
    const auto &[rank, share, loweredAt, risesFrom] = entry.own_;
    const auto &own = entry.figures_.own_;
    ModelDemand divided;
    if (rank) {
        // Without work of its own, the rank still marks which ranks are refused.
        const auto found = own.offered_.find(*rank);
        divided.offered_.emplace(*rank, found == own.offered_.end() ? 1 : found->second);
        divided.teams_ = own.teams_;
    }
    entry.ownLevel_ = policy_.divide(divided, rank ? share * divided.offered_.at(*rank) : 0);
    // Waits and returns are forecast from the room of the groups, also while digests are late.
    entry.ownLevel_.room_ = entry.fleetLevel_.room_;
    entry.ownLevel_.occupancy_ = entry.figures_.capacity_.occupancy_;
}

} // namespace cardamombay::overload
