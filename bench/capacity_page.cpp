/// \file
/// \brief Rewrites the measured tables of docs/capacity/cardamombayd.md and draws the slopes.
/// \details bench_capacity_page [folder of docs]. Reads capacity/fleet.csv as bench_capacity
/// printed it; a table stands between the lines "begin: name" and "end: name" of the page.

#include "capacity_plot.hpp"
#include "membership_cost.hpp"

#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>

namespace cardamombay::bench {

namespace {

constexpr double targetNodes = 340;

/// Values of one figure by number of nodes.
using Series = std::map<double, double>;

/// What bench_capacity printed.
class Results
{
public:
    explicit Results(const std::string &path)
    {
        std::ifstream in(path);
        for (std::string line; std::getline(in, line);)
            take(line);
    }

    [[nodiscard]] const std::vector<std::string> &figures() const { return figures_; }
    [[nodiscard]] const Series &series(const std::string &figure) const
    {
        static const Series none;
        const auto found = series_.find(figure);
        return found == series_.end() ? none : found->second;
    }

private:
    void take(const std::string &line)
    {
        std::vector<std::string> cells;
        std::istringstream in(line);
        for (std::string cell; std::getline(in, cell, ',');)
            cells.push_back(cell);
        constexpr std::size_t columns = 6;
        if (cells.size() != columns || cells.front() == "nodes")
            return;
        if (!series_.contains(cells[4]))
            figures_.push_back(cells[4]);
        series_[cells[4]][std::strtod(cells[0].c_str(), nullptr)]
            = std::strtod(cells[5].c_str(), nullptr);
    }

    std::vector<std::string> figures_;
    std::map<std::string, Series> series_;
};

/// The line through all sizes but the target, so that the target checks it.
LinearFit fitBelowTarget(const Series &series)
{
    std::vector<double> x;
    std::vector<double> y;
    for (const auto &[nodes, value] : series) {
        if (nodes >= targetNodes)
            continue;
        x.push_back(nodes);
        y.push_back(value);
    }
    return x.size() < 2 ? LinearFit{} : fit(x, y);
}

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), std::abs(value) >= 100 ? "%.0f" : "%.3g", value);
    return text;
}

std::string tableOf(const Results &results, const std::vector<std::string> &figures)
{
    std::ostringstream out;
    out << "| | 7 | 21 | 35 | 49 | 70 | 140 | fit over n nodes | residual | fit at 340 | measured "
           "at "
           "340 "
           "|\n|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const std::string &figure : figures) {
        const Series &series = results.series(figure);
        out << "| " << figure << " |";
        for (const double nodes : {7.0, 21.0, 35.0, 49.0, 70.0, 140.0})
            out << " " << (series.contains(nodes) ? number(series.at(nodes)) : "") << " |";
        const LinearFit line = fitBelowTarget(series);
        out << " " << number(line.intercept_) << " + " << number(line.slope_) << " n | "
            << number(line.residual_) << " | "
            << number(line.intercept_ + line.slope_ * targetNodes) << " | "
            << (series.contains(targetNodes) ? number(series.at(targetNodes)) : "not measured")
            << " |\n";
    }
    return out.str();
}

std::vector<std::string> figuresWith(const Results &results,
                                     const std::vector<std::string> &beginnings)
{
    std::vector<std::string> found;
    for (const std::string &figure : results.figures()) {
        const bool isWanted
            = std::any_of(beginnings.begin(), beginnings.end(), [&](const std::string &beginning) {
                  return figure.starts_with(beginning);
              });
        if (isWanted)
            found.push_back(figure);
    }
    return found;
}

std::vector<std::string> messageFigures(const Results &results)
{
    return figuresWith(results, {"digest", "probe", "order", "commit", "read", "scan", "vm-list",
                                 "object", "all ", "worst"});
}

void replaceBetween(std::string &page, const std::string &name, const std::string &table)
{
    const std::string begin = "<!-- begin: " + name + " -->\n";
    const std::string end = "<!-- end: " + name + " -->";
    const auto from = page.find(begin);
    const auto to = page.find(end);
    if (from == std::string::npos || to == std::string::npos) {
        std::cerr << "no table " << name << " in the page" << std::endl;
        std::exit(EXIT_FAILURE);
    }
    page.replace(from + begin.size(), to - from - begin.size(), table);
}

PlotCurve curveOf(const Results &results, const std::string &figure, double scale = 1)
{
    PlotCurve curve;
    curve.name_ = figure;
    for (const auto &[nodes, value] : results.series(figure))
        curve.points_.push_back({nodes, value * scale});
    const LinearFit line = fitBelowTarget(results.series(figure));
    curve.intercept_ = line.intercept_ * scale;
    curve.slope_ = line.slope_ * scale;
    return curve;
}

void draw(const Results &results, const std::string &folder)
{
    Plot processor("Processor time of a node", "nodes", "ms/s");
    for (const char *figure : {"cpu us/s", "cpu us/s worst node", "cpu us/s snapshot"})
        processor.add(curveOf(results, figure, 1e-3));
    processor.setBudget(18);
    processor.write(folder + "/processor.svg");
    Plot bytes("Bytes of a node", "nodes", "KB/s");
    for (const char *figure : {"all sent B/s", "all received B/s", "vm-list received B/s"})
        bytes.add(curveOf(results, figure, 1e-3));
    bytes.setBudget(20);
    bytes.write(folder + "/bytes.svg");
    Plot memory("Memory of a node", "nodes", "MiB");
    memory.add(curveOf(results, "memory KiB", 1.0 / 1024));
    memory.setBudget(32);
    memory.write(folder + "/memory.svg");
    Plot store("Store calls of the fleet", "nodes", "calls/s");
    for (const char *figure : {"fleet store reads/s", "fleet store commits/s"})
        store.add(curveOf(results, figure));
    store.write(folder + "/store.svg");
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void rewrite(const std::string &docs)
{
    const Results results(docs + "/capacity/fleet.csv");
    std::string page = readFile(docs + "/capacity/cardamombayd.md");
    replaceBetween(page, "processor", tableOf(results, figuresWith(results, {"cpu", "memory"})));
    replaceBetween(page, "messages", tableOf(results, messageFigures(results)));
    replaceBetween(page, "store", tableOf(results, figuresWith(results, {"fleet store"})));
    replaceBetween(page, "events",
                   tableOf(results, figuresWith(results, {"start", "groups", "usable", "change",
                                                          "outage", "VM list"})));
    std::ofstream(docs + "/capacity/cardamombayd.md") << page;
    draw(results, docs + "/capacity");
}

} // namespace

} // namespace cardamombay::bench

int main(int count, char **arguments)
{
    cardamombay::bench::rewrite(count > 1 ? arguments[1] : "docs");
    return EXIT_SUCCESS;
}
