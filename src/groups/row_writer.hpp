/// \file
/// \brief Commits the transactions that change which VMs belong to which group.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/groups/group_cache.hpp>
#include <cardamombay/groups/manager_settings.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/platform/reliable_commit.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::groups::impl {

/// \brief Writes a group row together with the rows of its VMs in one transaction.
/// \details Each transaction is conditioned on the epoch of the planner lease, on the group row
/// and on every VM row it writes, so that a late transaction or one of a former lease holder fails.
class RowWriter
{
public:
    RowWriter(Clock &clock, platform::TableStore &store, leases::LeaseKeeper &lease,
              DecisionSink &decisions, const ManagerSettings &settings, const EntryId &self,
              Incarnation incarnation);

    /// \brief Sets the cache that provides the row versions of the conditions; required before use.
    void setGroupCache(GroupCache *groupCache) { groupCache_ = groupCache; }

    /// \brief Writes the next formation of a slot.
    /// \param row the formation; form() sets its generation and epoch.
    void form(GroupRow row);

    /// \brief Sets the phase of the row to draining.
    void drain(const GroupRow &row, std::string reason);

    /// \brief Frees the slot and its VMs.
    void dissolve(const GroupRow &row, std::string reason);

    /// \brief Frees VM rows that name a former formation.
    void freeVms(const std::vector<VmId> &vms);

    /// \name Pending transactions
    /// \{
    [[nodiscard]] bool isBusy(const GroupId &group) const { return busyGroups_.contains(group); }
    /// \brief True during the backoff after a failure of the table service.
    [[nodiscard]] bool isBackingOff() const { return clock_.now() < resumeAt_; }
    [[nodiscard]] bool isReserved(const VmId &vm) const { return busyVms_.contains(vm); }
    [[nodiscard]] const std::map<GroupId, ServiceName> &formingSlots() const { return forming_; }
    /// \}

    /// \brief Discards all state, at the start or end of a tenure.
    void clear();

private:
    /// Rows of one transaction, and the event to record when it is committed.
    struct Change
    {
        const char *event_ = "";
        std::string subject_;
        std::string reason_;
        std::vector<GroupRow> groups_;
        std::vector<VmRow> vms_;
    };

    [[nodiscard]] VmRow freeRow(const VmId &vm) const;
    void commit(Change change);
    void finish(const Change &change, const Result<platform::CommitReceipt> &result);
    void reserve(const Change &change);
    void unreserve(const Change &change);

    Clock &clock_;
    leases::LeaseKeeper &lease_;
    DecisionSink &decisions_;
    const ManagerSettings &settings_;
    Random random_;
    platform::WriterTokens tokens_;
    platform::ReliableCommit commits_;
    GroupCache *groupCache_ = nullptr;
    TimePoint resumeAt_{};
    std::set<GroupId> busyGroups_;
    std::set<VmId> busyVms_;
    std::map<GroupId, ServiceName> forming_;
    std::shared_ptr<bool> tenure_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::groups::impl
