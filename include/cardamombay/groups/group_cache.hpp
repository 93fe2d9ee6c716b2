/// \file
/// \brief Cached group and VM rows of the table service.
///
/// Every entry VM keeps a board: routers learn from it which VMs make up a group, planners which
/// VMs are free. It never writes. Rows only move forward: a stale read never brings back an older
/// version. A stale board costs availability only, since routers also match what members report.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/groups/group_row.hpp>
#include <cardamombay/groups/vm_row.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cardamombay::groups {

/// \brief Pace of the board's refreshes.
struct GroupCacheSettings
{
    Duration refreshEvery_ = std::chrono::seconds(1);
    Duration longestRetryDelay_ = std::chrono::seconds(5);
};

/// \brief A row with its version in the table service.
template<typename Content>
struct Versioned
{
    Content content_;
    RowVersion version_;
};

/// \brief Forward-only cache of the tables "groups" and "vms".
class GroupCache
{
public:
    GroupCache(Clock &clock, platform::TableStore &store, Random random,
               GroupCacheSettings settings = {});
    GroupCache(const GroupCache &) = delete;
    GroupCache &operator=(const GroupCache &) = delete;
    ~GroupCache();

    /// \brief Refreshes now and then periodically.
    void start();

    /// \brief Refreshes soon, outside the period; several calls give one refresh.
    void refresh();

    /// \brief Time between refreshes; raise it with the number of entry VMs.
    void setRefreshInterval(Duration period) { settings_.refreshEvery_ = period; }

    /// \brief Called when a row has changed.
    void onChange(std::function<void()> action) { changed_ = std::move(action); }

    /// \brief Takes in rows that the owner itself has written with \p version.
    void apply(const GroupRow &row, RowVersion version);
    /// \overload
    void apply(const VmRow &row, RowVersion version);

    /// \name Rows
    /// \{
    [[nodiscard]] const std::map<GroupId, Versioned<GroupRow>> &groups() const { return groups_; }
    [[nodiscard]] const std::map<VmId, Versioned<VmRow>> &vms() const { return vms_; }
    /// \brief The row of \p group, or null.
    [[nodiscard]] const Versioned<GroupRow> *group(const GroupId &group) const;
    /// \brief The row of \p vm, or null.
    [[nodiscard]] const Versioned<VmRow> *vm(const VmId &vm) const;
    /// \brief Groups of a service that are not dissolved.
    [[nodiscard]] std::vector<const GroupRow *> groupsOf(const ServiceName &service) const;
    /// \}

    /// \name Staleness
    /// \{

    /// \brief Commit up to which all rows of both tables are known.
    [[nodiscard]] RowVersion completeTo() const;
    /// \brief Time since the start of the last refresh that succeeded.
    [[nodiscard]] Duration age() const { return clock_.now() - refreshedAt_; }
    [[nodiscard]] bool hasBeenRefreshed() const { return hasBeenRefreshed_; }
    /// \}

private:
    /// One table's progress.
    struct Cursor
    {
        std::string table_;
        RowVersion completeTo_;
        RowVersion next_;   ///< completeTo_ once the last page is in.
        std::string after_; ///< Key after which the next page begins.
    };

    void arm(Duration delay);
    void startRefresh();
    void scanNext();
    void take(const platform::ScanPage &page);
    void take(const platform::Row &row);
    void fail();
    void finish();

    Clock &clock_;
    platform::TableStore &store_;
    Random random_;
    GroupCacheSettings settings_;
    std::function<void()> changed_;
    std::map<GroupId, Versioned<GroupRow>> groups_;
    std::map<VmId, Versioned<VmRow>> vms_;
    std::vector<Cursor> cursors_;
    std::size_t scanning_ = 0;
    bool isStarted_ = false;
    bool isRefreshing_ = false;
    bool hasBeenRefreshed_ = false;
    bool hasChanged_ = false;
    TimePoint startedAt_{};
    TimePoint refreshedAt_{};
    Duration delay_{};
    TimerId timer_ = TimerId::None;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::groups
