/// \file
/// \brief Figures of a load run, and the files that show them.
#pragma once

#include <cardamombay/load/call_outcome.hpp>
#include <cardamombay/load/histogram.hpp>

#include <array>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace cardamombay::load {

/// \brief Counts by outcome.
using OutcomeCounts = std::array<std::uint64_t, callOutcomeCount>;

/// \brief Figures of one kind of request. Latencies count from the intended time of sending.
struct ClassFigures
{
    std::string name_;
    std::uint64_t offered_ = 0;
    OutcomeCounts outcomes_{};
    Histogram firstByte_; ///< To the first byte of the body, complete calls.
    Histogram total_;     ///< To the end of the answer, complete calls.
    Histogram gap_;       ///< Between two reads of one stream, complete calls.
};

/// \brief Figures of one team.
struct TeamFigures
{
    std::string name_;
    std::uint64_t offered_ = 0;
    OutcomeCounts outcomes_{};
    std::uint64_t tokens_ = 0; ///< Asked for by complete calls.
};

/// \brief Figures of one second of the run, by intended time of sending.
struct SecondFigures
{
    std::uint64_t offered_ = 0;
    OutcomeCounts outcomes_{};
    Duration longestFirstByte_{};
};

/// \brief Figures of a whole run.
struct LoadReport
{
    std::string workload_;
    std::uint64_t seed_ = 0;
    Duration duration_{};
    std::uint64_t skipped_ = 0; ///< Not sent, since too many were in flight; counted as offered.
    Duration latestSend_{};     ///< How far the tool itself was behind the intended time, at most.
    std::vector<ClassFigures> classes_;
    std::vector<TeamFigures> teams_;
    std::vector<SecondFigures> seconds_;
};

/// \name Files
/// \{
void writeText(std::ostream &out, const LoadReport &report);       ///< Tables for a terminal.
void writeSummaryCsv(std::ostream &out, const LoadReport &report); ///< Latencies by kind.
void writeTeamsCsv(std::ostream &out, const LoadReport &report);
void writeSecondsCsv(std::ostream &out, const LoadReport &report);
/// \}

} // namespace cardamombay::load
