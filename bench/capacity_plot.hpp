/// \file
/// \brief Writes a line plot as SVG.
#pragma once

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace cardamombay::bench {

/// \brief A point of a curve.
struct PlotPoint
{
    double x_ = 0;
    double y_ = 0;
};

/// \brief Measured points, and the line fitted to them.
struct PlotCurve
{
    std::string name_;
    std::vector<PlotPoint> points_;
    double intercept_ = 0;
    double slope_ = 0;
};

/// \brief One plot with axes from zero.
class Plot
{
public:
    Plot(std::string title, std::string xLabel, std::string yLabel)
        : title_(std::move(title))
        , xLabel_(std::move(xLabel))
        , yLabel_(std::move(yLabel))
    {
    }

    void add(PlotCurve curve) { curves_.push_back(std::move(curve)); }
    /// \brief Draws a horizontal line at the budget.
    void setBudget(double budget) { budget_ = budget; }

    void write(const std::string &path) const
    {
        std::ofstream out(path);
        out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"640\" height=\"360\" "
               "font-family=\"sans-serif\" font-size=\"12\">\n"
               "<rect width=\"640\" height=\"360\" fill=\"white\"/>\n";
        text(out, 320, 20, "middle", title_);
        text(out, 320, 354, "middle", xLabel_ + " (dashed: linear fit; red: budget)");
        text(out, 8, 36, "start", yLabel_);
        drawAxes(out);
        drawBudget(out);
        constexpr const char *colours[] = {"#1f5fa8", "#2f8f4e", "#b06a00", "#7a3fa0", "#555555"};
        for (std::size_t each = 0; each < curves_.size(); ++each)
            drawCurve(out, curves_[each], colours[each % std::size(colours)], each);
        out << "</svg>\n";
    }

private:
    static constexpr double left = 70;
    static constexpr double right = 460;
    static constexpr double top = 44;
    static constexpr double bottom = 310;
    static constexpr double lastX = 340;

    static void text(std::ostream &out, double x, double y, const char *anchor,
                     const std::string &words)
    {
        out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">"
            << words << "</text>\n";
    }

    static void line(std::ostream &out, PlotPoint from, PlotPoint to, const char *style)
    {
        out << "<line x1=\"" << from.x_ << "\" y1=\"" << from.y_ << "\" x2=\"" << to.x_
            << "\" y2=\"" << to.y_ << "\" " << style << "/>\n";
    }

    [[nodiscard]] double highest() const
    {
        double most = budget_;
        for (const PlotCurve &curve : curves_) {
            for (const PlotPoint &point : curve.points_)
                most = std::max(most, point.y_);
            most = std::max(most, curve.intercept_ + curve.slope_ * lastX);
        }
        return most > 0 ? most * 1.05 : 1;
    }

    [[nodiscard]] PlotPoint place(PlotPoint point) const
    {
        return {left + (right - left) * point.x_ / lastX,
                bottom - (bottom - top) * point.y_ / highest()};
    }

    void drawAxes(std::ostream &out) const
    {
        line(out, {left, bottom}, {right, bottom}, "stroke=\"black\"");
        line(out, {left, bottom}, {left, top}, "stroke=\"black\"");
        for (const double x : {7.0, 35.0, 70.0, 140.0, 340.0})
            text(out, place({x, 0}).x_, bottom + 18, "middle", std::to_string(static_cast<int>(x)));
        constexpr int marks = 4;
        for (int mark = 0; mark <= marks; ++mark) {
            const double y = highest() * mark / marks;
            char label[32];
            std::snprintf(label, sizeof(label), "%.4g", y);
            text(out, left - 6, place({0, y}).y_ + 4, "end", label);
        }
    }

    void drawBudget(std::ostream &out) const
    {
        if (budget_ > 0)
            line(out, place({0, budget_}), place({lastX, budget_}), "stroke=\"red\"");
    }

    void drawCurve(std::ostream &out, const PlotCurve &curve, const std::string &colour,
                   std::size_t number) const
    {
        for (const PlotPoint &point : curve.points_) {
            const PlotPoint at = place(point);
            out << "<circle cx=\"" << at.x_ << "\" cy=\"" << at.y_ << "\" r=\"4\" fill=\"" << colour
                << "\"/>\n";
        }
        const std::string style = "stroke-dasharray=\"5 4\" stroke=\"" + colour + "\"";
        line(out, place({0, std::max(curve.intercept_, 0.0)}),
             place({lastX, std::max(curve.intercept_ + curve.slope_ * lastX, 0.0)}), style.c_str());
        const double y = top + 20 * static_cast<double>(number);
        out << "<circle cx=\"478\" cy=\"" << y - 4 << "\" r=\"4\" fill=\"" << colour << "\"/>\n";
        text(out, 488, y, "start", curve.name_);
    }

    std::string title_;
    std::string xLabel_;
    std::string yLabel_;
    double budget_ = 0;
    std::vector<PlotCurve> curves_;
};

} // namespace cardamombay::bench
