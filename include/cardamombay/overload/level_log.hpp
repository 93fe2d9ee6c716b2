/// \file
/// \brief Selects the changes of an admission level that are logged.
/// \details Bounds the log at one line a second; a change that is withheld is logged later if it
/// still holds then.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

#include <cardamombay/core/decision_log.hpp>

#include <optional>
#include <vector>

namespace cardamombay::overload {

struct AdmissionLevel;
enum class FigureSource;

/// \brief The level of one model as it was last logged. Not thread-safe.
class LevelLog
{
public:
    /// \brief Notes the level in force.
    /// \param age of the figures it was computed from; no value if there are none.
    /// \returns what to log; no value if the level has not changed by much since the last line, or
    /// if that line is less than a second old.
    [[nodiscard]] std::optional<std::vector<Detail>> note(const ModelName &model,
                                                          const AdmissionLevel &level,
                                                          std::optional<Duration> age,
                                                          TimePoint now);

private:
    struct Line
    {
        TimePoint at_{};
        std::optional<Rank> dividedRank_;
        double share_ = 1;
        FigureSource source_{};
    };

    std::optional<Line> last_;
};

} // namespace cardamombay::overload
