/// \file
/// \brief Attributes a server error to the endpoint or to the request.
/// \details A failing endpoint is avoided for a while. If errors caused by the request itself
/// counted against the endpoints, one request that fails everywhere would make all of them
/// unavailable to other callers. Not thread-safe.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <set>
#include <span>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Remembers the endpoints at which recent requests failed.
class FailureBlame
{
public:
    /// \brief Records that \p endpoint failed a request.
    /// \param suspects the request's content and those parts of its prompt that no endpoint has
    /// answered.
    /// \returns true if the endpoint may be at fault; false if one of \p suspects has failed at
    /// another endpoint too.
    [[nodiscard]] bool blamesEndpoint(std::span<const RequestFingerprint> suspects,
                                      const VmId &endpoint, TimePoint now);

private:
    [[nodiscard]] bool failedOnlyAt(const VmId &endpoint, const RequestFingerprint &suspect,
                                    TimePoint now);

    struct Failures
    {
        std::set<VmId> endpoints_;
        TimePoint firstAt_{};
    };

    std::unordered_map<RequestFingerprint, Failures> failures_;
};

} // namespace cardamombay::serving
