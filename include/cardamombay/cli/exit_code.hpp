/// \file
/// \brief Exit codes of the programs.
#pragma once

namespace cardamombay::cli {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;     ///< The operation did not succeed.
constexpr int exitWrongInput = 2; ///< Wrong usage, settings or configuration.
constexpr int exitConflict = 3;   ///< Another operator's change was accepted first.

} // namespace cardamombay::cli
