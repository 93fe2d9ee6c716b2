#include "limits/service_limits.hpp"

#include <cardamombay/limits/admission.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace cardamombay::limits {

std::string_view nameOf(ShedReason reason)
{
    switch (reason) {
    case ShedReason::UnknownService:
        return "unknown-service";
    case ShedReason::NoCapacity:
        return "no-capacity";
    case ShedReason::QueueFull:
        return "queue-full";
    case ShedReason::TooLate:
        return "too-late";
    case ShedReason::QueueTimeout:
        return "queue-timeout";
    case ShedReason::Displaced:
        return "displaced";
    }
    return "no-capacity";
}

namespace impl {

/// \brief An admitted or queued request.
struct TrackedRequest
{
    ServiceLimits *service_ = nullptr;
    TeamLimits *team_ = nullptr;
    std::optional<QueueKey> waiting_; ///< Set while the request is queued.
    TimePoint admittedAt_{};
};

class AdmissionState
{
public:
    explicit AdmissionState(LimitsPolicy policy)
        : policy_(policy)
    {
    }

    LimitsPolicy policy_;
    std::unordered_map<ServiceName, ServiceLimits> services_;
    std::unordered_map<RequestId, TrackedRequest> requests_;

    ServiceLimits &service(const ServiceName &name)
    {
        return services_.try_emplace(name, name, policy_).first->second;
    }
};

} // namespace impl

Admission::Admission(LimitsPolicy policy)
    : state_(std::make_unique<impl::AdmissionState>(policy))
{
}

Admission::~Admission() = default;

AdmissionDecision Admission::offer(const AdmissionRequest &request,
                                   const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    const config::Service *declared
        = snapshot.configuration_ ? snapshot.configuration_->service(request.service_) : nullptr;
    if (!declared)
        return Shed{ShedReason::UnknownService, state_->policy_.minimumRetryAfter_};
    impl::ServiceLimits &service = state_->service(request.service_);
    AdmissionDecision decision = service.offer(request, *declared, snapshot, now);
    if (std::holds_alternative<Shed>(decision))
        return decision;
    impl::TrackedRequest tracked{&service, &service.team(request.team_), std::nullopt, now};
    if (std::holds_alternative<Queued>(decision))
        tracked.waiting_ = impl::QueueKey{request.priority_, service.lastArrival()};
    state_->requests_.insert_or_assign(request.request_, tracked);
    return decision;
}

void Admission::finished(const RequestId &request, TimePoint now)
{
    const auto found = state_->requests_.find(request);
    if (found == state_->requests_.end())
        return;
    const impl::TrackedRequest tracked = found->second;
    state_->requests_.erase(found);
    if (tracked.waiting_)
        tracked.service_->removeFromQueue(*tracked.team_, *tracked.waiting_);
    else
        tracked.service_->releaseSlot(*tracked.team_, tracked.admittedAt_, now);
}

std::vector<Released> Admission::release(const routing::RoutingSnapshot &snapshot, TimePoint now)
{
    std::vector<Released> released;
    for (auto &[name, service] : state_->services_) {
        const config::Service *declared
            = snapshot.configuration_ ? snapshot.configuration_->service(name) : nullptr;
        // A service removed from the configuration has no capacity, so its queue is refused.
        config::Service removed;
        removed.name_ = name;
        service.release(declared ? *declared : removed, snapshot, now, released);
    }
    for (const Released &answer : released) {
        const auto found = state_->requests_.find(answer.request_);
        if (found == state_->requests_.end())
            continue;
        if (std::holds_alternative<Shed>(answer.answer_)) {
            state_->requests_.erase(found);
            continue;
        }
        found->second.waiting_.reset();
        found->second.admittedAt_ = now;
    }
    return released;
}

TimePoint Admission::nextWake() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[name, service] : state_->services_)
        next = std::min(next, service.nextWake());
    return next;
}

std::vector<routing::DemandReport> Admission::demand(TimePoint now)
{
    std::vector<routing::DemandReport> reports;
    for (auto &[name, service] : state_->services_)
        service.reportDemand(now, reports);
    return reports;
}

DecisionRecord Admission::record(const AdmissionRequest &request, const Shed &answer,
                                 TimePoint now) const
{
    DecisionRecord record;
    record.when_ = now;
    record.event_ = "request-shed";
    record.subject_ = request.request_.text();
    record.choice_ = nameOf(answer.reason_);
    const ServiceLoad slots = load(request.service_);
    const auto add = [&record](const char *key, std::string value) {
        record.inputs_.push_back({key, std::move(value)});
    };
    add("service", request.service_.text());
    add("team", request.team_.text());
    add("priority", std::to_string(request.priority_));
    add("capacity", std::to_string(slots.capacity_));
    add("share", std::to_string(slots.share_));
    add("running", std::to_string(slots.running_));
    add("waiting", std::to_string(slots.waiting_));
    add("retry_after_ms", std::to_string(toMilliseconds(answer.retryAfter_)));
    return record;
}

ServiceLoad Admission::load(const ServiceName &service) const
{
    const auto found = state_->services_.find(service);
    if (found == state_->services_.end())
        return {};
    const impl::ServiceLimits &limits = found->second;
    return {limits.shares().capacity_, limits.shares().slots_, limits.running(), limits.waiting()};
}

} // namespace cardamombay::limits
