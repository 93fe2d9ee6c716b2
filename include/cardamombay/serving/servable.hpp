/// \file
/// \brief Checks whether any group could serve a request.
/// \details Considers only the configuration and the best possible speed of a group, not the
/// current load. A request that fails the check is rejected immediately, since waiting for capacity
/// could not help it.
#pragma once

#include <cardamombay/serving/configuration.hpp>

#include <optional>
#include <string_view>

namespace cardamombay::serving {

/// \brief Properties of a request that determine whether a group can serve it.
struct RequestNeeds
{
    ModelName model_;
    std::size_t promptTokens_ = 0;
    Duration timeLeft_{}; ///< Time until the caller's deadline.
};

/// \brief Why no group of \p service can serve the request even without load; no value if one may.
/// \returns a reason for the log and the caller. Plain services can serve any request.
[[nodiscard]] std::optional<std::string_view> unservableReason(const Service &service,
                                                               const RequestNeeds &needs);

} // namespace cardamombay::serving
