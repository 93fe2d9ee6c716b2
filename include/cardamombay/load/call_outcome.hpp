/// \file
/// \brief What a call came to, from its caller's point of view.
#pragma once

#include <cardamombay/load/http_caller.hpp>

#include <string>
#include <string_view>

namespace cardamombay::load {

/// \brief What a caller can say of its call.
enum class CallOutcome {
    Complete, ///< Success, and the answer is whole.
    NotRun,   ///< Told that it was not run.
    Unknown,  ///< Told an error that does not say not-run.
    Broken,   ///< The answer began and is not whole.
    NoAnswer  ///< No response head in time.
};

inline constexpr std::size_t callOutcomeCount = 5;

[[nodiscard]] std::string_view nameOf(CallOutcome outcome);

/// \brief Outcome of \p result; a stream is whole only with its end marker.
[[nodiscard]] CallOutcome classify(const CallResult &result, bool isStream);

/// \brief "ran", "not-run" or "unknown" as the header or the problem body says; empty if neither.
[[nodiscard]] std::string statedOutcome(const CallResult &result);

} // namespace cardamombay::load
