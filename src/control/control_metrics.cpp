#include <cardamombay/control/control_metrics.hpp>

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>

namespace cardamombay::control {

namespace {

/// Advances a counter to a total that is maintained elsewhere.
void advanceTo(const metrics::Counter &counter, std::uint64_t total)
{
    const auto difference = static_cast<double>(total) - counter.value();
    if (difference > 0)
        counter.increment(difference);
}

std::uint32_t declaredIn(const config::Service &service, const AvailabilityZone &zone)
{
    std::uint32_t replicas = 0;
    for (const auto &capacity : service.capacity_)
        replicas += capacity.zone_ == zone ? capacity.replicas_ : 0;
    return replicas;
}

std::uint32_t usableIn(const routing::SnapshotService *service, const AvailabilityZone &zone,
                       TimePoint now)
{
    if (!service)
        return 0;
    const auto count
        = std::count_if(service->groups_.begin(), service->groups_.end(), [&](const auto &group) {
              return group.zone_ == zone && group.isUsable(now);
          });
    return static_cast<std::uint32_t>(count);
}

} // namespace

std::vector<ReplicaGap> replicaGaps(const config::Configuration &configuration,
                                    const routing::RoutingSnapshot &snapshot,
                                    const AvailabilityZone &zone, TimePoint now)
{
    std::vector<ReplicaGap> gaps;
    for (const auto &service : configuration.services_) {
        const auto declared = declaredIn(service, zone);
        if (service.kind_ != config::ServiceKind::Model || declared == 0)
            continue;
        const auto usable = usableIn(snapshot.service(service.name_), zone, now);
        gaps.push_back({service.name_, declared - std::min(declared, usable)});
    }
    return gaps;
}

std::uint32_t strandedVms(std::span<const VmId> healthy, const routing::RoutingSnapshot &snapshot,
                          TimePoint now)
{
    std::unordered_set<VmId> serving;
    for (const auto &service : snapshot.services_) {
        for (const auto &group : service.groups_) {
            if (group.isUsable(now))
                serving.insert(group.members_.begin(), group.members_.end());
        }
    }
    const auto count = std::count_if(healthy.begin(), healthy.end(),
                                     [&](const VmId &vm) { return !serving.contains(vm); });
    return static_cast<std::uint32_t>(count);
}

std::vector<VmId> healthyVms(const ControlNode &node, const AvailabilityZone &zone)
{
    std::vector<VmId> healthy;
    const auto &watcher = node.watcher();
    for (const auto &[id, record] : node.vms()) {
        const bool isListed = record.role_ == platform::VmRole::Engine && record.zone_ == zone
                              && record.status_ == platform::VmStatus::Live;
        if (!isListed || !watcher.isFresh(id) || watcher.isLeaving(id))
            continue;
        const auto *seen = watcher.observation(id);
        if (seen && seen->state_.phase_ != endpoint::EnginePhase::Failed)
            healthy.push_back(id);
    }
    return healthy;
}

ControlMetrics::ControlMetrics(metrics::Registry &registry, AvailabilityZone zone)
    : registry_(registry)
    , zone_(std::move(zone))
    , members_(registry.gauge("cardamombay_members_alive", "Entry VMs known to be alive."))
    , version_(registry.gauge("cardamombay_config_version", "Configuration version in force."))
    , leases_(registry.gauge("cardamombay_leases_held", "Planner leases held here."))
    , store_(registry.gauge("cardamombay_store_reachable", "1 if the table service answers."))
    , strandedNow_(registry.gauge("cardamombay_stranded_vms",
                                  "Healthy engine VMs of the zone without a usable group.",
                                  {{"zone", zone_.text()}}))
    , stranded_(registry.counter("cardamombay_stranded_vm_seconds_total",
                                 "Time of healthy engine VMs of the zone without a usable group.",
                                 {{"zone", zone_.text()}}))
    , probes_(registry.counter("cardamombay_probes_sent_total", "Probes of endpoint VMs."))
    , failedProbes_(registry.counter("cardamombay_probes_failed_total", "Probes that failed."))
    , digests_(registry.counter("cardamombay_digests_sent_total", "Digests sent to peers."))
    , failedDigests_(
          registry.counter("cardamombay_digests_failed_total", "Digests that got no answer."))
{
}

void ControlMetrics::update(const ControlNode &node)
{
    const auto now = node.now();
    const auto passed = updatedAt_ == TimePoint{} ? Duration::zero() : now - updatedAt_;
    const double seconds = std::chrono::duration<double>(passed).count();
    updatedAt_ = now;
    members_.set(static_cast<double>(node.membership().aliveMembers().size()));
    version_.set(static_cast<double>(node.configuration().version().value()));
    leases_.set(static_cast<double>(node.planner().heldLeases().size()));
    store_.set(node.isStoreReachable() ? 1 : 0);
    advanceTo(probes_, node.watcher().counters().probesSent_);
    advanceTo(failedProbes_, node.watcher().counters().probesFailed_);
    advanceTo(digests_, node.membership().counters().exchangesStarted_);
    advanceTo(failedDigests_, node.membership().counters().exchangesFailed_);
    addDowntime(node, seconds);
    addStranded(node, seconds);
}

void ControlMetrics::addDowntime(const ControlNode &node, double seconds)
{
    const auto configuration = node.configuration().current();
    if (!configuration)
        return;
    for (const auto &gap : replicaGaps(*configuration, *node.snapshot(), zone_, node.now())) {
        const std::vector<Detail> labels{{"service", gap.service_.text()}, {"zone", zone_.text()}};
        registry_
            .gauge("cardamombay_replicas_missing", "Declared replicas that are not usable.", labels)
            .set(gap.missing_);
        registry_
            .counter("cardamombay_group_downtime_seconds_total",
                     "Time of declared replicas that were not usable.", labels)
            .increment(seconds * gap.missing_);
    }
}

void ControlMetrics::addStranded(const ControlNode &node, double seconds)
{
    const auto count = strandedVms(healthyVms(node, zone_), *node.snapshot(), node.now());
    strandedNow_.set(count);
    stranded_.increment(seconds * count);
}

void ControlMetrics::claimAnswered(traffic::ClaimVerdict verdict)
{
    registry_
        .counter("cardamombay_claims_total", "Claims of keyed requests.",
                 {{"verdict", std::string(traffic::nameOf(verdict))}})
        .increment();
}

} // namespace cardamombay::control
