#include <cardamombay/serving/failure_blame.hpp>

namespace cardamombay::serving {

namespace {

/// Period in which failures of a request are compared; covers several attempts of its caller with
/// pauses in between.
constexpr Duration comparisonPeriod = std::chrono::seconds(30);

/// Maximum number of remembered requests, about 200 bytes each; covers the failures of several
/// seconds at usual rates.
constexpr std::size_t maxRequests = 1024;

/// Maximum number of endpoints remembered per request; two are sufficient for a decision.
constexpr std::size_t maxEndpointsPerRequest = 4;

} // namespace

bool FailureBlame::blamesEndpoint(std::span<const RequestFingerprint> suspects,
                                  const VmId &endpoint, TimePoint now)
{
    bool result = true;
    for (const auto &suspect : suspects)
        result = failedOnlyAt(endpoint, suspect, now) && result;
    return result;
}

bool FailureBlame::failedOnlyAt(const VmId &endpoint, const RequestFingerprint &suspect,
                                TimePoint now)
{
    if (failures_.size() >= maxRequests)
        std::erase_if(failures_, [now](const auto &one) {
            return now - one.second.firstAt_ > comparisonPeriod;
        });
    if (failures_.size() >= maxRequests)
        failures_.clear();
    auto &failures = failures_[suspect];
    if (failures.endpoints_.empty() || now - failures.firstAt_ > comparisonPeriod)
        failures = {{}, now};
    if (failures.endpoints_.size() < maxEndpointsPerRequest)
        failures.endpoints_.insert(endpoint);
    return failures.endpoints_.size() < 2;
}

} // namespace cardamombay::serving
