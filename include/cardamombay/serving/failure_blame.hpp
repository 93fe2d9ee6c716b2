/// \file
/// \brief Attributes a server error to the endpoint or to the request.
/// \details A failing endpoint is avoided for a while. If errors caused by the request itself
/// counted against the endpoints, one request that fails everywhere would make all of them
/// unavailable to other callers. Not thread-safe.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <set>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Remembers the endpoints at which recent requests failed.
class FailureBlame
{
public:
    /// \brief Records that \p endpoint answered \p request with a server error.
    /// \returns true if the endpoint may be at fault; false if the request has failed at another
    /// endpoint too.
    [[nodiscard]] bool blamesEndpoint(const RequestFingerprint &request, const VmId &endpoint,
                                      TimePoint now);

private:
    struct Failures
    {
        std::set<VmId> endpoints_;
        TimePoint firstAt_{};
    };

    std::unordered_map<RequestFingerprint, Failures> failures_;
};

} // namespace cardamombay::serving
