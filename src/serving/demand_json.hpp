/// \file
/// \brief The part of digests that describes offered and held work.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

#include <boost/json.hpp>

namespace cardamombay::serving::impl {

/// \brief Adds the fields "offered", "waiting", "teams" and "promised" to \p params; empty ones are
/// left out.
void writeDemand(boost::json::object &params, const overload::FleetDemand &demand);

/// \brief Reads them. Figures that are negative, not finite or absurdly large, and ranks out of
/// range, are ignored.
[[nodiscard]] overload::FleetDemand readDemandFields(const boost::json::object &params);

} // namespace cardamombay::serving::impl
