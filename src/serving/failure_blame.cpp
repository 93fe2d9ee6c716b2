#include <cardamombay/serving/failure_blame.hpp>

namespace cardamombay::serving {

namespace {

/// Failures of a request are compared for that long: several tries of its caller, each after a
/// pause.
constexpr Duration comparedFor = std::chrono::seconds(30);

/// Requests that are remembered, about 200 bytes each; those that failed within seconds at usual
/// rates.
constexpr std::size_t mostRequests = 1024;

/// Endpoints of one request; two already tell.
constexpr std::size_t mostEndpoints = 4;

} // namespace

bool FailureBlame::blamesEndpoint(const RequestFingerprint &request, const VmId &endpoint,
                                  TimePoint now)
{
    if (failures_.size() >= mostRequests)
        std::erase_if(failures_,
                      [now](const auto &one) { return now - one.second.at_ > comparedFor; });
    if (failures_.size() >= mostRequests)
        failures_.clear();
    auto &failures = failures_[request];
    if (failures.endpoints_.empty() || now - failures.at_ > comparedFor)
        failures = {{}, now};
    if (failures.endpoints_.size() < mostEndpoints)
        failures.endpoints_.insert(endpoint);
    return failures.endpoints_.size() < 2;
}

} // namespace cardamombay::serving
