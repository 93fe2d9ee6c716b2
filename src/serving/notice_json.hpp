/// \file
/// \brief What entry VMs tell each other of endpoints' notices and of evacuated zones, as messages
/// hold it. What cannot be read is left out.
#pragma once

#include <cardamombay/serving/endpoint_notices.hpp>
#include <cardamombay/serving/evacuations.hpp>

#include <boost/json.hpp>

#include <vector>

namespace cardamombay::serving::impl {

[[nodiscard]] boost::json::array evacuationsArray(const EvacuationState &evacuations);
[[nodiscard]] EvacuationState evacuationsIn(const boost::json::value *value);

[[nodiscard]] boost::json::array limitsArray(const std::vector<LimitNews> &limits);
[[nodiscard]] std::vector<LimitNews> limitsIn(const boost::json::value *value);

[[nodiscard]] boost::json::array cooldownsArray(const std::vector<CooldownNews> &cooldowns);
[[nodiscard]] std::vector<CooldownNews> cooldownsIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
