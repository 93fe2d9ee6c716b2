/// \file
/// \brief What the planner decides about a group.
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/ids.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::planning {

/// \brief What is to be done with a group slot.
enum class PlanAction {
    Wait,     ///< Nothing yet: the missing members are expected back.
    Form,     ///< Form a free slot.
    Replace,  ///< Form the slot anew in this domain, with other or with the same members.
    Move,     ///< Form the slot of a lost domain in this domain.
    Drain,    ///< Finish the requests in flight, then dissolve.
    Dissolve, ///< Dissolve at once; the group serves nothing.
};

[[nodiscard]] std::string_view nameOf(PlanAction action);

/// \brief One decision with what it was based on.
struct PlanDecision
{
    PlanAction action_ = PlanAction::Wait;
    GroupId group_;
    ServiceName service_;
    std::vector<VmId> members_; ///< By rank; for Form, Replace and Move.
    std::string reason_;        ///< Short name, such as "member-lost".
    std::vector<Alternative> alternatives_;
    std::vector<Detail> inputs_;
};

} // namespace cardamombay::planning
