/// \file
/// \brief JSON encoding of endpoint notices and evacuated zones in messages between entry VMs.
/// Malformed elements are ignored.
#pragma once

#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/evacuations.hpp>

#include <boost/json.hpp>

#include <vector>

namespace cardamombay::serving::impl {

[[nodiscard]] boost::json::array evacuationsArray(const EvacuationState &evacuations);
[[nodiscard]] EvacuationState evacuationsIn(const boost::json::value *value);

[[nodiscard]] boost::json::array limitsArray(const std::vector<LimitUpdate> &limits);
[[nodiscard]] std::vector<LimitUpdate> limitsIn(const boost::json::value *value);

[[nodiscard]] boost::json::array cooldownsArray(const std::vector<CooldownUpdate> &cooldowns);
[[nodiscard]] std::vector<CooldownUpdate> cooldownsIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
