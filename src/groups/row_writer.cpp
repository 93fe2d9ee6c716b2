#include "row_writer.hpp"

#include <cardamombay/core/hash.hpp>
#include <cardamombay/groups/events.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::groups::impl {

namespace {

platform::CommitPolicy commitPolicy()
{
    platform::CommitPolicy policy;
    policy.deadline_ = std::chrono::seconds(3);
    return policy;
}

} // namespace

RowWriter::RowWriter(Clock &clock, platform::TableStore &store, leases::LeaseKeeper &lease,
                     DecisionSink &decisions, const ManagerSettings &settings, const EntryId &self,
                     Incarnation incarnation)
    : clock_(clock)
    , lease_(lease)
    , decisions_(decisions)
    , settings_(settings)
    , random_(stableHash(self.text(), incarnation.value()))
    , tokens_(EntryId(self.text() + ".groups." + lease.domain().text()), incarnation)
    , commits_(clock, store, random_, commitPolicy())
{
}

VmRow RowWriter::freeRow(const VmId &vm) const
{
    return {vm, lease_.domain(), {}, {}, lease_.epoch()};
}

void RowWriter::form(GroupRow row)
{
    const Versioned<GroupRow> *before = groupCache_->group(row.group_);
    row.generation_ = before == nullptr ? Generation(1) : before->content_.generation_.next();
    row.epoch_ = lease_.epoch();
    Change change{events::groupFormed, row.group_.text(), row.reason_, {}, {}};
    for (const VmId &member : row.members_)
        change.vms_.push_back({member, row.domain_, row.group_, row.generation_, row.epoch_});
    if (before != nullptr && before->content_.domain_ == row.domain_) {
        for (const VmId &member : before->content_.members_) {
            if (!row.rankOf(member))
                change.vms_.push_back(freeRow(member));
        }
    }
    forming_.emplace(row.group_, row.service_);
    change.groups_.push_back(std::move(row));
    commit(std::move(change));
}

void RowWriter::drain(const GroupRow &row, std::string reason)
{
    GroupRow draining = row;
    draining.phase_ = GroupPhase::Draining;
    draining.epoch_ = lease_.epoch();
    draining.reason_ = reason;
    commit({events::groupDraining, row.group_.text(), std::move(reason), {draining}, {}});
}

void RowWriter::dissolve(const GroupRow &row, std::string reason)
{
    GroupRow dissolved = row;
    dissolved.phase_ = GroupPhase::Dissolved;
    dissolved.epoch_ = lease_.epoch();
    dissolved.members_.clear();
    dissolved.reason_ = reason;
    Change change{events::groupDissolved, row.group_.text(), std::move(reason), {dissolved}, {}};
    for (const VmId &member : row.members_)
        change.vms_.push_back(freeRow(member));
    commit(std::move(change));
}

void RowWriter::freeVms(const std::vector<VmId> &vms)
{
    Change change{events::vmsFreed, lease_.domain().text(), "formation-over", {}, {}};
    for (const VmId &vm : vms)
        change.vms_.push_back(freeRow(vm));
    commit(std::move(change));
}

void RowWriter::commit(Change change)
{
    platform::Transaction transaction;
    transaction.writer_ = tokens_.next();
    transaction.conditions_.push_back(lease_.fence());
    for (const GroupRow &row : change.groups_) {
        const auto *known = groupCache_->group(row.group_);
        transaction.conditions_.push_back(
            {groupKey(row.group_), known == nullptr ? RowVersion{} : known->version_});
        transaction.writes_.push_back({groupKey(row.group_), encode(row)});
    }
    for (const VmRow &row : change.vms_) {
        const auto *known = groupCache_->vm(row.vm_);
        transaction.conditions_.push_back(
            {vmKey(row.vm_), known == nullptr ? RowVersion{} : known->version_});
        transaction.writes_.push_back({vmKey(row.vm_), encode(row)});
    }
    reserve(change);
    commits_.commit(std::move(transaction),
                    [this, tenure = std::weak_ptr(tenure_),
                     change = std::move(change)](const Result<platform::CommitReceipt> &result) {
                        if (!tenure.expired())
                            finish(change, result);
                    });
}

void RowWriter::finish(const Change &change, const Result<platform::CommitReceipt> &result)
{
    unreserve(change);
    if (isOk(result)) {
        for (const GroupRow &row : change.groups_)
            groupCache_->apply(row, valueOf(result).version_);
        for (const VmRow &row : change.vms_)
            groupCache_->apply(row, valueOf(result).version_);
        decisions_.record({clock_.now(), change.event_, change.subject_, change.reason_, {}, {}});
        return;
    }
    groupCache_->refresh();
    if (!isError<StoreConflict>(result)) {
        resumeAt_ = clock_.now()
                    + std::chrono::duration_cast<Duration>(settings_.minCommitBackoff_
                                                           * (1 + random_.unit()));
    }
    decisions_.record({clock_.now(),
                       events::commitFailed,
                       change.subject_,
                       change.event_,
                       {{"error", messageOf(errorOf(result))}},
                       {}});
}

void RowWriter::reserve(const Change &change)
{
    for (const GroupRow &row : change.groups_)
        busyGroups_.insert(row.group_);
    for (const VmRow &row : change.vms_)
        busyVms_.insert(row.vm_);
}

void RowWriter::unreserve(const Change &change)
{
    for (const GroupRow &row : change.groups_) {
        busyGroups_.erase(row.group_);
        forming_.erase(row.group_);
    }
    for (const VmRow &row : change.vms_)
        busyVms_.erase(row.vm_);
}

void RowWriter::clear()
{
    busyGroups_.clear();
    busyVms_.clear();
    forming_.clear();
    tenure_ = std::make_shared<bool>(true);
}

} // namespace cardamombay::groups::impl
