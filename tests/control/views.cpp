// Admin view and metrics of a control node.
#include <cardamombay/control/admin_view.hpp>
#include <cardamombay/control/control_metrics.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

const AvailabilityZone zoneA("zone-a");
const AvailabilityZone zoneB("zone-b");

/// Service "lm" with 3 replicas in zone a and 1 in zone b.
config::Configuration configurationOfTwoZones()
{
    config::Configuration configuration;
    configuration.sites_ = {{zoneA, RegionName("north")}, {zoneB, RegionName("north")}};
    config::Service service;
    service.name_ = ServiceName("lm");
    service.capacity_ = {{zoneA, 3}, {zoneB, 1}};
    configuration.services_ = {service};
    return configuration;
}

routing::SnapshotGroup groupOf(const AvailabilityZone &zone, TimePoint freshUntil,
                               std::vector<VmId> members)
{
    routing::SnapshotGroup group;
    group.zone_ = zone;
    group.freshUntil_ = freshUntil;
    group.members_ = std::move(members);
    return group;
}

const TimePoint now{std::chrono::seconds(100)};

/// One usable and one expired group in zone a, one usable group in zone b.
routing::RoutingSnapshot snapshotOfTwoZones()
{
    const auto later = now + std::chrono::seconds(1);
    routing::RoutingSnapshot snapshot;
    snapshot.services_ = {{ServiceName("lm"),
                           {groupOf(zoneA, later, {VmId("vm-1"), VmId("vm-2")}),
                            groupOf(zoneA, now, {VmId("vm-3"), VmId("vm-4")}),
                            groupOf(zoneB, later, {VmId("vm-9")})}}};
    return snapshot;
}

} // namespace

Test(control_metrics, declared_replica_without_a_usable_group_is_down)
{
    const auto gaps
        = control::replicaGaps(configurationOfTwoZones(), snapshotOfTwoZones(), zoneA, now);

    cr_assert_eq(gaps.size(), 1u);
    cr_assert(gaps[0] == (control::ReplicaGap{ServiceName("lm"), 2}));
}

Test(control_metrics, more_usable_groups_than_declared_leave_no_gap)
{
    auto configuration = configurationOfTwoZones();
    configuration.services_[0].capacity_ = {{zoneB, 1}};
    auto snapshot = snapshotOfTwoZones();
    snapshot.services_[0].groups_.push_back(snapshot.services_[0].groups_[2]);

    const auto gaps = control::replicaGaps(configuration, snapshot, zoneB, now);

    cr_assert(gaps[0] == (control::ReplicaGap{ServiceName("lm"), 0}));
}

Test(admin_view, group_is_not_shown_as_usable_before_requests_are_routed_to_it)
{
    auto snapshot = snapshotOfTwoZones();
    auto &groups = snapshot.services_[0].groups_;
    groups[0].group_ = GroupId("lm/zone-a/0");
    groups[1].group_ = GroupId("lm/zone-a/1");
    const auto reasonFor = [&](const char *group, const char *service = "lm") {
        return control::unroutedReason(snapshot, ServiceName(service), GroupId(group), now);
    };
    cr_assert_eq(reasonFor("lm/zone-a/0"), "");
    cr_assert_neq(reasonFor("lm/zone-a/1"), "", "expired");
    cr_assert_neq(reasonFor("lm/zone-a/2"), "", "not in the snapshot");
    cr_assert_neq(reasonFor("lm/zone-a/0", "other"), "", "of a service without groups");
}

Test(control_metrics, healthy_vm_without_a_usable_group_is_stranded)
{
    const std::vector<VmId> healthy{VmId("vm-1"), VmId("vm-2"), VmId("vm-3"), VmId("vm-5")};

    cr_assert_eq(control::strandedVms(healthy, snapshotOfTwoZones(), now), 2u);
}

Test(site_warning, zone_and_region_of_the_settings_must_match_a_site)
{
    const auto configuration = configurationOfTwoZones();
    const auto warningOf = [&](const char *zone, const char *region) {
        return control::siteWarning(AvailabilityZone(zone), RegionName(region), configuration);
    };

    cr_assert_eq(warningOf("zone-a", "north"), "");
    cr_assert_neq(warningOf("zone-c", "north").find("zone-c"), std::string::npos);
    cr_assert_neq(warningOf("zone-a", "south").find("north"), std::string::npos);
}
