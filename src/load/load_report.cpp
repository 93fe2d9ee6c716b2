#include <cardamombay/load/load_report.hpp>

#include <iomanip>
#include <string_view>

namespace cardamombay::load {

namespace {

constexpr std::array<double, 6> percents{50, 90, 95, 99, 99.9, 100};

constexpr std::array<CallOutcome, callOutcomeCount> outcomes{
    CallOutcome::Complete, CallOutcome::NotRun, CallOutcome::Unknown, CallOutcome::Broken,
    CallOutcome::NoAnswer};

double milliseconds(Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// One latency of one kind of request.
struct Row
{
    std::string_view class_;
    std::string_view metric_;
    const Histogram &values_;
};

std::vector<Row> rowsOf(const LoadReport &report)
{
    std::vector<Row> rows;
    for (const auto &figures : report.classes_) {
        rows.push_back({figures.name_, "first-byte", figures.firstByte_});
        rows.push_back({figures.name_, "total", figures.total_});
        if (figures.gap_.count() > 0)
            rows.push_back({figures.name_, "gap", figures.gap_});
    }
    return rows;
}

void writeCounts(std::ostream &out, std::uint64_t offered, const OutcomeCounts &counts)
{
    out << offered;
    for (const auto count : counts)
        out << ',' << count;
}

void writeOutcomeNames(std::ostream &out)
{
    for (const auto outcome : outcomes)
        out << ',' << nameOf(outcome);
}

template<typename Figures>
void writeTextCounts(std::ostream &out, std::string_view title, const std::vector<Figures> &list)
{
    out << '\n' << std::left << std::setw(24) << title << std::right << std::setw(10) << "offered";
    for (const auto outcome : outcomes)
        out << std::setw(11) << nameOf(outcome);
    out << '\n';
    for (const auto &figures : list) {
        out << std::left << std::setw(24) << figures.name_ << std::right << std::setw(10)
            << figures.offered_;
        for (const auto count : figures.outcomes_)
            out << std::setw(11) << count;
        out << '\n';
    }
}

} // namespace

void writeText(std::ostream &out, const LoadReport &report)
{
    out << "workload " << report.workload_ << ", seed " << report.seed_ << ", "
        << milliseconds(report.duration_) / 1000 << " s, not sent " << report.skipped_
        << ", latest send " << std::fixed << std::setprecision(2)
        << milliseconds(report.latestSend_) << " ms behind its time\n";
    writeTextCounts(out, "requests", report.classes_);
    writeTextCounts(out, "teams", report.teams_);
    out << "\nlatency from the intended time, ms\n"
        << std::left << std::setw(24) << "requests" << std::setw(12) << "metric" << std::right
        << std::setw(10) << "count";
    for (const double percent : percents)
        out << std::setw(11) << std::setprecision(1) << percent;
    out << '\n';
    for (const auto &row : rowsOf(report)) {
        out << std::left << std::setw(24) << row.class_ << std::setw(12) << row.metric_
            << std::right << std::setw(10) << row.values_.count();
        for (const double percent : percents)
            out << std::setw(11) << std::setprecision(2)
                << milliseconds(row.values_.percentile(percent));
        out << '\n';
    }
}

void writeSummaryCsv(std::ostream &out, const LoadReport &report)
{
    out << "requests,metric,count,mean_ms";
    for (const double percent : percents)
        out << ",p" << percent << "_ms";
    out << '\n' << std::fixed << std::setprecision(3);
    for (const auto &row : rowsOf(report)) {
        out << row.class_ << ',' << row.metric_ << ',' << row.values_.count() << ','
            << milliseconds(row.values_.mean());
        for (const double percent : percents)
            out << ',' << milliseconds(row.values_.percentile(percent));
        out << '\n';
    }
}

void writeTeamsCsv(std::ostream &out, const LoadReport &report)
{
    out << "team,tokens,offered";
    writeOutcomeNames(out);
    out << '\n';
    for (const auto &team : report.teams_) {
        out << team.name_ << ',' << team.tokens_ << ',';
        writeCounts(out, team.offered_, team.outcomes_);
        out << '\n';
    }
}

void writeSecondsCsv(std::ostream &out, const LoadReport &report)
{
    out << "second,offered";
    writeOutcomeNames(out);
    out << ",longest_first_byte_ms\n" << std::fixed << std::setprecision(3);
    for (std::size_t i = 0; i < report.seconds_.size(); ++i) {
        out << i << ',';
        writeCounts(out, report.seconds_[i].offered_, report.seconds_[i].outcomes_);
        out << ',' << milliseconds(report.seconds_[i].longestFirstByte_) << '\n';
    }
}

} // namespace cardamombay::load
