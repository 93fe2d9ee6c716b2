/// \file
/// \brief Plots of a load run, as one SVG picture.
#pragma once

#include <cardamombay/load/load_report.hpp>

#include <ostream>

namespace cardamombay::load {

/// \brief Draws requests a second by outcome over the run, and first-byte latency by percentile.
void writeSvg(std::ostream &out, const LoadReport &report);

} // namespace cardamombay::load
