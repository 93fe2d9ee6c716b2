/// \file
/// \brief State machine of one formation of a group.
/// \details Runs charts/group.toml, which derives the phase of a formation from events. It enforces
/// that no incomplete group serves: a lost or mismatched member ends the phase Serving. It sends no
/// orders and writes no rows.
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

/// \brief charts/group.toml bound to its actions; shared by all groups of a process.
using GroupProgramPtr = chart::ProgramPtr<GroupStateMachine>;

/// \brief State that the members of a group are to be ordered into.
enum class MemberTarget { Nothing, Assigned, Drained };

/// \brief Phase of one formation of a group, and the target state of its members.
class GroupStateMachine
{
public:
    GroupStateMachine(GroupRow row, GroupProgramPtr program, DecisionSink &decisions,
                      TimePoint now);

    /// \brief Binds the actions to \p chart, which is read from charts/group.toml.
    [[nodiscard]] static Result<GroupProgramPtr> bind(const chart::Chart &chart);

    /// \brief Handles a chart event that occurred at \p now.
    void handle(std::string_view event, TimePoint now);

    /// \brief Replaces the row by a newer one of the same formation.
    void setRow(GroupRow row) { row_ = std::move(row); }

    [[nodiscard]] const GroupRow &row() const { return row_; }
    [[nodiscard]] GroupPhase phase() const;
    [[nodiscard]] TimePoint phaseSince() const { return phaseSince_; }
    [[nodiscard]] MemberTarget target() const { return target_; }
    /// \brief Start of the last verification; only replies to later probes count for it.
    [[nodiscard]] TimePoint verifyingSince() const { return verifyingSince_; }
    /// \brief Reason of the last change to Degraded; for status pages.
    [[nodiscard]] const std::string &cause() const { return cause_; }
    void setCause(std::string cause) { cause_ = std::move(cause); }

private:
    void record(const char *event, std::string choice);

    GroupRow row_;
    chart::Machine<GroupStateMachine> machine_;
    DecisionSink &decisions_;
    TimePoint now_{};
    TimePoint phaseSince_{};
    TimePoint verifyingSince_{};
    MemberTarget target_ = MemberTarget::Nothing;
    std::string cause_;
};

} // namespace cardamombay::groups
