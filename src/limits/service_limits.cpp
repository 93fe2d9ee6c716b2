#include "limits/service_limits.hpp"

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace cardamombay::limits::impl {

namespace {

constexpr double newSampleWeight = 0.01;
constexpr double allowanceSeconds = 3;
constexpr Duration outageRetryAfter = std::chrono::seconds(5);

/// A queued request is given up only if it is this much later than allowed, as estimates waver.
constexpr double hopelessFactor = 1.5;

/// \brief Slots above a share that a team may use for a time: as much as its demand wavers.
[[nodiscard]] double burst(double share)
{
    return std::sqrt(share);
}

[[nodiscard]] Duration boundedSeconds(double value)
{
    constexpr double longest = 3600;
    return fromSeconds(std::min(value, longest));
}

} // namespace

TeamLimits &ServiceLimits::team(const TeamName &name)
{
    const auto [found, isNew] = teams_.try_emplace(name);
    if (isNew) {
        found->second.name_ = name;
        found->second.share_ = shares_.of(name);
    }
    return found->second;
}

AdmissionDecision ServiceLimits::offer(const AdmissionRequest &request,
                                       const config::Service &service,
                                       const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    refresh(service, snapshot, now);
    TeamLimits &owner = team(request.team_);
    owner.offered_.add(now);
    if (isOut(now))
        return shed(request.request_, ShedReason::NoCapacity, outageRetryAfter);
    const bool hasTime = request.deadline_ - now > serviceTimeNeeded(request.isNonIdempotent_);
    if (!hasTime)
        return shed(request.request_, ShedReason::TooLate, Duration::zero());
    if (waiting_ == 0 && running_ < shares_.slots_) {
        admit(owner, now);
        return Admitted{};
    }
    return enqueue(owner, request, service, now);
}

AdmissionDecision ServiceLimits::enqueue(TeamLimits &team, const AdmissionRequest &request,
                                         const config::Service &service, TimePoint now)
{
    const QueueKey key{request.priority_, ++arrivals_};
    const auto ahead = std::distance(team.queue_.begin(), team.queue_.lower_bound(key));
    const Duration wait = expectedWait(team, static_cast<std::size_t>(ahead));
    // Estimates waver; a team that has its share already can wait for a surer place.
    const bool hasShare = team.running_ + double(team.queue_.size()) >= team.share_;
    const double margin = hasShare ? policy_.waitMargin_ : 1;
    if (double(wait.count()) > margin * double(service.queueTimeout_.count()))
        return shed(request.request_, ShedReason::TooLate, wait);
    if (request.deadline_ - now < wait + serviceTimeNeeded(request.isNonIdempotent_))
        return shed(request.request_, ShedReason::TooLate, wait);
    if (team.queue_.size() >= policy_.queueLimit_ && !makeRoom(team, request.priority_))
        return shed(request.request_, ShedReason::QueueFull, wait);

    const TimePoint expires = std::min(now + service.queueTimeout_, request.deadline_);
    team.queue_.emplace(
        key, Waiting{request.request_, request.deadline_, expires, request.isNonIdempotent_});
    expiries_.insert({expires, {team.name_, key}});
    ++waiting_;
    return Queued{wait};
}

bool ServiceLimits::makeRoom(TeamLimits &team, std::uint32_t priority)
{
    if (team.queue_.empty() || std::prev(team.queue_.end())->first.priority_ >= priority)
        return false;
    dropLast(team, ShedReason::Displaced, displaced_);
    return true;
}

void ServiceLimits::admit(TeamLimits &team, TimePoint now)
{
    ++running_;
    ++team.running_;
    team.usage_.set(now, team.running_);
}

void ServiceLimits::free(TeamLimits &team, TimePoint admittedAt, TimePoint now)
{
    --running_;
    --team.running_;
    team.usage_.set(now, team.running_);
    const double taken = toSeconds(now - admittedAt);
    ++served_;
    serviceTime_ += std::max(newSampleWeight, 1.0 / double(served_)) * (taken - serviceTime_);
}

void ServiceLimits::withdraw(TeamLimits &team, const QueueKey &key)
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
    refresh(service, snapshot, now);
    if (isOut(now)) {
        dropAll(out);
        return;
    }
    dropExpired(now, out);
    while (waiting_ > 0 && running_ < shares_.slots_) {
        TeamLimits &next = *mostBehind(now);
        const auto first = next.queue_.begin();
        out.push_back({first->second.request_, Admitted{}});
        withdraw(next, QueueKey(first->first));
        admit(next, now);
    }
    if (std::exchange(hasNewShares_, false))
        dropHopeless(now, out);
}

