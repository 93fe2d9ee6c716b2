/// \file
/// \brief The circuits of all groups.
/// \details Decides which groups new attempts leave out. It never ends an attempt, and it is local
/// to one entry VM.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamombay::retries {

/// \brief Circuits by group; a group without failures has no entry. Single-threaded.
/// \code
/// request.excluded_ = board.blocked(clock.now());
/// const auto decision = router.choose(*snapshot, request, clock.now());
/// board.started(decision.group_->group_, clock.now());
/// \endcode
class CircuitBreakerRegistry
{
public:
    explicit CircuitBreakerRegistry(CircuitBreakerProgramPtr program,
                                    CircuitBreakerPolicy policy = {}, std::uint64_t seed = 0);

    /// \brief Groups that must not be tried at \p now, for RouteRequest::excluded_.
    /// \returns a view that holds until the next call.
    [[nodiscard]] std::span<const GroupId> blocked(TimePoint now);

    /// \name Events
    /// Each started() is followed by one of the others; succeeded() may come more than once, and
    /// is best called when the head of an answer arrives.
    /// \{
    void started(const GroupId &group, TimePoint now);
    void succeeded(const GroupId &group, TimePoint now);
    void failed(const GroupId &group, TimePoint now);
    void abandoned(const GroupId &group, TimePoint now);
    /// \}

    /// \brief State of the circuit of \p group at \p now, such as "closed".
    [[nodiscard]] std::string_view status(const GroupId &group, TimePoint now);

    /// \brief When the first open circuit allows a trial; the maximum if none is open.
    [[nodiscard]] TimePoint nextTrial() const;

private:
    CircuitBreakerProgramPtr program_;
    CircuitBreakerPolicy policy_;
    std::uint64_t seed_;
    std::unordered_map<GroupId, CircuitBreaker> circuits_;
    std::vector<GroupId> blocked_;
};

} // namespace cardamombay::retries
