// Straggler detection by probe latency.
#include <cardamombay/watching/endpoint_watcher.hpp>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace cardamombay::watching {

void EndpointWatcher::recordLatency(const VmId &vm, Duration latency)
{
    Latency &known = latencies_[vm];
    if (known.average_ == Duration::zero()) {
        known.average_ = latency;
        return;
    }
    const double step
        = settings_.latencyGain_ * static_cast<double>((latency - known.average_).count());
    known.average_ += Duration(static_cast<std::int64_t>(step));
}

void EndpointWatcher::updateMedian()
{
    std::vector<Duration> averages;
    averages.reserve(latencies_.size());
    for (const auto &[vm, latency] : latencies_) {
        if (latency.average_ > Duration::zero())
            averages.push_back(latency.average_);
    }
    if (averages.empty())
        return;
    const auto middle = averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2);
    std::nth_element(averages.begin(), middle, averages.end());
    medianLatency_ = *middle;
}

bool EndpointWatcher::isSlow(const VmId &vm) const
{
    const auto found = latencies_.find(vm);
    if (found == latencies_.end() || found->second.average_ < settings_.stragglerLatency_)
        return false;
    const double bound = settings_.stragglerFactor_ * static_cast<double>(medianLatency_.count());
    return static_cast<double>(found->second.average_.count()) > bound;
}

} // namespace cardamombay::watching
