/// \file
/// \brief Ties the names of a chart to code and checks that both sides know the same names.
/// \details Decides whether chart and code fit together, once at start: a guard or an action that
/// only one side knows is an error with file, line and remedy. It runs nothing.
#pragma once

#include <cardamombay/chart/chart.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamombay::chart {

/// \brief Names that code knows of a chart.
struct BoundNames
{
    std::vector<std::string> states_; ///< States that code asks about; the chart may have more.
    std::vector<std::string> events_;
    std::vector<std::string> guards_;
    std::vector<std::string> actions_;
};

/// \brief Checks \p names against \p chart.
/// \returns InvalidInput if an event, guard or action is missing on either side, is bound twice,
/// or if a state that code asks about is not in the chart.
[[nodiscard]] Result<Done> checkNames(const Chart &chart, const BoundNames &names);

/// \brief Guards, actions and events of a state machine whose data is a \p Context.
/// \code
/// chart::Binding<Circuit> binding;
/// binding.state("open").event("failure").event("success").event("probe-due");
/// binding.guard("limit-reached", [](const Circuit &c) { return c.failures_ >= c.limit_; });
/// binding.action("arm-timer", [](Circuit &c) { c.armTimer(); });
/// \endcode
template<typename Context>
class Binding
{
public:
    using Guard = std::function<bool(const Context &)>;
    using Action = std::function<void(Context &)>;

    /// \brief Declares a state that code asks about.
    Binding &state(std::string_view name)
    {
        names_.states_.emplace_back(name);
        return *this;
    }

    /// \brief Declares an event that code raises.
    Binding &event(std::string_view name)
    {
        names_.events_.emplace_back(name);
        return *this;
    }

    /// \brief Declares several events.
    Binding &events(const std::vector<std::string_view> &names)
    {
        for (const auto name : names)
            event(name);
        return *this;
    }

    /// \brief Binds a guard; it must have no effect.
    Binding &guard(std::string_view name, Guard guard)
    {
        names_.guards_.emplace_back(name);
        guards_.push_back(std::move(guard));
        return *this;
    }

    /// \brief Binds an action.
    Binding &action(std::string_view name, Action action)
    {
        names_.actions_.emplace_back(name);
        actions_.push_back(std::move(action));
        return *this;
    }

    [[nodiscard]] const BoundNames &names() const { return names_; }
    [[nodiscard]] const std::vector<Guard> &guards() const { return guards_; }
    [[nodiscard]] const std::vector<Action> &actions() const { return actions_; }

private:
    BoundNames names_;
    std::vector<Guard> guards_;
    std::vector<Action> actions_;
};

/// \brief A chart with its names replaced by numbers: what a machine looks up on an event.
struct TransitionTable
{
    static constexpr std::uint32_t none = ~std::uint32_t{0};

    struct Step
    {
        std::uint32_t guard_ = none;
        bool isGuardNegated_ = false;
        std::uint32_t to_ = 0;
        std::vector<std::uint32_t> actions_;
    };

    std::vector<std::string> states_;
    std::vector<std::string> events_;
    std::vector<bool> finals_;
    std::uint32_t initial_ = 0;
    std::vector<std::vector<Step>> steps_; ///< By state * events + event.

    [[nodiscard]] std::uint32_t eventIndex(std::string_view name) const;
    [[nodiscard]] const std::vector<Step> &steps(std::uint32_t state, std::uint32_t event) const
    {
        return steps_[state * events_.size() + event];
    }
};

/// \brief Numbers the names of \p chart; guards and actions in the order of \p names.
[[nodiscard]] TransitionTable makeTable(const Chart &chart, const BoundNames &names);

/// \brief A chart with its code, shared by all machines of a kind.
template<typename Context>
struct Program
{
    TransitionTable table_;
    Binding<Context> binding_;
};

template<typename Context>
using ProgramPtr = std::shared_ptr<const Program<Context>>;

/// \brief Checks \p binding against \p chart and joins them; done once, at start.
template<typename Context>
[[nodiscard]] Result<ProgramPtr<Context>> bind(const Chart &chart, Binding<Context> binding)
{
    const auto checked = checkNames(chart, binding.names());
    if (!isOk(checked))
        return errorOf(checked);
    auto table = makeTable(chart, binding.names());
    ProgramPtr<Context> program = std::make_shared<const Program<Context>>(
        Program<Context>{std::move(table), std::move(binding)});
    return program;
}

} // namespace cardamombay::chart