TeamLimits *ServiceLimits::mostBehind(TimePoint now)
{
    TeamLimits *best = nullptr;
    double bestRatio = std::numeric_limits<double>::infinity();
    for (auto &[name, candidate] : teams_) {
        if (candidate.queue_.empty())
            continue;
        // The average lets a team make up for moments without demand and keeps a share below one
        // slot honest; the count bounds what it can make up at once.
        const double share = candidate.share_;
        const bool isOver = candidate.running_ >= share + burst(share);
        const double average = candidate.usage_.average(now);
        const double used = isOver ? std::max(average, double(candidate.running_)) : average;
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
    const Rivals rivals = rivalsOf(team);
    const double turns = double(ahead + 1);
    const double share = team.share_;
    const double atRest = turns * serviceTime_ / std::max(share, rivals.slotsLeft_);
    if (team.running_ + double(ahead) >= share + burst(share))
        return boundedSeconds(atRest);
    // Below its share, a team gets every slot that comes free, in turn with others below theirs.
    const double slots = std::max(shares_.slots_, 1U);
    const double inTurn = turns * (rivals.teamsBelowShare_ + 1) * serviceTime_ / slots;
    return boundedSeconds(std::min(atRest, inTurn));
}

ServiceLimits::Rivals ServiceLimits::rivalsOf(const TeamLimits &team) const
{
    Rivals rivals;
    rivals.slotsLeft_ = double(shares_.slots_) - double(running_ - team.running_);
    if (waiting_ == team.queue_.size())
        return rivals;
    for (const auto &[name, other] : teams_) {
        if (&other == &team || other.queue_.empty())
            continue;
        const double below = other.share_ - other.running_;
        if (below <= 0)
            continue;
        rivals.slotsLeft_ -= below;
        rivals.teamsBelowShare_ += 1;
    }
    return rivals;
}

Duration ServiceLimits::serviceTimeNeeded(bool isNonIdempotent) const
{
    // A non-idempotent request that times out leaves its caller with "unknown", so it is let in
    // only with time to finish; others may still be short ones.
    constexpr double shortRequest = 0.25;
    return boundedSeconds(isNonIdempotent ? serviceTime_ : shortRequest * serviceTime_);
}

void ServiceLimits::dropExpired(TimePoint now, std::vector<Released> &out)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto [name, key] = expiries_.begin()->second;
        TeamLimits &owner = team(name);
        const RequestId request = owner.queue_.at(key).request_;
        const Duration wait = expectedWait(owner, owner.queue_.size());
        withdraw(owner, key);
        out.push_back({request, shed(request, ShedReason::QueueTimeout, wait)});
    }
}

void ServiceLimits::dropHopeless(TimePoint now, std::vector<Released> &out)
{
    for (auto &[name, owner] : teams_) {
        while (!owner.queue_.empty()) {
            const Waiting &last = std::prev(owner.queue_.end())->second;
            const Duration wait = expectedWait(owner, owner.queue_.size() - 1);
            if (double(wait.count()) <= hopelessFactor * double((last.expires_ - now).count()))
                break;
            dropLast(owner, ShedReason::TooLate, out);
        }
    }
}

void ServiceLimits::dropAll(std::vector<Released> &out)
{
    for (auto &[name, owner] : teams_) {
        while (!owner.queue_.empty())
            dropLast(owner, ShedReason::NoCapacity, out);
    }
}

