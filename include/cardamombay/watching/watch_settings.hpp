/// \file
/// \brief Timing parameters and limits of endpoint watching.
/// \details The freshness window bounds how long a group serves after a member stopped answering.
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
    Duration freshnessWindow_ = std::chrono::seconds(3); ///< Older observations are not used.
    Duration maxReportedAge_
        = std::chrono::milliseconds(1500);               ///< Older ones are not sent to peers.
    Duration retryGap_ = std::chrono::milliseconds(250); ///< After a failed probe.
    Duration needDuration_ = std::chrono::seconds(5);    ///< How long a call of need() applies.
    Duration neededLead_
        = std::chrono::milliseconds(400); ///< Time before expiry to probe a needed VM.
    Duration neededProbeGap_
        = std::chrono::milliseconds(500); ///< Minimum between probes of a needed VM.
    Duration stragglerLatency_
        = std::chrono::milliseconds(250); ///< Minimum latency of a straggler.
    double stragglerFactor_ = 6.0;        ///< Minimum ratio of its latency to the median.
    double latencyGain_ = 0.3;            ///< Weight of a new latency in the moving average.
    double loadChange_ = 0.25;            ///< Relative load change that is reported to peers.
    Duration replacementAge_
        = std::chrono::seconds(30); ///< After this a lower incarnation is accepted.
    Duration vetoRetention_ = std::chrono::minutes(10); ///< For vetoes of VMs not in the VM list.
    Duration vetoRepeatPeriod_
        = std::chrono::seconds(20); ///< Between repeats of a veto to each peer.
    std::uint32_t watchersPerVm_ = 2;
};

} // namespace cardamombay::watching
