/// \file
/// \brief Line by line difference of two small texts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::cli {

/// \brief Lines of both texts: "- " only in \p before, "+ " only in \p after, "  " in both.
/// \details Unchanged lines farther than three lines from a change are left out, with "..." in
/// their place; equal texts give nothing.
[[nodiscard]] std::vector<std::string> diffLines(std::string_view before, std::string_view after);

} // namespace cardamombay::cli
