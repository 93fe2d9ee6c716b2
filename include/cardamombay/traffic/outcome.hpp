/// \file
/// \brief What a caller is told about whether its request was run.
#pragma once

#include <ostream>
#include <string_view>

namespace cardamombay::traffic {

/// \brief Outcome of a request as far as this entry VM can know it.
enum class Outcome {
    Ran,    ///< An endpoint ran it and its whole answer is at hand.
    NotRun, ///< No byte of it can have left, or the endpoint refused it.
    Unknown ///< It may have run.
};

/// \brief Name on the wire: "ran", "not-run" or "unknown".
[[nodiscard]] constexpr std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

inline std::ostream &operator<<(std::ostream &out, Outcome outcome)
{
    return out << nameOf(outcome);
}

} // namespace cardamombay::traffic
