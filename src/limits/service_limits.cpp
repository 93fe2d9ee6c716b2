#include "limits/service_limits.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace cardamombay::limits::impl {

namespace {

constexpr double minimumSampleWeight = 0.01;
constexpr double allowanceTimeConstantSeconds = 3;
constexpr Duration outageRetryAfter = std::chrono::seconds(5);

/// Queued requests are dropped early only if their expected wait exceeds the time left by this
/// factor, since the estimate fluctuates.
constexpr double lateDropFactor = 1.5;

/// \brief Slots above its share that a team may use for a short time: the square root of the share,
/// as random demand fluctuates by about that much.
[[nodiscard]] double burstAllowance(double share)
{
    return std::sqrt(share);
}

[[nodiscard]] Duration clampedSeconds(double value)
{
    constexpr double maximumSeconds = 3600;
    return fromSeconds(std::min(value, maximumSeconds));
}

} // namespace

TeamLimits &ServiceLimits::team(const TeamName &name)
{
    const auto [found, isNew] = teams_.try_emplace(name);
    if (isNew) {
        found->second.name_ = name;
        found->second.share_ = shares_.shareOf(name);
    }
    return found->second;
}

AdmissionDecision ServiceLimits::offer(const AdmissionRequest &request,
                                       const config::Service &service,
                                       const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    updateShares(service, snapshot, now);
    TeamLimits &teamLimits = team(request.team_);
    teamLimits.offeredRate_.add(now);
    if (hasOutage(now))
        return shed(request.request_, ShedReason::NoCapacity, outageRetryAfter);
    const bool hasTime = request.deadline_ - now > serviceTimeNeeded(request.isNonIdempotent_);
    if (!hasTime)
        return shed(request.request_, ShedReason::TooLate, Duration::zero());
    if (waiting_ == 0 && running_ < shares_.slots_) {
        admit(teamLimits, now);
        return Admitted{};
    }
    return enqueue(teamLimits, request, service, now);
}

AdmissionDecision ServiceLimits::enqueue(TeamLimits &team, const AdmissionRequest &request,
                                         const config::Service &service, TimePoint now)
{
    const QueueKey key{request.priority_, ++arrivalCount_};
    const auto ahead = std::distance(team.queue_.begin(), team.queue_.lower_bound(key));
    const Duration wait = expectedWait(team, static_cast<std::size_t>(ahead));
    // The estimate fluctuates, so a team that already has its share is queued only with a margin.
    const bool hasShare = team.running_ + double(team.queue_.size()) >= team.share_;
    const double margin = hasShare ? policy_.maximumWaitFraction_ : 1;
    if (double(wait.count()) > margin * double(service.queueTimeout_.count()))
        return shed(request.request_, ShedReason::TooLate, wait);
    if (request.deadline_ - now < wait + serviceTimeNeeded(request.isNonIdempotent_))
        return shed(request.request_, ShedReason::TooLate, wait);
    if (team.queue_.size() >= policy_.queueLimit_ && !evictLowestPriority(team, request.priority_))
        return shed(request.request_, ShedReason::QueueFull, wait);

    const TimePoint expires = std::min(now + service.queueTimeout_, request.deadline_);
    team.queue_.emplace(
        key, QueuedRequest{request.request_, request.deadline_, expires, request.isNonIdempotent_});
    expiries_.insert({expires, {team.name_, key}});
    ++waiting_;
    return Queued{wait};
}

bool ServiceLimits::evictLowestPriority(TeamLimits &team, std::uint32_t priority)
{
    if (team.queue_.empty() || std::prev(team.queue_.end())->first.priority_ >= priority)
        return false;
    dropLastQueued(team, ShedReason::Displaced, displaced_);
    return true;
}

void ServiceLimits::admit(TeamLimits &team, TimePoint now)
{
    ++running_;
    ++team.running_;
    team.averageRunning_.set(now, team.running_);
}

void ServiceLimits::releaseSlot(TeamLimits &team, TimePoint admittedAt, TimePoint now)
{
    --running_;
    --team.running_;
    team.averageRunning_.set(now, team.running_);
    const double serviceSeconds = toSeconds(now - admittedAt);
    ++completedCount_;
    meanServiceSeconds_ += std::max(minimumSampleWeight, 1.0 / double(completedCount_))
                           * (serviceSeconds - meanServiceSeconds_);
}

void ServiceLimits::removeFromQueue(TeamLimits &team, const QueueKey &key)
{
    const auto found = team.queue_.find(key);
    if (found == team.queue_.end())
        return;
    expiries_.erase({found->second.expires_, {team.name_, key}});
    team.queue_.erase(found);
    --waiting_;
}

