/// \file
/// \brief Says of a request whether any group could serve it.
/// \details Decides only what is certain: by the operators' declaration and by the fastest that a
/// group of engines can work, not by the present load. Such a request is rejected at once in place
/// of waiting for room that cannot help it.
#pragma once

#include <cardamombay/serving/configuration.hpp>

#include <optional>
#include <string_view>

namespace cardamombay::serving {

/// \brief What a request needs of the engines of a service.
struct RequestNeeds
{
    ModelName model_;
    std::size_t promptTokens_ = 0;
    Duration timeLeft_{}; ///< Until its caller gives up.
};

/// \brief Why no group of \p service can serve the request, whatever its load; absent if one may.
/// \returns a reason for the log and the caller. Plain services serve all requests.
[[nodiscard]] std::optional<std::string_view> unservableReason(const Service &service,
                                                               const RequestNeeds &demand);

} // namespace cardamombay::serving
