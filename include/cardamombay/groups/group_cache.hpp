/// \file
/// \brief Read-only cache of the group and VM rows of the table service.
///
/// Every entry VM has one: routers look up the members of a group in it, planners the free VMs. A
/// cached row is only ever replaced by a newer version, so a stale read cannot revert it. A stale
/// cache reduces availability but not safety, since routers also check what the members report.
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

/// \brief Refresh interval and retry delay of a GroupCache.
struct GroupCacheSettings
{
    Duration refreshInterval_ = std::chrono::seconds(1);
    Duration maxRetryDelay_ = std::chrono::seconds(5);
};

/// \brief A row with its version in the table service.
template<typename Content>
struct Versioned
{
    Content content_;
    RowVersion version_;
};

/// \brief Cache of the tables "groups" and "vms" that keeps the newest version of each row.
class GroupCache
{
public:
    GroupCache(Clock &clock, platform::TableStore &store, Random random,
               GroupCacheSettings settings = {});
    GroupCache(const GroupCache &) = delete;
    GroupCache &operator=(const GroupCache &) = delete;
    ~GroupCache();

    /// \brief Refreshes at once and periodically from then on.
    void start();

    /// \brief Schedules an extra refresh; does nothing while a refresh is in progress.
    void refresh();

    /// \brief Sets the refresh interval, which should grow with the number of entry VMs.
    void setRefreshInterval(Duration period) { settings_.refreshInterval_ = period; }

    /// \brief Sets the callback for the end of a refresh after which some row differs.
    void onChange(std::function<void()> action) { changed_ = std::move(action); }

    /// \brief Stores a row that this process has itself committed as \p version.
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

    /// \brief Store version up to which all commits to both tables are cached.
    [[nodiscard]] RowVersion syncedVersion() const;
    /// \brief Time since the start of the last successful refresh.
    [[nodiscard]] Duration age() const { return clock_.now() - refreshedAt_; }
    [[nodiscard]] bool hasBeenRefreshed() const { return hasBeenRefreshed_; }
    /// \}

private:
    /// Scan state of one table.
    struct Cursor
    {
        std::string table_;
        RowVersion syncedVersion_;
        RowVersion next_;   ///< Becomes syncedVersion_ after the last page.
        std::string after_; ///< Last key of the previous page.
    };

    void scheduleRefresh(Duration delay);
    void startRefresh();
    void scanNext();
    void merge(const platform::ScanPage &page);
    void merge(const platform::Row &row);
    void retryLater();
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
