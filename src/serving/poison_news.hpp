/// \file
/// \brief PoisonNews as JSON, in digests and sums.
#pragma once

#include <cardamombay/serving/poison_pills.hpp>

#include <boost/json.hpp>

namespace cardamombay::serving::impl {

[[nodiscard]] boost::json::object poisonObject(const PoisonNews &news);

/// \brief Reads what can be read; the rest is told again with the next digest.
/// \param value null if the digest has none.
[[nodiscard]] PoisonNews poisonIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
