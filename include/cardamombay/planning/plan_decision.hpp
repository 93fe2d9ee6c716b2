/// \file
/// \brief Decision of the planner about a group slot.
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/ids.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::planning {

/// \brief Action on a group slot.
enum class PlanAction {
    Wait,     ///< Do nothing yet; the lost members are expected to return.
    Form,     ///< Form a free slot.
    Replace,  ///< Form the slot again in this domain, with new or with the same members.
    Move,     ///< Form the slot of a lost domain in this domain.
    Drain,    ///< Let the requests in flight finish, then dissolve the group.
    Dissolve, ///< Dissolve a group that is not serving, without draining it.
};

[[nodiscard]] std::string_view nameOf(PlanAction action);

/// \brief A decision, with the alternatives and inputs it was based on.
struct PlanDecision
{
    PlanAction action_ = PlanAction::Wait;
    GroupId group_;
    ServiceName service_;
    std::vector<VmId> members_; ///< In order of rank; for Form, Replace and Move.
    std::string reason_;        ///< Reason code such as "member-lost".
    std::vector<Alternative> alternatives_;
    std::vector<Detail> inputs_;
};

} // namespace cardamombay::planning
