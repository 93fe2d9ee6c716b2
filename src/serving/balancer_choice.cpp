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
    const auto pause = EngineModel(*service.engine_, *model).maxEventInterval();
    return fromSeconds(toSeconds(pause) * slowness * stallFactor) + networkAllowance;
}

} // namespace

/// An endpoint that limits its rate is short of something, so the others go first.
Choice Balancer::chooseLimited(const std::vector<const Candidate *> &limited, const Demand &demand,
                               TimePoint now)
{
    std::vector<const Candidate *> open;
    std::optional<Duration> soonestFree;
    for (const auto *candidate : limited) {
        const auto fullFor = demand.gate_->fullFor(candidate->life(), demand.longestWait_);
        if (!fullFor)
            open.push_back(candidate);
        else if (!soonestFree || *fullFor < *soonestFree)
            soonestFree = fullFor;
    }
    if (const auto *candidate = best(open, demand, now))
        return NeedsReservation{candidate->life()};
    // Where one has its rate left but no place, a place may become free at any moment.
    if (open.empty() && soonestFree)
        return NoEndpointInTime{*soonestFree, "all endpoints have reached their limits"};
    return NoTarget::Full;
}

/// Callers are spread over some time after the cooldown, or they would all return at its end.
Choice Balancer::whenCooled(Duration soonest, const Demand &demand)
{
    if (soonest <= demand.longestWait_)
        return NoTarget::Cooldown;
    const auto spread = std::min(longestReturnSpread, soonest / 2);
    return NoEndpointInTime{soonest + fromSeconds(toSeconds(spread) * random_.unit()),
                            "all endpoints ask to be left alone"};
}

Choice Balancer::choose(const Demand &demand, TimePoint now)
{
    if (demand.service_->engine_)
        notePrompt(demand);
    auto found = usable(demand, now);
    if (found.candidates_.empty() && isOutOfRegion(demand))
        return NoTarget::NoRegion;
    if (found.candidates_.empty())
        return found.soonestCooled_ ? whenCooled(*found.soonestCooled_, demand)
                                    : Choice(NoTarget::NoEndpoint);
    auto choice = chooseAdvised(std::move(found.candidates_), demand, now);
    if (auto *target = std::get_if<Target>(&choice))
        target->passedOver_ = found.cooling_;
    // A cooldown may end before a limit leaves room.
    const auto *none = std::get_if<NoEndpointInTime>(&choice);
    if (none != nullptr && found.soonestCooled_ && *found.soonestCooled_ < none->comeBackIn_)
        return whenCooled(*found.soonestCooled_, demand);
    return choice;
}

/// Endpoints that turned peers away come last: they may take requests from here, and are the only
/// ones at times.
Choice Balancer::chooseAdvised(std::vector<const Candidate *> candidates, const Demand &demand,
                               TimePoint now)
{
    const auto first
        = std::partition(candidates.begin(), candidates.end(), [&](const Candidate *candidate) {
              return demand.gate_ == nullptr
                     || !demand.gate_->isAdvisedAgainst(candidate->life(), now);
          });
    std::vector<const Candidate *> last(first, candidates.end());
    candidates.erase(first, candidates.end());
    if (last.empty())
        return chooseUsable(std::move(candidates), demand, now);
    if (candidates.empty())
        return chooseUsable(std::move(last), demand, now);
    auto choice = chooseUsable(std::move(candidates), demand, now);
    if (std::holds_alternative<Target>(choice) || std::holds_alternative<NeedsReservation>(choice))
        return choice;
    return chooseUsable(std::move(last), demand, now);
}

Choice Balancer::chooseUsable(std::vector<const Candidate *> candidates, const Demand &demand,
                              TimePoint now)
{
    std::vector<const Candidate *> limited;
    std::erase_if(candidates, [&](const Candidate *candidate) {
        const bool isLimited = demand.gate_ != nullptr && demand.reserved_ != candidate->life()
                               && demand.gate_->isLimited(candidate->life());
        if (isLimited)
            limited.push_back(candidate);
        return isLimited;
    });
    if (const auto *candidate = best(candidates, demand, now)) {
        const auto patience = demand.service_->engine_ ? patienceOf(*demand.service_, demand.model_,
                                                                    candidate->slowness_)
                                                       : Duration::zero();
        return Target{candidate->endpoint_, candidate->address_, patience, candidate->bornAt_};
    }
    if (limited.empty())
        return NoTarget::Full;
    const auto choice = chooseLimited(limited, demand, now);
    const bool mayFreeUp = !candidates.empty() && std::holds_alternative<NoEndpointInTime>(choice);
    return mayFreeUp ? Choice(NoTarget::Full) : choice;
}

} // namespace cardamombay::serving
