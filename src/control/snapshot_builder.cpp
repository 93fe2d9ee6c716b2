#include <cardamombay/control/snapshot_builder.hpp>

#include <algorithm>

namespace cardamombay::control {

using routing::SnapshotGroup;
using routing::SnapshotService;

namespace {

/// Builds the services and groups of one snapshot.
class Builder
{
public:
    explicit Builder(const SnapshotInput &input)
        : input_(input)
    {
    }

    SnapshotService modelService(const config::Service &service) const
    {
        SnapshotService built{service.name_, {}};
        for (const groups::GroupRow *row : input_.groupCache_.groupsOf(service.name_)) {
            if (row->isActive() && !row->members_.empty())
                built.groups_.push_back(modelGroup(service, *row));
        }
        return built;
    }

    SnapshotService plainService(const config::Service &service) const
    {
        SnapshotService built{service.name_, {}};
        for (const auto &[id, record] : input_.vms_) {
            if (record.role_ == platform::VmRole::Plain && record.service_ == service.name_)
                built.groups_.push_back(plainGroup(service, record));
        }
        std::sort(built.groups_.begin(), built.groups_.end(),
                  [](const auto &left, const auto &right) { return left.group_ < right.group_; });
        return built;
    }

private:
    SnapshotGroup modelGroup(const config::Service &service, const groups::GroupRow &row) const
    {
        SnapshotGroup group;
        group.group_ = row.group_;
        group.generation_ = row.generation_;
        group.zone_ = row.zone_;
        group.domain_ = row.domain_;
        group.model_ = row.model_;
        group.role_ = row.role_;
        group.leader_ = row.members_.front();
        group.members_ = row.members_;
        group.capacity_ = service.requestsPerReplica_;
        group.freshUntil_ = groupFreshUntil(row, input_.watcher_);
        for (const VmId &member : row.members_) {
            group.isVetoed_ = group.isVetoed_ || input_.watcher_.isLeaving(member);
            group.isStraggler_ = group.isStraggler_ || input_.watcher_.isStraggler(member);
        }
        setLeaderFields(group);
        return group;
    }

    SnapshotGroup plainGroup(const config::Service &service, const platform::VmRecord &record) const
    {
        SnapshotGroup group;
        group.group_ = GroupId(record.id_.text());
        group.generation_ = Generation(1);
        group.zone_ = record.zone_;
        group.leader_ = record.id_;
        group.members_ = {record.id_};
        group.capacity_ = service.requestsPerReplica_;
        group.freshUntil_ = readyUntil(record.id_);
        group.isVetoed_ = input_.watcher_.isLeaving(record.id_);
        group.isStraggler_ = input_.watcher_.isStraggler(record.id_);
        setLeaderFields(group);
        return group;
    }

    /// Sets address and load, which come from the member that receives the requests.
    void setLeaderFields(SnapshotGroup &group) const
    {
        const auto record = input_.vms_.find(group.leader_);
        if (record == input_.vms_.end())
            group.freshUntil_ = TimePoint{};
        else
            group.address_ = record->second.address_;
        if (const auto *seen = input_.watcher_.observation(group.leader_)) {
            group.load_ = seen->state_.load_;
            group.loadTakenAt_ = seen->observedAt_ - seen->state_.load_.lag_;
        }
        const auto load = input_.peerLoad_.find(group.group_);
        group.peerInFlight_ = load == input_.peerLoad_.end() ? 0 : load->second;
    }

    TimePoint readyUntil(const VmId &vm) const
    {
        const auto *seen = input_.watcher_.observation(vm);
        const bool isReady = seen && seen->state_.phase_ == endpoint::EnginePhase::Ready;
        return isReady ? input_.watcher_.freshUntil(vm) : TimePoint{};
    }

    const SnapshotInput &input_;
};

} // namespace

TimePoint groupFreshUntil(const groups::GroupRow &group, const watching::EndpointWatcher &watcher)
{
    TimePoint earliest = TimePoint::max();
    for (const VmId &member : group.members_) {
        const auto *seen = watcher.observation(member);
        if (!seen || !group.isMatchedBy(seen->state_))
            return TimePoint{};
        earliest = std::min(earliest, watcher.freshUntil(member));
    }
    return group.members_.empty() ? TimePoint{} : earliest;
}

std::vector<SnapshotService> buildServices(const SnapshotInput &input)
{
    std::vector<SnapshotService> services;
    if (!input.configuration_)
        return services;
    const Builder builder(input);
    for (const config::Service &service : input.configuration_->services_) {
        const bool isModel = service.kind_ == config::ServiceKind::Model;
        services.push_back(isModel ? builder.modelService(service) : builder.plainService(service));
    }
    return services;
}

} // namespace cardamombay::control
