#include <cardamombay/chart/binding.hpp>

#include <algorithm>
#include <set>

namespace cardamombay::chart {

namespace {

std::uint32_t indexOf(const std::vector<std::string> &names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return TransitionTable::none;
    return static_cast<std::uint32_t>(found - names.begin());
}

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return indexOf(names, name) != TransitionTable::none;
}

Error refuse(const Chart &chart, std::string_view list, const std::string &problem,
             std::string remedy)
{
    return InvalidInput{SourcePosition{chart.file(), 0, 0}, std::string(list), problem,
                        std::move(remedy)};
}

/// Both sides must have the same names, each once.
Result<Done> checkSame(const Chart &chart, std::string_view list,
                       const std::vector<std::string> &inChart,
                       const std::vector<std::string> &inCode)
{
    for (const auto &name : inChart) {
        if (!contains(inCode, name)) {
            return refuse(chart, list, "'" + name + "' is not known to the program",
                          "use the chart file that came with this release");
        }
    }
    std::set<std::string> seen;
    for (const auto &name : inCode) {
        if (!contains(inChart, name)) {
            return refuse(chart, list, "'" + name + "' is missing",
                          "use the chart file that came with this release");
        }
        if (!seen.insert(name).second)
            return refuse(chart, list, "'" + name + "' is bound twice", "bind each name once");
    }
    return Done{};
}

} // namespace

Result<Done> checkNames(const Chart &chart, const BoundNames &names)
{
    for (const auto &state : names.states_) {
        if (!contains(chart.states(), state)) {
            return refuse(chart, "states", "'" + state + "' is missing",
                          "use the chart file that came with this release");
        }
    }
    auto checked = checkSame(chart, "events", chart.events(), names.events_);
    if (isOk(checked))
        checked = checkSame(chart, "guards", chart.guards(), names.guards_);
    if (isOk(checked))
        checked = checkSame(chart, "actions", chart.actions(), names.actions_);
    return checked;
}

std::uint32_t TransitionTable::eventIndex(std::string_view name) const
{
    return indexOf(events_, name);
}

TransitionTable makeTable(const Chart &chart, const BoundNames &names)
{
    TransitionTable table;
    table.states_ = chart.states();
    table.events_ = chart.events();
    table.initial_ = indexOf(table.states_, chart.initial());
    for (const auto &state : table.states_)
        table.finals_.push_back(chart.isFinal(state));

    for (const auto &state : table.states_) {
        for (const auto &event : table.events_) {
            auto &steps = table.steps_.emplace_back();
            for (const auto &transition : chart.cell(state, event).transitions_) {
                TransitionTable::Step step;
                if (!transition.guard_.empty())
                    step.guard_ = indexOf(names.guards_, transition.guard_);
                step.isGuardNegated_ = transition.isGuardNegated_;
                step.to_ = indexOf(table.states_, transition.to_);
                for (const auto &action : transition.actions_)
                    step.actions_.push_back(indexOf(names.actions_, action));
                steps.push_back(std::move(step));
            }
        }
    }
    return table;
}

} // namespace cardamombay::chart
