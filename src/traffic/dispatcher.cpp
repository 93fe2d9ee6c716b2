#include <cardamombay/traffic/dispatcher.hpp>

#include <utility>

namespace cardamombay::traffic {

namespace {

constexpr std::uint32_t recordsPerSecond = 50; ///< Requests of each kind.

} // namespace

Dispatcher::Dispatcher(std::uint64_t seed, retries::CircuitBreakerProgramPtr circuits,
                       const DispatchPolicy &policy)
    : admission_(policy.limits_)
    , router_(seed, policy.router_)
    , retries_(seed, policy.retries_)
    , circuits_(std::move(circuits), policy.circuits_, seed)
    , digestEvery_(policy.digestEvery_)
{
}

limits::AdmissionDecision Dispatcher::offer(const limits::AdmissionRequest &request,
                                            const routing::RoutingSnapshot &snapshot, TimePoint now,
                                            AdmissionCallback answered)
{
    const std::lock_guard lock(mutex_);
    auto decision = admission_.offer(request, snapshot, now);
    if (std::holds_alternative<limits::Queued>(decision))
        waiting_.emplace(request.request_, std::move(answered));
    return decision;
}

void Dispatcher::finished(const RequestId &request, const routing::RoutingSnapshot &snapshot,
                          TimePoint now)
{
    std::vector<PendingAnswer> answers;
    {
        const std::lock_guard lock(mutex_);
        admission_.finished(request, now);
        waiting_.erase(request);
        answers = takeReleased(snapshot, now);
    }
    for (auto &pending : answers)
        pending.answered_(pending.answer_);
}

void Dispatcher::releaseWaiting(const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    std::vector<PendingAnswer> answers;
    {
        const std::lock_guard lock(mutex_);
        const bool isNew = snapshot.sequence_ == 0 || snapshot.sequence_ != releasedFor_;
        if (waiting_.empty() || (!isNew && now < admission_.nextWake()))
            return;
        releasedFor_ = snapshot.sequence_;
        answers = takeReleased(snapshot, now);
    }
    for (auto &pending : answers)
        pending.answered_(pending.answer_);
}

std::vector<Dispatcher::PendingAnswer>
Dispatcher::takeReleased(const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    std::vector<PendingAnswer> answers;
    if (waiting_.empty())
        return answers;
    for (auto &released : admission_.release(snapshot, now)) {
        auto waiting = waiting_.extract(released.request_);
        if (!waiting.empty())
            answers.push_back({std::move(waiting.mapped()), released.answer_});
    }
    return answers;
}

RouteChoice Dispatcher::startAttempt(const routing::RoutingSnapshot &snapshot,
                                     const RouteQuery &query, TimePoint now)
{
    std::unique_lock lock(mutex_);
    const auto decision = choose(snapshot, query, now);
    if (decision.group_ != nullptr) {
        router_.started(decision.group_->group_, query.prefixHashes_, now);
        circuits_.started(decision.group_->group_, now);
    }
    lock.unlock();
    routing::RouteRequest request;
    request.service_ = query.service_;
    request.prefixHashes_ = query.prefixHashes_;
    RouteChoice choice;
    choice.reason_ = decision.reason_;
    choice.record_ = decision.record(request, std::string(query.subject_), now);
    if (decision.group_ != nullptr)
        choice.group_ = *decision.group_;
    return choice;
}

routing::RouteDecision Dispatcher::choose(const routing::RoutingSnapshot &snapshot,
                                          const RouteQuery &query, TimePoint now)
{
    const auto blocked = circuits_.blocked(now);
    std::vector<GroupId> excluded(blocked.begin(), blocked.end());
    excluded.insert(excluded.end(), query.tried_.begin(), query.tried_.end());
    routing::RouteRequest request;
    request.service_ = query.service_;
    request.prefixHashes_ = query.prefixHashes_;
    request.requiredModel_ = query.requiredModel_;
    request.excluded_ = excluded;
    auto decision = router_.choose(snapshot, request, now);
    if (decision.reason_ != routing::RouteReason::AllExcluded || query.tried_.empty())
        return decision;
    request.excluded_ = blocked;
    return router_.choose(snapshot, request, now);
}

void Dispatcher::attemptAnswered(const GroupId &group, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    circuits_.succeeded(group, now);
}

void Dispatcher::finishAttempt(const GroupId &group, GroupResult result, const AttemptTimes &times,
                               TimePoint now)
{
    const std::lock_guard lock(mutex_);
    const bool isOk = result != GroupResult::Failed;
    router_.finished(group, {times.timeToFirstToken_, isOk, times.timePerToken_}, now);
    switch (result) {
    case GroupResult::Succeeded:
        circuits_.succeeded(group, now);
        break;
    case GroupResult::Failed:
        circuits_.failed(group, now);
        break;
    case GroupResult::Abandoned:
        circuits_.abandoned(group, now);
        break;
    }
}

void Dispatcher::freshRequest(const ServiceName &service, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    retries_.freshRequest(service, now);
}

retries::RetryDecision Dispatcher::retry(const retries::FailedAttempt &attempt, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    return retries_.decide(attempt, now);
}

limits::ServiceLoad Dispatcher::load(const ServiceName &service)
{
    const std::lock_guard lock(mutex_);
    return admission_.load(service);
}

bool Dispatcher::mayRecord(RecordKind kind, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    if (now - recordPeriod_ >= std::chrono::seconds(1)) {
        recordPeriod_ = now;
        records_ = {};
    }
    return records_.at(static_cast<std::size_t>(kind))++ < recordsPerSecond;
}

TrafficReport Dispatcher::report(const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    const std::lock_guard lock(mutex_);
    TrafficReport report;
    if (!demandAt_ || now - *demandAt_ >= digestEvery_) {
        demandAt_ = now;
        demand_ = admission_.demand(now);
        releasedFor_ = 0; // The own share may have grown with it.
    }
    report.demand_ = demand_;
    for (const auto &service : snapshot.services_) {
        for (const auto &group : service.groups_) {
            if (const auto inFlight = router_.inFlight(group.group_))
                report.inFlight_.push_back({group.group_, inFlight});
        }
    }
    return report;
}

} // namespace cardamombay::traffic
