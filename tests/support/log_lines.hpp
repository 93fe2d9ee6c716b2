/// \file
/// \brief Reads the log lines that a test causes.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::support {

/// \brief Lines with \p event written to standard error while \p body runs.
[[nodiscard]] std::vector<std::string> linesOf(std::string_view event,
                                               const std::function<void()> &body);

/// \brief Value of \p key in a line; empty if the line lacks the key. For values without blanks.
[[nodiscard]] std::string valueIn(std::string_view line, std::string_view key);

} // namespace cardamombay::support
