/// \file
/// \brief The operators' program, cardamombayctl, as a function.
#pragma once

#include <iosfwd>

namespace cardamombay::cli {

/// \brief Runs one command and writes its result.
/// \param argc number of arguments as of main().
/// \param argv arguments as of main().
/// \param out receives the result.
/// \param err receives progress and errors with their remedies.
/// \returns exitOk, exitFailed, exitWrongInput or exitConflict.
[[nodiscard]] int runControlProgram(int argc, const char *const *argv, std::ostream &out,
                                    std::ostream &err);

} // namespace cardamombay::cli
