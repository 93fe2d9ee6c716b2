/// \file
/// \brief Times and bounds of watching endpoint VMs.
/// \details Values only; the freshness among them bounds how long a group serves after a member
/// fell silent.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::watching {

/// \brief Settings of EndpointWatcher.
struct WatchSettings
{
    Duration tick_ = std::chrono::milliseconds(100);
    Duration probePeriod_ = std::chrono::seconds(1);
    Duration loadingProbePeriod_ = std::chrono::milliseconds(250); ///< While a VM loads.
    Duration probeTimeout_ = std::chrono::milliseconds(900);
    Duration freshnessWindow_ = std::chrono::seconds(3);  ///< An older observation is not used.
    Duration lateTime_ = std::chrono::milliseconds(1500); ///< A VM silent for longer is not told.
    Duration retryGap_ = std::chrono::milliseconds(250);  ///< After a probe failed.
    Duration neededTime_ = std::chrono::seconds(5);       ///< need() counts for this long.
    Duration neededLead_
        = std::chrono::milliseconds(400); ///< Own probe this long before the lapse.
    Duration neededProbeGap_
        = std::chrono::milliseconds(500); ///< Between own probes of a needed VM.
    Duration stragglerLatency_ = std::chrono::milliseconds(250); ///< Slower answers are suspect.
    double stragglerFactor_ = 6.0; ///< And slower than this many times the median.
    double latencyGain_ = 0.3;     ///< Weight of a new latency in the moving average.
    double loadChange_ = 0.25;     ///< Share by which load must change to be told at once.
    Duration replacedTime_ = std::chrono::seconds(30);  ///< Then a lower incarnation is believed.
    Duration vetoRetention_ = std::chrono::minutes(10); ///< Of vetoes for VMs not in the list.
    Duration vetoRepeat_ = std::chrono::seconds(20);    ///< Vetoes are told again to each peer.
    std::uint32_t watchersPerVm_ = 2;
};

} // namespace cardamombay::watching
