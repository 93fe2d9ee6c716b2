#include <cardamombay/chart/chart.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cardamombay::chart {

bool Chart::isFinal(std::string_view state) const
{
    return std::find(finalStates_.begin(), finalStates_.end(), state) != finalStates_.end();
}

Cell Chart::cell(std::string_view state, std::string_view event) const
{
    Cell cell{std::string(state), std::string(event), {}, isFinal(state)};
    for (const auto &transition : transitions_) {
        if (transition.from_ == state && transition.event_ == event)
            cell.transitions_.push_back(transition);
    }
    for (const auto &ignored : ignored_) {
        if (ignored.state_ == state && ignored.event_ == event)
            cell.isIgnored_ = true;
    }
    return cell;
}

std::vector<Cell> Chart::cells() const
{
    std::vector<Cell> cells;
    for (const auto &state : states_) {
        if (isFinal(state))
            continue;
        for (const auto &event : events_)
            cells.push_back(cell(state, event));
    }
    return cells;
}

Result<Chart> loadChart(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error(NotFound{"chart file " + path});
    std::ostringstream text;
    text << file.rdbuf();
    return parseChart(text.str(), path);
}

Result<Chart> ChartFolder::load(std::string_view name) const
{
    return loadChart(path_ + "/" + std::string(name) + ".toml");
}

} // namespace cardamombay::chart