void ServiceLimits::release(const config::Service &service,
                            const routing::RoutingSnapshot &snapshot, TimePoint now,
                            std::vector<Released> &out)
{
    std::move(displaced_.begin(), displaced_.end(), std::back_inserter(out));
    displaced_.clear();
    if (waiting_ == 0)
        return;
    updateShares(service, snapshot, now);
    if (hasOutage(now)) {
        dropAll(out);
        return;
    }
    dropExpired(now, out);
    while (waiting_ > 0 && running_ < shares_.slots_) {
        TeamLimits &next = *mostUnderservedTeam(now);
        const auto first = next.queue_.begin();
        out.push_back({first->second.request_, Admitted{}});
        removeFromQueue(next, QueueKey(first->first));
        admit(next, now);
    }
    if (std::exchange(hasNewShares_, false))
        dropLateRequests(now, out);
}

TeamLimits *ServiceLimits::mostUnderservedTeam(TimePoint now)
{
    TeamLimits *best = nullptr;
    double bestRatio = std::numeric_limits<double>::infinity();
    for (auto &[name, candidate] : teams_) {
        if (candidate.queue_.empty())
            continue;
        // The average lets a team catch up after a pause in its demand and makes shares below one
        // slot work; above the burst allowance the current count limits the catching up.
        const double share = candidate.share_;
        const bool exceedsBurst = candidate.running_ >= share + burstAllowance(share);
        const double average = candidate.averageRunning_.average(now);
        const double used = exceedsBurst ? std::max(average, double(candidate.running_)) : average;
        const double ratio = used / share;
        const bool isBetter
            = !best || ratio < bestRatio || (ratio == bestRatio && name < best->name_);
        if (!isBetter)
            continue;
        best = &candidate;
        bestRatio = ratio;
    }
    return best;
}

Duration ServiceLimits::expectedWait(const TeamLimits &team, std::size_t ahead) const
{
    const Contention contention = contentionFor(team);
    const double queuePosition = double(ahead + 1);
    const double share = team.share_;
    const double waitAtShare
        = queuePosition * meanServiceSeconds_ / std::max(share, contention.slotsLeft_);
    if (team.running_ + double(ahead) >= share + burstAllowance(share))
        return clampedSeconds(waitAtShare);
    // A team below its share gets every free slot, in turn with other teams below theirs.
    const double slots = std::max(shares_.slots_, 1U);
    const double waitBelowShare
        = queuePosition * (contention.teamsBelowShare_ + 1) * meanServiceSeconds_ / slots;
    return clampedSeconds(std::min(waitAtShare, waitBelowShare));
}

ServiceLimits::Contention ServiceLimits::contentionFor(const TeamLimits &team) const
{
    Contention contention;
    contention.slotsLeft_ = double(shares_.slots_) - double(running_ - team.running_);
    if (waiting_ == team.queue_.size())
        return contention;
    for (const auto &[name, other] : teams_) {
        if (&other == &team || other.queue_.empty())
            continue;
        const double deficit = other.share_ - other.running_;
        if (deficit <= 0)
            continue;
        contention.slotsLeft_ -= deficit;
        contention.teamsBelowShare_ += 1;
    }
    return contention;
}

Duration ServiceLimits::serviceTimeNeeded(bool isNonIdempotent) const
{
    // A non-idempotent request that times out has an unknown outcome, so it is admitted only with
    // the mean service time left. Others may be shorter than the mean.
    constexpr double shortRequest = 0.25;
    return clampedSeconds(isNonIdempotent ? meanServiceSeconds_
                                          : shortRequest * meanServiceSeconds_);
}

void ServiceLimits::dropExpired(TimePoint now, std::vector<Released> &out)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto [name, key] = expiries_.begin()->second;
        TeamLimits &teamLimits = team(name);
        const RequestId request = teamLimits.queue_.at(key).request_;
        const Duration wait = expectedWait(teamLimits, teamLimits.queue_.size());
        removeFromQueue(teamLimits, key);
        out.push_back({request, shed(request, ShedReason::QueueTimeout, wait)});
    }
}

void ServiceLimits::dropLateRequests(TimePoint now, std::vector<Released> &out)
{
    for (auto &[name, teamLimits] : teams_) {
        while (!teamLimits.queue_.empty()) {
            const QueuedRequest &last = std::prev(teamLimits.queue_.end())->second;
            const Duration wait = expectedWait(teamLimits, teamLimits.queue_.size() - 1);
            if (double(wait.count()) <= lateDropFactor * double((last.expires_ - now).count()))
                break;
            dropLastQueued(teamLimits, ShedReason::TooLate, out);
        }
    }
}

