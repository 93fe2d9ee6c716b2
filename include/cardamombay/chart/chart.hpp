/// \file
/// \brief State charts: states, events, guards and actions by name, read from TOML.
/// \details A chart is the only place that holds the transitions of a state machine; code binds
/// guards and actions to names (binding.hpp) and runs it (machine.hpp). A chart is refused whole
/// at start if it names something unknown, leaves a state unreachable, or leaves open what a
/// state does with an event.
///
/// \code{.toml}
/// states  = ["closed", "open"]
/// initial = "closed"
/// final   = []                    # optional; a final state takes no event
/// events  = ["failure", "success", "probe-due"]
/// guards  = ["limit-reached"]     # optional
/// actions = ["arm-timer"]         # optional
///
/// [[transitions]]
/// from = "closed"                 # a name or an array of names
/// on = "failure"                  # a name or an array of names
/// guard = "limit-reached"         # optional; "!limit-reached" negates
/// to = "open"                     # optional; left out, the state stays
/// actions = ["arm-timer"]         # optional; run in order, after the state has changed
///
/// [ignores]                       # events a state drops; also when no guard holds
/// closed = ["failure", "success", "probe-due"]
/// \endcode
#pragma once

#include <cardamombay/core/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::chart {

/// \brief One transition from one state on one event.
struct Transition
{
    std::string from_;
    std::string event_;
    std::string guard_; ///< Empty: always taken.
    bool isGuardNegated_ = false;
    std::string to_; ///< Same as from_ if the chart names no target.
    std::vector<std::string> actions_;
    SourcePosition position_;
};

/// \brief What a state does with an event; one cell of the table states x events.
struct Cell
{
    std::string state_;
    std::string event_;
    std::vector<Transition> transitions_; ///< In the order in which their guards are asked.
    bool isIgnored_ = false;              ///< The event is dropped if no transition is taken.
};

/// \brief A checked state chart; does not change after it was read.
class Chart
{
public:
    /// \name Names, in the order of the file
    /// \{
    [[nodiscard]] const std::vector<std::string> &states() const { return states_; }
    [[nodiscard]] const std::vector<std::string> &finalStates() const { return finalStates_; }
    [[nodiscard]] const std::vector<std::string> &events() const { return events_; }
    [[nodiscard]] const std::vector<std::string> &guards() const { return guards_; }
    [[nodiscard]] const std::vector<std::string> &actions() const { return actions_; }
    [[nodiscard]] const std::string &initial() const { return initial_; }
    /// \}

    /// \brief File the chart was read from.
    [[nodiscard]] const std::string &file() const { return file_; }

    /// \brief True if \p state takes no event.
    [[nodiscard]] bool isFinal(std::string_view state) const;

    /// \brief What \p state does with \p event.
    [[nodiscard]] Cell cell(std::string_view state, std::string_view event) const;

    /// \brief Every pair of a state that is not final and an event; a fault matrix walks it.
    [[nodiscard]] std::vector<Cell> cells() const;

private:
    friend class ChartReader;

    /// An event that changes nothing in a state, by declaration.
    struct IgnoredEvent
    {
        std::string state_;
        std::string event_;
    };

    std::string file_;
    std::vector<std::string> states_;
    std::vector<std::string> finalStates_;
    std::vector<std::string> events_;
    std::vector<std::string> guards_;
    std::vector<std::string> actions_;
    std::string initial_;
    std::vector<Transition> transitions_;
    std::vector<IgnoredEvent> ignored_;
};

/// \brief Reads and checks a chart.
/// \param text TOML text.
/// \param file name that errors point at.
/// \returns the chart, or InvalidInput with the position of the first fault.
[[nodiscard]] Result<Chart> parseChart(std::string_view text, std::string_view file);

/// \brief Reads and checks the chart file at \p path.
/// \returns the chart, NotFound if the file cannot be read, or InvalidInput.
[[nodiscard]] Result<Chart> loadChart(const std::string &path);

/// \brief Folder that charts are looked up in by name; a process setting.
class ChartFolder
{
public:
    explicit ChartFolder(std::string path)
        : path_(std::move(path))
    {
    }

    /// \brief Loads "<folder>/<name>.toml".
    [[nodiscard]] Result<Chart> load(std::string_view name) const;

private:
    std::string path_;
};

} // namespace cardamombay::chart
