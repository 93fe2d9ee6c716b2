/// \file
/// \brief Order of the requests that wait for room at one entry VM, and who gives way when the
/// queue is full.
/// \details Pure functions. The order depends on the requests alone, never on their place in
/// memory.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

#include <cstddef>
#include <optional>
#include <span>

namespace cardamombay::overload {

/// Requests of one model that one entry VM holds at most. Beyond it, new ones displace less urgent
/// ones.
inline constexpr std::size_t maxHeldPerModel = 64;

/// \brief A request that waits for room.
struct HeldRequest
{
    Rank rank_ = 0;
    bool hasReturned_ = false; ///< Its caller came back when told to.
    bool mayHaveRun_ = false;  ///< An attempt may have run, so it cannot be refused.
    TimePoint arrivedAt_{};
    RequestId id_;
    double work_ = 0; ///< Seconds of a full group's time.
};

/// \brief True if \p left is sent first: by rank, returned before new, arrival, then id.
[[nodiscard]] bool isServedBefore(const HeldRequest &left, const HeldRequest &right);

/// \brief Work in \p queue that is served before \p request, in seconds.
/// \details Summed in whole nanoseconds, so that the result does not depend on the order of \p
/// queue.
[[nodiscard]] double workAhead(std::span<const HeldRequest> queue, const HeldRequest &request);

/// \brief The request that gives way to \p arrival in a full queue.
/// \param queue requests of one model, in any order.
/// \returns its index; no value if there is room, or if \p arrival itself is the one to refuse.
[[nodiscard]] std::optional<std::size_t> displacedBy(std::span<const HeldRequest> queue,
                                                     const HeldRequest &arrival);

/// \brief True if \p arrival is to be refused because the queue is full and holds no request that
/// gives way to it. A request that may have run is held beyond the limit instead.
/// \param queue requests of one model, in any order.
[[nodiscard]] bool isRefusedByFullQueue(std::span<const HeldRequest> queue,
                                        const HeldRequest &arrival);

} // namespace cardamombay::overload
