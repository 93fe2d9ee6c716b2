#include <cardamombay/planning/return_model.hpp>

#include <cmath>

namespace cardamombay::planning {

double ReturnModel::probabilityAfter(Duration lostFor) const
{
    const double mean = toSeconds(returnTime_);
    const double stillAway = mean > 0 ? std::exp(-toSeconds(lostFor) / mean) : 0;
    const double returning = probability_ * stillAway;
    const double total = returning + 1 - probability_;
    return total > 0 ? returning / total : 0;
}

ReturnEstimate ReturnModel::independent(std::span<const Duration> lostFor) const
{
    ReturnEstimate estimate{1, {}};
    double means = 0; // Expected maximum of n exponential times: mean * H(n).
    std::size_t number = 0;
    for (const Duration each : lostFor) {
        estimate.probability_ *= probabilityAfter(each);
        means += 1.0 / static_cast<double>(++number);
    }
    estimate.timeLeft_ = std::chrono::duration_cast<Duration>(returnTime_ * means);
    return estimate;
}

ReturnEstimate ReturnModel::commonCause(Duration lostFor) const
{
    return {probabilityAfter(lostFor), returnTime_};
}

} // namespace cardamombay::planning
