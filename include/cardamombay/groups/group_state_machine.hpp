/// \file
/// \brief The state machine of one formation of a group.
/// \details Decides the phase of a formation from events, by charts/group.toml. It guards the
/// promise that no incomplete group serves: a lost or contradicting member ends the phase Serving.
/// It gives no orders and writes no rows.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/groups/group_row.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace cardamombay::groups {

class GroupStateMachine;

/// \brief charts/group.toml with its code; made once and shared by all groups of a process.
using GroupProgramPtr = chart::ProgramPtr<GroupStateMachine>;

/// \brief What the members of a group are to be brought to.
enum class MemberTarget { Nothing, Assigned, Drained };

/// \brief One formation of a group; holds the phase, gives no orders.
class GroupStateMachine
{
public:
    GroupStateMachine(GroupRow row, GroupProgramPtr program, DecisionSink &decisions,
                      TimePoint now);

    /// \brief Joins \p chart, read from charts/group.toml, with the code.
    [[nodiscard]] static Result<GroupProgramPtr> bind(const chart::Chart &chart);

    /// \brief Handles an event of the chart at \p now.
    void handle(std::string_view event, TimePoint now);

    /// \brief Takes over a newer row of the same formation.
    void setRow(GroupRow row) { row_ = std::move(row); }

    [[nodiscard]] const GroupRow &row() const { return row_; }
    [[nodiscard]] GroupPhase phase() const;
    [[nodiscard]] TimePoint phaseSince() const { return phaseSince_; }
    [[nodiscard]] MemberTarget target() const { return target_; }
    /// \brief Instant since which members have been asked to confirm their state.
    [[nodiscard]] TimePoint askedSince() const { return askedSince_; }
    /// \brief Why the group degraded last; for status pages.
    [[nodiscard]] const std::string &cause() const { return cause_; }
    void setCause(std::string cause) { cause_ = std::move(cause); }

private:
    void record(const char *event, std::string choice);

    GroupRow row_;
    chart::Machine<GroupStateMachine> machine_;
    DecisionSink &decisions_;
    TimePoint now_{};
    TimePoint phaseSince_{};
    TimePoint askedSince_{};
    MemberTarget target_ = MemberTarget::Nothing;
    std::string cause_;
};

} // namespace cardamombay::groups
