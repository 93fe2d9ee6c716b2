/// \file
/// \brief Transactions that change which VMs belong to which group.
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

/// \brief Writes group rows with the rows of their VMs, each change in one transaction.
/// \details Each transaction has conditions on the epoch of the planner lease, on the group row
/// and on every VM row it writes. So a transaction of a former planner, or one that arrives late,
/// changes nothing.
class RowWriter
{
public:
    RowWriter(Clock &clock, platform::TableStore &store, leases::LeaseKeeper &lease,
              DecisionSink &decisions, const ManagerSettings &settings, const EntryId &self,
              Incarnation incarnation);

    /// \brief Board that the conditions are taken from; to be set before each use.
    void setBoard(GroupCache *board) { groupCache_ = board; }

    /// \brief Writes the next formation of a slot.
    /// \param row the formation; generation and epoch are filled in.
    void form(GroupRow row);

    /// \brief Writes the row as draining.
    void drain(const GroupRow &row, std::string reason);

    /// \brief Frees the slot and its VMs.
    void dissolve(const GroupRow &row, std::string reason);

    /// \brief Frees VM rows that name a formation which is over.
    void freeVms(const std::vector<VmId> &vms);

    /// \name Under way
    /// \{
    [[nodiscard]] bool isBusy(const GroupId &group) const { return busyGroups_.contains(group); }
    /// \brief True while the table service is given time after it failed.
    [[nodiscard]] bool isPausing() const { return clock_.now() < resumeAt_; }
    [[nodiscard]] bool isReserved(const VmId &vm) const { return busyVms_.contains(vm); }
    [[nodiscard]] const std::map<GroupId, ServiceName> &formingSlots() const { return forming_; }
    /// \}

    /// \brief Forgets everything, as at the begin of a tenure.
    void clear();

private:
    /// One change on its way to the table service.
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
