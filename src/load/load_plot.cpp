#include <cardamombay/load/load_plot.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <string>
#include <vector>

namespace cardamombay::load {

namespace {

constexpr double width = 720;
constexpr double height = 260;
constexpr double margin = 56;
constexpr std::array<const char *, 6> colours{"#1f77b4", "#2ca02c", "#d62728",
                                              "#ff7f0e", "#9467bd", "#8c564b"};

struct Point
{
    double x_ = 0;
    double y_ = 0;
};

struct Series
{
    std::string name_;
    std::vector<Point> points_;
};

/// One chart with linear axes from zero.
struct Chart
{
    std::string title_;
    std::string xLabel_;
    std::string yLabel_;
    std::vector<Series> series_;
    std::vector<std::string> xTicks_; ///< Evenly spaced; empty numbers the axis.
};

std::string escaped(std::string_view text)
{
    std::string safe;
    for (const char c : text) {
        if (c == '<')
            safe += "&lt;";
        else if (c == '&')
            safe += "&amp;";
        else
            safe += c;
    }
    return safe;
}

/// Smallest of 1, 2 and 5 times a power of ten that is not below \p value.
double roundUp(double value)
{
    if (value <= 0)
        return 1;
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double step : {1.0, 2.0, 5.0}) {
        if (step * power >= value)
            return step * power;
    }
    return 10 * power;
}

class ChartWriter
{
public:
    ChartWriter(std::ostream &out, const Chart &chart, double top)
        : out_(out)
        , chart_(chart)
        , top_(top)
    {
        for (const auto &series : chart.series_) {
            for (const auto &point : series.points_) {
                xMost_ = std::max(xMost_, point.x_);
                yMost_ = std::max(yMost_, point.y_);
            }
        }
        xMost_ = std::max(xMost_, 1.0);
        yMost_ = roundUp(yMost_);
    }

    void write()
    {
        text(width / 2, top_ + 18, "middle", chart_.title_);
        writeYAxis();
        writeXAxis();
        for (std::size_t i = 0; i < chart_.series_.size(); ++i)
            writeSeries(chart_.series_[i], i);
    }

private:
    [[nodiscard]] double xOf(double x) const { return margin + x / xMost_ * (width - 2 * margin); }
    [[nodiscard]] double yOf(double y) const
    {
        return top_ + height - margin - y / yMost_ * (height - 2 * margin);
    }

    void text(double x, double y, const char *anchor, std::string_view content)
    {
        out_ << "<text x='" << x << "' y='" << y << "' text-anchor='" << anchor << "'>"
             << escaped(content) << "</text>\n";
    }

    void line(Point from, Point to, const char *colour)
    {
        out_ << "<line x1='" << from.x_ << "' y1='" << from.y_ << "' x2='" << to.x_ << "' y2='"
             << to.y_ << "' stroke='" << colour << "'/>\n";
    }

    void writeYAxis()
    {
        constexpr int steps = 4;
        for (int i = 0; i <= steps; ++i) {
            const double value = yMost_ * i / steps;
            line({xOf(0), yOf(value)}, {xOf(xMost_), yOf(value)}, "#dddddd");
            text(margin - 6, yOf(value) + 4, "end", number(value));
        }
        text(4, top_ + margin - 12, "start", chart_.yLabel_);
    }

    void writeXAxis()
    {
        constexpr std::size_t steps = 6;
        const std::size_t count = chart_.xTicks_.empty() ? steps : chart_.xTicks_.size() - 1;
        for (std::size_t i = 0; i <= count; ++i) {
            const double value = xMost_ * static_cast<double>(i) / static_cast<double>(count);
            text(xOf(value), yOf(0) + 16, "middle",
                 chart_.xTicks_.empty() ? number(value) : chart_.xTicks_[i]);
        }
        text(width / 2, yOf(0) + 32, "middle", chart_.xLabel_);
    }

    void writeSeries(const Series &series, std::size_t index)
    {
        const char *colour = colours[index % colours.size()];
        out_ << "<polyline fill='none' stroke='" << colour << "' stroke-width='1.5' points='";
        for (const auto &point : series.points_)
            out_ << xOf(point.x_) << ',' << yOf(point.y_) << ' ';
        out_ << "'/>\n";
        const double y = top_ + margin + 14 * static_cast<double>(index);
        out_ << "<text x='" << width - margin + 4 << "' y='" << y << "' fill='" << colour
             << "' font-size='10'>" << escaped(series.name_) << "</text>\n";
    }

    static std::string number(double value)
    {
        std::ostringstream text;
        text << std::setprecision(4) << value;
        return text.str();
    }

    std::ostream &out_;
    const Chart &chart_;
    double top_;
    double xMost_ = 0;
    double yMost_ = 0;
};

Chart rateChart(const LoadReport &report)
{
    Chart chart{"Requests by second of the run", "second", "requests", {}, {}};
    Series offered{"offered", {}};
    for (std::size_t i = 0; i < report.seconds_.size(); ++i)
        offered.points_.push_back(
            {static_cast<double>(i), static_cast<double>(report.seconds_[i].offered_)});
    chart.series_.push_back(std::move(offered));
    for (std::size_t outcome = 0; outcome < callOutcomeCount; ++outcome) {
        Series series{std::string(nameOf(static_cast<CallOutcome>(outcome))), {}};
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < report.seconds_.size(); ++i) {
            const auto count = report.seconds_[i].outcomes_[outcome];
            sum += count;
            series.points_.push_back({static_cast<double>(i), static_cast<double>(count)});
        }
        if (sum > 0)
            chart.series_.push_back(std::move(series));
    }
    return chart;
}

/// The axis gives each further nine the same room, as is usual for percentiles.
Chart latencyChart(const LoadReport &report)
{
    Chart chart{"First byte by percentile, from the intended time",
                "percentile",
                "ms",
                {},
                {"0", "90", "99", "99.9"}};
    constexpr double nines = 3;
    constexpr double step = 0.05;
    for (const auto &figures : report.classes_) {
        if (figures.firstByte_.count() == 0)
            continue;
        Series series{figures.name_, {}};
        for (double x = 0; x <= nines; x += step) {
            const double percent = 100 * (1 - std::pow(10, -x));
            const auto value = figures.firstByte_.percentile(percent);
            series.points_.push_back({x, std::chrono::duration<double, std::milli>(value).count()});
        }
        chart.series_.push_back(std::move(series));
    }
    return chart;
}

} // namespace

void writeSvg(std::ostream &out, const LoadReport &report)
{
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << 2 * height
        << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' "
        << "fill='white'/>\n";
    const Chart rates = rateChart(report);
    const Chart latencies = latencyChart(report);
    ChartWriter(out, rates, 0).write();
    ChartWriter(out, latencies, height).write();
    out << "</svg>\n";
}

} // namespace cardamombay::load
