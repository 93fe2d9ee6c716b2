/// \file
/// \brief Converts PoisonUpdate to and from JSON, as used in digests and summaries.
#pragma once

#include <cardamombay/serving/poison_pills.hpp>

#include <boost/json.hpp>

namespace cardamombay::serving::impl {

[[nodiscard]] boost::json::object poisonObject(const PoisonUpdate &update);

/// \brief Parses PoisonUpdate and skips malformed parts; the next digest repeats them.
/// \param value null if the digest contains no PoisonUpdate.
[[nodiscard]] PoisonUpdate poisonIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
