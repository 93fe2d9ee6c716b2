/// \file
/// \brief The circuit breakers of all groups.
/// \details Tells which groups new attempts must skip. It does not cancel running attempts, and its
/// state is local to one entry VM.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamombay::retries {

/// \brief Circuit breakers by group; a group without recent failures has none. Not thread-safe.
/// \code
/// request.excluded_ = breakers.blocked(clock.now());
/// const auto decision = router.choose(*snapshot, request, clock.now());
/// breakers.started(decision.group_->group_, clock.now());
/// \endcode
class CircuitBreakerRegistry
{
public:
    explicit CircuitBreakerRegistry(CircuitBreakerProgramPtr program,
                                    CircuitBreakerPolicy policy = {}, std::uint64_t seed = 0);

    /// \brief Groups that must not be attempted at \p now, for RouteRequest::excluded_.
    /// \returns a view that is valid until the next call.
    [[nodiscard]] std::span<const GroupId> blocked(TimePoint now);

    /// \name Events
    /// Each started() must be followed by one of the others. succeeded() may be called more than
    /// once; call it when the response headers arrive.
    /// \{
    void started(const GroupId &group, TimePoint now);
    void succeeded(const GroupId &group, TimePoint now);
    void failed(const GroupId &group, TimePoint now);
    void abandoned(const GroupId &group, TimePoint now);
    /// \}

    /// \brief Name of the state of the circuit of \p group at \p now, such as "closed".
    [[nodiscard]] std::string_view status(const GroupId &group, TimePoint now);

    /// \brief When the first open circuit allows a trial; TimePoint::max() if none is open.
    [[nodiscard]] TimePoint nextTrial() const;

private:
    CircuitBreakerProgramPtr program_;
    CircuitBreakerPolicy policy_;
    std::uint64_t seed_;
    std::unordered_map<GroupId, CircuitBreaker> circuits_;
    std::vector<GroupId> blocked_;
};

} // namespace cardamombay::retries