void ServiceLimits::dropLast(TeamLimits &team, ShedReason reason, std::vector<Released> &out)
{
    const auto last = std::prev(team.queue_.end());
    const RequestId request = last->second.request_;
    const Duration wait = expectedWait(team, team.queue_.size() - 1);
    withdraw(team, QueueKey(last->first));
    out.push_back({request, shed(request, reason, wait)});
}

Shed ServiceLimits::shed(const RequestId &request, ShedReason reason, Duration wait) const
{
    // Callers that are refused together must not come back together.
    const double spread = 0.5 + double(stableHash(request.text()) >> 11) * 0x1p-53;
    const double spreadWait = spread * double(wait.count());
    const Duration retryAfter{static_cast<Duration::rep>(spreadWait)};
    return Shed{reason,
                std::clamp(retryAfter, policy_.minimumRetryAfter_, policy_.maximumRetryAfter_)};
}

bool ServiceLimits::isOut(TimePoint now) const
{
    return shares_.capacity_ == 0 && now - servedAt_ >= policy_.outageGrace_;
}

void ServiceLimits::refresh(const config::Service &service,
                            const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    const bool isCurrent = sharesAt_ && sharesOf_ == snapshot.sequence_ && snapshot.sequence_ != 0
                           && now - *sharesAt_ < policy_.shareLife_;
    if (isCurrent)
        return;
    const std::uint32_t capacity = servingCapacity(snapshot, service, now);
    const auto own = ownDemand(snapshot.peerDemand_.empty(), now);
    shares_ = divideCapacity(snapshot, name_, capacity, own, policy_);
    reduceSlots(allowanceByReports(snapshot, name_, now), now);
    for (auto &[name, owner] : teams_)
        owner.share_ = shares_.of(name);
    sharesOf_ = snapshot.sequence_;
    sharesAt_ = now;
    if (capacity > 0)
        servedAt_ = now;
    hasNewShares_ = true;
}

void ServiceLimits::reduceSlots(double allowance, TimePoint now)
{
    // Smoothed, as the reports lag: the slots would swing between all and few.
    const double passed = sharesAt_ ? toSeconds(now - *sharesAt_) : 0;
    allowance_ += (allowance - allowance_) * std::min(passed / allowanceSeconds, 1.0);
    shares_.reduce(allowance_);
}

std::vector<OwnDemand> ServiceLimits::ownDemand(bool isAlone, TimePoint now) const
{
    std::vector<OwnDemand> own;
    own.reserve(teams_.size());
    for (const auto &[name, owner] : teams_)
        own.push_back({name, isAlone ? liveDemand(owner, now) : owner.heard_});
    return own;
}

double ServiceLimits::liveDemand(const TeamLimits &team, TimePoint now) const
{
    // What is refused counts too, or an entry VM with a small share would never show that it
    // needs a larger one: offered rate times service time is the slots it would fill.
    const double present = double(team.running_) + double(team.queue_.size());
    return std::max(present, std::ceil(team.offered_.perSecond(now) * serviceTime_));
}

void ServiceLimits::reportDemand(TimePoint now, std::vector<routing::DemandReport> &out)
{
    for (auto &[name, owner] : teams_) {
        // Peers divide by what they heard last, which is what was said before this.
        owner.heard_ = owner.digested_;
        owner.digested_ = liveDemand(owner, now);
        if (owner.digested_ <= 0)
            continue;
        const auto total = static_cast<std::uint32_t>(owner.digested_);
        out.push_back({name_, name, owner.running_, total - owner.running_});
    }
}

TimePoint ServiceLimits::nextWake() const
{
    if (!displaced_.empty())
        return TimePoint{};
    if (expiries_.empty() || !sharesAt_)
        return TimePoint::max();
    return std::min(expiries_.begin()->first, *sharesAt_ + policy_.shareLife_);
}

} // namespace cardamombay::limits::impl
