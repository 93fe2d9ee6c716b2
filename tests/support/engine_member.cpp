#include "support/engine_member.hpp"

#include <algorithm>
#include <utility>

namespace cardamombay::support {

using endpoint::Assignment;
using endpoint::EndpointOrder;
using endpoint::EnginePhase;
using endpoint::OrderKind;

EngineMember::EngineMember(VmId vm, Incarnation incarnation, bool checksFencing)
    : checksFencing_(checksFencing)
{
    state_.vm_ = std::move(vm);
    state_.incarnation_ = incarnation;
}

OrderAnswer EngineMember::take(const EndpointOrder &order)
{
    const auto seen = answers_.find(order.id_);
    if (seen != answers_.end())
        return seen->second;
    OrderAnswer answer{carryOut(order), {}};
    answer.state_ = state_;
    answers_.emplace(order.id_, answer);
    return answer;
}

std::string EngineMember::carryOut(const EndpointOrder &order)
{
    if (checksFencing_ && order.fencing_ < state_.highestFencing_)
        return "stale-fencing";
    state_.highestFencing_ = std::max(state_.highestFencing_, order.fencing_);
    if (order.kind_ == OrderKind::Assign)
        return assign(order);
    if (!state_.assignment_)
        return order.kind_ == OrderKind::Release ? "" : "wrong-generation";
    const bool isOwn = state_.assignment_->group_ == order.assignment_.group_
                       && state_.assignment_->generation_ == order.assignment_.generation_;
    if (!isOwn)
        return "wrong-generation";
    if (order.kind_ == OrderKind::Drain) {
        state_.phase_ = EnginePhase::Draining;
        return "";
    }
    state_.phase_ = EnginePhase::Idle;
    state_.assignment_.reset();
    state_.model_ = {};
    return "";
}

std::string EngineMember::assign(const EndpointOrder &order)
{
    if (state_.assignment_)
        return *state_.assignment_ == order.assignment_ ? "" : "busy";
    state_.assignment_ = order.assignment_;
    state_.model_ = order.model_;
    state_.phase_ = EnginePhase::Loading;
    return "";
}

bool EngineMember::isLoading(const Assignment &assignment) const
{
    return state_.phase_ == EnginePhase::Loading && state_.assignment_ == assignment;
}

void EngineMember::finishLoading(const Assignment &assignment)
{
    if (isLoading(assignment))
        state_.phase_ = EnginePhase::Ready;
}

void EngineMember::failLoading(const Assignment &assignment)
{
    if (isLoading(assignment))
        state_.phase_ = EnginePhase::Failed;
}

void EngineMember::restart()
{
    endpoint::EndpointState fresh;
    fresh.vm_ = state_.vm_;
    fresh.incarnation_ = state_.incarnation_.next();
    state_ = std::move(fresh);
    answers_.clear();
}

} // namespace cardamombay::support
