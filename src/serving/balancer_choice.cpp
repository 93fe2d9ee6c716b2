// The last half of Balancer: in which order endpoints are tried by what they have said of
// themselves.
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// A healthy group with much to read pauses for a whole pass at most; a third more is a stall.
constexpr double stallFactor = 1.3;
constexpr Duration networkAllowance = std::chrono::milliseconds(20);

/// Callers that are told of the end of a cooldown come back within this time after it, at the most.
constexpr Duration longestReturnSpread = std::chrono::seconds(2);

Duration patienceOf(const Service &service, const ModelName &name, double slowness)
{
    const auto *model = service.engine_ ? service.engine_->model(name) : nullptr;
    if (model == nullptr)
        return Duration::zero();
    const auto pause = EngineModel(*service.engine_, *model).longestPause();
    return fromSeconds(toSeconds(pause) * slowness * stallFactor) + networkAllowance;
}

} // namespace

/// An endpoint that limits its rate is short of something, so the others go first.
Choice Balancer::chooseLimited(const std::vector<const Candidate *> &limited,
                               const RoutingRequest &request, TimePoint now)
{
    std::vector<const Candidate *> open;
    std::optional<Duration> soonestFree;
    for (const auto *candidate : limited) {
        const auto timeUntilCapacity
            = request.gate_->timeUntilCapacity(candidate->incarnation(), request.maxWait_);
        if (!timeUntilCapacity)
            open.push_back(candidate);
        else if (!soonestFree || *timeUntilCapacity < *soonestFree)
            soonestFree = timeUntilCapacity;
    }
    if (const auto *candidate = best(open, request, now))
        return NeedsReservation{candidate->incarnation()};
    // Where one has its rate left but no place, a place may become free at any moment.
    if (open.empty() && soonestFree)
        return NoEndpointInTime{*soonestFree, "all endpoints have reached their limits"};
    return NoTarget::Full;
}

/// Callers are spread over some time after the cooldown, or they would all return at its end.
Choice Balancer::whenCooled(Duration soonest, const RoutingRequest &request)
{
    if (soonest <= request.maxWait_)
        return NoTarget::Cooldown;
    const auto spread = std::min(longestReturnSpread, soonest / 2);
    return NoEndpointInTime{soonest + fromSeconds(toSeconds(spread) * random_.unit()),
                            "all endpoints ask to be left alone"};
}

Choice Balancer::choose(const RoutingRequest &request, TimePoint now)
{
    if (request.service_->engine_)
        notePrompt(request);
    auto found = usable(request, now);
    if (found.candidates_.empty() && isOutOfRegion(request))
        return NoTarget::NoRegion;
    if (found.candidates_.empty())
        return found.soonestCooled_ ? whenCooled(*found.soonestCooled_, request)
                                    : Choice(NoTarget::NoEndpoint);
    auto choice = chooseAdvised(std::move(found.candidates_), request, now);
    if (auto *target = std::get_if<Target>(&choice))
        target->skippedInCooldown_ = found.cooling_;
    // A cooldown may end before a limit leaves room.
    const auto *none = std::get_if<NoEndpointInTime>(&choice);
    if (none != nullptr && found.soonestCooled_ && *found.soonestCooled_ < none->retryAfter_)
        return whenCooled(*found.soonestCooled_, request);
    return choice;
}

/// Endpoints that turned peers away come last: they may take requests from here, and are the only
/// ones at times.
Choice Balancer::chooseAdvised(std::vector<const Candidate *> candidates,
                               const RoutingRequest &request, TimePoint now)
{
    const auto first
        = std::partition(candidates.begin(), candidates.end(), [&](const Candidate *candidate) {
              return request.gate_ == nullptr
                     || !request.gate_->isDeprioritized(candidate->incarnation(), now);
          });
    std::vector<const Candidate *> last(first, candidates.end());
    candidates.erase(first, candidates.end());
    if (last.empty())
        return chooseUsable(std::move(candidates), request, now);
    if (candidates.empty())
        return chooseUsable(std::move(last), request, now);
    auto choice = chooseUsable(std::move(candidates), request, now);
    if (std::holds_alternative<Target>(choice) || std::holds_alternative<NeedsReservation>(choice))
        return choice;
    return chooseUsable(std::move(last), request, now);
}

Choice Balancer::chooseUsable(std::vector<const Candidate *> candidates,
                              const RoutingRequest &request, TimePoint now)
{
    std::vector<const Candidate *> limited;
    std::erase_if(candidates, [&](const Candidate *candidate) {
        const bool isLimited = request.gate_ != nullptr
                               && request.reserved_ != candidate->incarnation()
                               && request.gate_->isLimited(candidate->incarnation());
        if (isLimited)
            limited.push_back(candidate);
        return isLimited;
    });
    if (const auto *candidate = best(candidates, request, now)) {
        const auto patience
            = request.service_->engine_
                  ? patienceOf(*request.service_, request.model_, candidate->slowness_)
                  : Duration::zero();
        return Target{candidate->endpoint_, candidate->address_, patience, candidate->startedAt_};
    }
    if (limited.empty())
        return NoTarget::Full;
    const auto choice = chooseLimited(limited, request, now);
    const bool mayFreeUp = !candidates.empty() && std::holds_alternative<NoEndpointInTime>(choice);
    return mayFreeUp ? Choice(NoTarget::Full) : choice;
}

} // namespace cardamombay::serving
