/// \file
/// \brief Encodes and decodes reports of counted requests and spent quota, in tenths.
#pragma once

#include <cardamombay/serving/quota_messages.hpp>

#include <boost/json.hpp>

namespace cardamombay::serving::impl {

/// \brief Rounds so that no more quota is left than there was.
[[nodiscard]] boost::json::object quotaReportObject(const QuotaReport &report);

/// \brief Leaves out services whose amounts can't be read.
[[nodiscard]] QuotaReport quotaReportIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