void ServiceLimits::dropAll(std::vector<Released> &out)
{
    for (auto &[name, teamLimits] : teams_) {
        while (!teamLimits.queue_.empty())
            dropLastQueued(teamLimits, ShedReason::NoCapacity, out);
    }
}

void ServiceLimits::dropLastQueued(TeamLimits &team, ShedReason reason, std::vector<Released> &out)
{
    const auto last = std::prev(team.queue_.end());
    const RequestId request = last->second.request_;
    const Duration wait = expectedWait(team, team.queue_.size() - 1);
    removeFromQueue(team, QueueKey(last->first));
    out.push_back({request, shed(request, reason, wait)});
}

Shed ServiceLimits::shed(const RequestId &request, ShedReason reason, Duration wait) const
{
    // The jitter keeps callers that are refused at the same time from retrying at the same time.
    const double jitter = 0.5 + double(stableHash(request.text()) >> 11) * 0x1p-53;
    const double jitteredWait = jitter * double(wait.count());
    const Duration retryAfter{static_cast<Duration::rep>(jitteredWait)};
    return Shed{reason,
                std::clamp(retryAfter, policy_.minimumRetryAfter_, policy_.maximumRetryAfter_)};
}

bool ServiceLimits::hasOutage(TimePoint now) const
{
    return shares_.capacity_ == 0 && now - lastCapacityAt_ >= policy_.outageGrace_;
}

void ServiceLimits::updateShares(const config::Service &service,
                                 const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    const bool isCurrent = sharesUpdatedAt_ && sharesSequence_ == snapshot.sequence_
                           && snapshot.sequence_ != 0
                           && now - *sharesUpdatedAt_ < policy_.shareMaxAge_;
    if (isCurrent)
        return;
    const std::uint32_t capacity = servingCapacity(snapshot, service, now);
    const auto demands = localDemand(snapshot.peerDemand_.empty(), now);
    shares_ = divideCapacity(snapshot, name_, capacity, demands, policy_);
    applyLoadAllowance(reportedLoadAllowance(snapshot, name_, now), now);
    for (auto &[name, teamLimits] : teams_)
        teamLimits.share_ = shares_.shareOf(name);
    sharesSequence_ = snapshot.sequence_;
    sharesUpdatedAt_ = now;
    if (capacity > 0)
        lastCapacityAt_ = now;
    hasNewShares_ = true;
}

void ServiceLimits::applyLoadAllowance(double allowance, TimePoint now)
{
    // Smoothed, since reports lag: otherwise the slots would oscillate between all and few.
    const double elapsedSeconds = sharesUpdatedAt_ ? toSeconds(now - *sharesUpdatedAt_) : 0;
    loadAllowance_ += (allowance - loadAllowance_)
                      * std::min(elapsedSeconds / allowanceTimeConstantSeconds, 1.0);
    shares_.scale(loadAllowance_);
}

std::vector<LocalDemand> ServiceLimits::localDemand(bool hasNoPeers, TimePoint now) const
{
    std::vector<LocalDemand> demands;
    demands.reserve(teams_.size());
    for (const auto &[name, teamLimits] : teams_)
        demands.push_back(
            {name, hasNoPeers ? currentDemand(teamLimits, now) : teamLimits.knownToPeers_});
    return demands;
}

double ServiceLimits::currentDemand(const TeamLimits &team, TimePoint now) const
{
    // Refused requests count too, or an entry VM with a small share could not show that it needs a
    // larger one. By Little's law, offered rate times service time is the number of slots needed.
    const double present = double(team.running_) + double(team.queue_.size());
    return std::max(present, std::ceil(team.offeredRate_.perSecond(now) * meanServiceSeconds_));
}

void ServiceLimits::reportDemand(TimePoint now, std::vector<routing::DemandReport> &out)
{
    for (auto &[name, teamLimits] : teams_) {
        // Peers compute shares from the digest they received last, which is the previous one.
        teamLimits.knownToPeers_ = teamLimits.lastReported_;
        teamLimits.lastReported_ = currentDemand(teamLimits, now);
        if (teamLimits.lastReported_ <= 0)
            continue;
        const auto total = static_cast<std::uint32_t>(teamLimits.lastReported_);
        out.push_back({name_, name, teamLimits.running_, total - teamLimits.running_});
    }
}

TimePoint ServiceLimits::nextWake() const
{
    if (!displaced_.empty())
        return TimePoint{};
    if (expiries_.empty() || !sharesUpdatedAt_)
        return TimePoint::max();
    return std::min(expiries_.begin()->first, *sharesUpdatedAt_ + policy_.shareMaxAge_);
}

} // namespace cardamombay::limits::impl
