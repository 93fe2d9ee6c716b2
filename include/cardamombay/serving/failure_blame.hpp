/// \file
/// \brief Decides whether an endpoint's own failure speaks against the endpoint or the request.
/// \details A failing endpoint is avoided for a while. A request that fails wherever it goes would
/// have all endpoints avoided in turn, and other callers would find none. Belongs to one thread.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <set>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Where requests failed lately.
class FailureBlame
{
public:
    /// \brief Notes that \p endpoint answered \p request with a failure of its own.
    /// \returns true if that may be the endpoint's fault; false if the request has failed elsewhere
    /// too.
    [[nodiscard]] bool blamesEndpoint(const RequestFingerprint &request, const VmId &endpoint,
                                      TimePoint now);

private:
    struct Failures
    {
        std::set<VmId> endpoints_;
        TimePoint firstAt_{}; ///< The first one.
    };

    std::unordered_map<RequestFingerprint, Failures> failures_;
};

} // namespace cardamombay::serving
