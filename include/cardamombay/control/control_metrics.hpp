/// \file
/// \brief Metrics of the control side: replica downtime, stranded VMs and the overhead of control.
/// \details Downtime and stranded time are the service-level indicators of the deployment;
/// docs/operations/metrics.md defines them.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/control/control_node.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>
#include <cardamombay/traffic/claim.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace cardamombay::control {

/// \brief Number of replicas of a service that are declared in a zone but not usable there.
struct ReplicaGap
{
    ServiceName service_;
    std::uint32_t missing_ = 0;

    friend bool operator==(const ReplicaGap &, const ReplicaGap &) = default;
};

/// \brief One entry for each model service with replicas declared in \p zone.
[[nodiscard]] std::vector<ReplicaGap> replicaGaps(const config::Configuration &configuration,
                                                  const routing::RoutingSnapshot &snapshot,
                                                  const AvailabilityZone &zone, TimePoint now);

/// \brief How many VMs of \p healthy belong to no usable group.
[[nodiscard]] std::uint32_t strandedVms(std::span<const VmId> healthy,
                                        const routing::RoutingSnapshot &snapshot, TimePoint now);

/// \brief Engine VMs of \p zone that could serve: listed as live, recently observed, not leaving
/// and not failed.
[[nodiscard]] std::vector<VmId> healthyVms(const ControlNode &node, const AvailabilityZone &zone);

/// \brief Metrics of one control node; used on the control thread only.
class ControlMetrics
{
public:
    /// \param registry exported at /metrics.
    /// \param zone availability zone of this entry VM.
    ControlMetrics(metrics::Registry &registry, AvailabilityZone zone);

    /// \brief Samples the current state and attributes the time since the last call to it.
    void update(const ControlNode &node);
    void claimAnswered(traffic::ClaimVerdict verdict);

private:
    void addDowntime(const ControlNode &node, double seconds);
    void addStranded(const ControlNode &node, double seconds);

    metrics::Registry &registry_;
    AvailabilityZone zone_;
    TimePoint updatedAt_{};
    metrics::Gauge members_;
    metrics::Gauge version_;
    metrics::Gauge leases_;
    metrics::Gauge store_;
    metrics::Gauge strandedNow_;
    metrics::Counter stranded_;
    metrics::Counter probes_;
    metrics::Counter failedProbes_;
    metrics::Counter digests_;
    metrics::Counter failedDigests_;
};

} // namespace cardamombay::control
