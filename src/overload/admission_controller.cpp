#include <cardamombay/overload/admission_controller.hpp>

#include "overload/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::overload {

namespace {

/// Five digest periods: digests that are late for longer are lost. A quarter of the 2 s after which
/// callers without an event disconnect.
constexpr Duration maxFiguresAge = std::chrono::milliseconds(500);
/// Two digest periods of 100 ms bring the first sum; a start without one is a fleet without
/// digests.
constexpr Duration maxStartTime = std::chrono::milliseconds(500);

/// \name Admitted share while digests are late
/// Halving would leave capacity unused for up to 1 s after a single refusal; with these steps the
/// share is restored after 0.7 s at most.
/// \{
constexpr double ownShareFactor = 2.0 / 3;
constexpr double ownShareStep = 0.05;
constexpr Duration ownSharePeriod = std::chrono::milliseconds(100);
/// \}

constexpr double unitPerBit = 0x1p-53;

/// Number in [0, 1) from the upper 53 bits of a hash.
double unitOf(std::uint64_t draw)
{
    return static_cast<double>(draw >> 11U) * unitPerBit;
}

/// Share of all offered work that a level admits.
double admittedShare(const AdmissionLevel &level)
{
    return level.offered_ > 0 ? std::min(1.0, level.room_ / level.offered_) : 1;
}

double totalOffered(const ModelDemand &demand)
{
    double total = 0;
    for (const auto &[rank, offered] : demand.offered_)
        total += offered;
    return total;
}

} // namespace

AdmissionController::AdmissionController(const AdmissionPolicy &policy, TimePoint startedAt)
    : policy_(policy)
    , startedAt_(startedAt)
{
}

void AdmissionController::update(const ModelName &model, const ModelFigures &figures, TimePoint now)
{
    const auto [place, isNew] = models_.try_emplace(model);
    auto &entry = place->second;
    if (isNew)
        entry.ownShareAt_ = now;
    entry.figures_ = figures;
    if (figures.entries_ <= 1)
        entry.figures_.receivedAt_ = now;
    entry.fleetLevel_ = policy_.level(figures.fleet_, figures.capacity_);
    if (sourceOf(entry, now) == FigureSource::Own) {
        raiseOwnShare(entry, now);
    } else {
        entry.ownShare_ = entry.figures_.receivedAt_ ? admittedShare(entry.fleetLevel_) : 1;
        entry.ownShareAt_ = now;
    }
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
    entry.ownShareAt_ = now;
    if (entry.loweredAt_ && now - *entry.loweredAt_ < ownSharePeriod)
        return;
    entry.loweredAt_ = now;
    entry.ownShare_ *= ownShareFactor;
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

/// One step for each update: the time for which a VM was suspended shows nothing about engines.
void AdmissionController::raiseOwnShare(Entry &entry, TimePoint now)
{
    const auto passed = now - entry.ownShareAt_;
    if (passed < ownSharePeriod)
        return;
    entry.ownShare_ = std::min(1.0, entry.ownShare_ + ownShareStep);
    entry.ownShareAt_ = passed < 2 * ownSharePeriod ? entry.ownShareAt_ + ownSharePeriod : now;
}

void AdmissionController::divideOwn(Entry &entry) const
{
    const auto &own = entry.figures_.own_;
    entry.ownLevel_ = policy_.divide(own, entry.ownShare_ * totalOffered(own));
    entry.ownLevel_.occupancy_ = entry.figures_.capacity_.occupancy_;
}

} // namespace cardamombay::overload
