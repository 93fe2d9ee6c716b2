/// \file
/// \brief Runs a chart: holds the state and handles events.
/// \details Decides which transition an event takes, from the chart alone; code holds no second
/// copy of the transitions. It has no clock and does no I/O; actions do what the object that owns
/// the machine binds to them.
#pragma once

#include <cardamombay/chart/binding.hpp>

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamombay::chart {

/// \brief What became of an event.
enum class Handled {
    Taken,   ///< A transition was taken.
    Ignored, ///< The state drops the event, or is final.
    Queued,  ///< Raised by an action; it runs once the present event is done.
    Unknown  ///< No such event; nothing happened.
};

/// \brief One state machine; a small value that can be copied and moved with its owner.
/// \details An event that an action raises runs after the present one. Not safe for use by
/// several threads.
/// \code
/// chart::Machine<Circuit> machine(program);
/// machine.handle(*this, "failure");
/// if (machine.isIn("open"))
///     refuse();
/// \endcode
template<typename Context>
class Machine
{
public:
    explicit Machine(ProgramPtr<Context> program)
        : program_(std::move(program))
        , state_(program_->table_.initial_)
    {
    }

    /// \brief Name of the present state.
    [[nodiscard]] std::string_view state() const { return program_->table_.states_[state_]; }
    [[nodiscard]] bool isIn(std::string_view name) const { return state() == name; }
    [[nodiscard]] bool isFinal() const { return program_->table_.finals_[state_]; }

    /// \brief Handles \p event.
    /// \param context data that guards and actions work on.
    /// \param event name of the event.
    Handled handle(Context &context, std::string_view event)
    {
        const auto index = program_->table_.eventIndex(event);
        if (index == TransitionTable::none)
            return Handled::Unknown;
        if (isRunning_) {
            queue_.push_back(index);
            return Handled::Queued;
        }
        isRunning_ = true;
        const Handled handled = take(context, index);
        while (!queue_.empty()) {
            const auto next = queue_.front();
            queue_.erase(queue_.begin());
            take(context, next);
        }
        isRunning_ = false;
        return handled;
    }

private:
    Handled take(Context &context, std::uint32_t event)
    {
        for (const auto &step : program_->table_.steps(state_, event)) {
            if (!holds(context, step))
                continue;
            state_ = step.to_;
            for (const auto action : step.actions_)
                program_->binding_.actions()[action](context);
            return Handled::Taken;
        }
        return Handled::Ignored;
    }

    bool holds(const Context &context, const TransitionTable::Step &step) const
    {
        if (step.guard_ == TransitionTable::none)
            return true;
        return program_->binding_.guards()[step.guard_](context) != step.isGuardNegated_;
    }

    ProgramPtr<Context> program_;
    std::uint32_t state_;
    bool isRunning_ = false;
    std::vector<std::uint32_t> queue_;
};

} // namespace cardamombay::chart
