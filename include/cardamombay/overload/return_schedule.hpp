/// \file
/// \brief Chooses when refused callers should come back.
/// \details Spreads returns so that they match the rate at which room comes free. Pure; each entry
/// VM decides from the promised work of the whole fleet.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

namespace cardamombay::overload {

/// \brief A refused request.
struct RefusedRequest
{
    Rank rank_ = 0;
    double work_ = 0;          ///< Seconds of a full group's time.
    Duration timeLeft_{};      ///< Until the caller's deadline.
    std::uint64_t draw_ = 0;   ///< Uniform hash, for the jitter.
    bool hasReturned_ = false; ///< It was a return itself; its caller will not come again.
};

/// \brief Answer to a refused caller.
struct ReturnTime
{
    Duration retryAfter_{};
    bool isPromised_ = false; ///< Room is kept for the return.
};

/// \brief When the caller of \p request should come back.
/// \param demand of all entry VMs. The least urgent rank of the model is the largest with offered
/// work.
/// \param room rate of work that the groups can take, in groups.
/// \returns a third of the time left without a promise if the forecast is longer, since the caller
/// would come back by then anyway.
[[nodiscard]] ReturnTime returnTime(const RefusedRequest &request, const ModelDemand &demand,
                                    double room);

} // namespace cardamombay::overload
