#include <cardamombay/control/admin_view.hpp>

#include <cardamombay/endpoint/endpoint_codec.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace cardamombay::control {

using admin::AdminGroup;
using admin::AdminGroupMember;

namespace {

std::string phaseOf(const watching::Observation *seen)
{
    return seen ? std::string(endpoint::nameOf(seen->state_.phase_)) : "unknown";
}

Duration ageOf(const ControlNode &node, const watching::Observation *seen)
{
    return seen ? node.now() - seen->observedAt_ : Duration{};
}

std::uint32_t inFlightAt(const ControlNode &node, const GroupId &group)
{
    for (const auto &entry : node.inFlight()) {
        if (entry.group_ == group)
            return entry.inFlight_;
    }
    return 0;
}

/// Why \p member makes its group unusable; empty if the member is healthy.
std::string memberFault(const ControlNode &node, const groups::GroupRow &row, const VmId &member)
{
    const auto &watcher = node.watcher();
    const auto *seen = watcher.observation(member);
    if (!node.vms().contains(member))
        return "VM " + member.text() + " is not in the VM list";
    if (!seen)
        return "VM " + member.text() + " was never observed";
    if (!watcher.isFresh(member))
        return "VM " + member.text() + " has not been heard of for "
               + std::to_string(toMilliseconds(ageOf(node, seen))) + " ms";
    if (!row.isMatchedBy(seen->state_))
        return "VM " + member.text() + " reports phase " + phaseOf(seen) + " or another assignment";
    if (watcher.isLeaving(member))
        return "VM " + member.text() + " is leaving";
    return {};
}

std::string unusableReason(const ControlNode &node, const groups::GroupRow &row)
{
    if (!row.isActive())
        return "the group is " + std::string(groups::nameOf(row.phase_)) + ": " + row.reason_;
    for (const VmId &member : row.members_) {
        auto fault = memberFault(node, row, member);
        if (!fault.empty())
            return fault;
    }
    return {};
}

/// Phases of the groups that this node plans.
std::map<GroupId, groups::GroupPhase> plannedPhases(const ControlNode &node)
{
    std::map<GroupId, groups::GroupPhase> phases;
    for (const auto &status : node.planner().groups())
        phases[status.row_.group_] = status.phase_;
    return phases;
}

AdminGroupMember memberOf(const ControlNode &node, const VmId &vm)
{
    const auto *seen = node.watcher().observation(vm);
    return {vm, node.watcher().isFresh(vm), ageOf(node, seen), phaseOf(seen)};
}

AdminGroup groupOf(const ControlNode &node, const groups::GroupRow &row)
{
    AdminGroup group;
    group.id_ = row.group_;
    group.service_ = row.service_;
    group.zone_ = row.zone_;
    group.domain_ = row.domain_;
    group.generation_ = row.generation_;
    for (const VmId &member : row.members_)
        group.members_.push_back(memberOf(node, member));
    group.inFlight_ = inFlightAt(node, row.group_);
    group.whyNot_ = unusableReason(node, row);
    if (group.whyNot_.empty())
        group.whyNot_ = unroutedReason(*node.snapshot(), row.service_, row.group_, node.now());
    group.isUsable_ = group.whyNot_.empty();
    group.phase_ = group.isUsable_ ? nameOf(groups::GroupPhase::Serving) : nameOf(row.phase_);
    return group;
}

admin::AdminService serviceOf(const ControlNode &node, const config::Service &service)
{
    admin::AdminService shown;
    shown.name_ = service.name_;
    for (const auto &capacity : service.capacity_)
        shown.declaredReplicas_ += capacity.replicas_;
    const auto *groups = node.snapshot()->service(service.name_);
    if (!groups)
        return shown;
    const bool isPlain = service.kind_ == config::ServiceKind::Plain;
    if (isPlain && shown.declaredReplicas_ == 0)
        shown.declaredReplicas_ = static_cast<std::uint32_t>(groups->groups_.size());
    for (const auto &group : groups->groups_) {
        shown.servingReplicas_ += group.isUsable(node.now()) ? 1 : 0;
        shown.inFlight_ += inFlightAt(node, group.group_);
    }
    return shown;
}

} // namespace

admin::AdminStatus statusOf(const ControlNode &node, std::string_view lifecycleState)
{
    const auto &self = node.membership().self();
    admin::AdminStatus status;
    status.entry_ = self.id_;
    status.zone_ = self.zone_;
    status.region_ = self.region_;
    status.incarnation_ = self.incarnation_;
    status.state_ = lifecycleState;
    status.configVersion_ = node.configuration().version();
    status.isStoreReachable_ = node.isStoreReachable();
    status.uptime_ = node.now() - node.startedAt();
    for (const auto &member : node.membership().members()) {
        status.members_.push_back({member.id_, member.address_, member.zone_, member.region_,
                                   member.status_, member.configVersion_, member.isDraining_});
    }
    if (const auto configuration = node.configuration().current()) {
        for (const auto &service : configuration->services_)
            status.services_.push_back(serviceOf(node, service));
        status.warning_ = siteWarning(self.zone_, self.region_, *configuration);
    }
    return status;
}

std::string unroutedReason(const routing::RoutingSnapshot &snapshot, const ServiceName &service,
                           const GroupId &group, TimePoint now)
{
    const auto *groups = snapshot.service(service);
    const bool isRouted
        = groups != nullptr
          && std::any_of(groups->groups_.begin(), groups->groups_.end(),
                         [&](const auto &one) { return one.group_ == group && one.isUsable(now); });
    return isRouted ? std::string() : "requests are not routed to it yet";
}

std::vector<AdminGroup> groupsOf(const ControlNode &node)
{
    const auto phases = plannedPhases(node);
    std::vector<AdminGroup> all;
    for (const auto &[id, row] : node.groupCache().groups()) {
        all.push_back(groupOf(node, row.content_));
        const auto planned = phases.find(id);
        if (planned != phases.end() && !all.back().isUsable_)
            all.back().phase_ = nameOf(planned->second);
    }
    return all;
}

std::vector<admin::AdminVm> vmsOf(const ControlNode &node)
{
    std::vector<admin::AdminVm> all;
    for (const auto &[id, record] : node.vms()) {
        if (record.role_ == platform::VmRole::Entry)
            continue;
        const auto *seen = node.watcher().observation(id);
        const auto *row = node.groupCache().vm(id);
        admin::AdminVm vm{id,
                          record.zone_,
                          record.domain_,
                          record.service_,
                          {},
                          phaseOf(seen),
                          ageOf(node, seen),
                          node.watcher().isLeaving(id),
                          node.watcher().isStraggler(id)};
        if (row)
            vm.group_ = row->content_.group_;
        all.push_back(std::move(vm));
    }
    std::sort(all.begin(), all.end(),
              [](const auto &left, const auto &right) { return left.id_ < right.id_; });
    return all;
}

std::string siteWarning(const AvailabilityZone &zone, const RegionName &region,
                        const config::Configuration &configuration)
{
    const auto &sites = configuration.sites_;
    const auto site = std::find_if(sites.begin(), sites.end(),
                                   [&](const config::Site &each) { return each.zone_ == zone; });
    if (site == sites.end())
        return "the configuration has no site for zone '" + zone.text()
               + "': add an overlay for it, or correct zone in this entry VM's settings";
    if (site->region_ != region)
        return "zone '" + zone.text() + "' is in region '" + site->region_.text()
               + "' according to the configuration, but in '" + region.text()
               + "' according to this entry VM's settings: correct one of them";
    return {};
}

} // namespace cardamombay::control
