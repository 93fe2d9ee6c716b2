#include <cardamombay/groups/group_cache.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::groups {

namespace {

template<typename Id, typename Content>
bool updateIfNewer(std::map<Id, Versioned<Content>> &rows, const Id &id, const Content &content,
                   RowVersion version)
{
    auto &slot = rows[id];
    if (version <= slot.version_)
        return false;
    slot = Versioned<Content>{content, version};
    return true;
}

template<typename Id, typename Content>
const Versioned<Content> *find(const std::map<Id, Versioned<Content>> &rows, const Id &id)
{
    const auto found = rows.find(id);
    return found == rows.end() ? nullptr : &found->second;
}

} // namespace

GroupCache::GroupCache(Clock &clock, platform::TableStore &store, Random random,
                       GroupCacheSettings settings)
    : clock_(clock)
    , store_(store)
    , random_(random)
    , settings_(settings)
    , refreshedAt_(clock.now())
    , delay_(settings.refreshInterval_)
{
    // VMs are read last, so that a VM row is never older than the group row that names it.
    cursors_.push_back(Cursor{groupTable, {}, {}, {}});
    cursors_.push_back(Cursor{vmTable, {}, {}, {}});
}

GroupCache::~GroupCache()
{
    clock_.cancel(timer_);
}

void GroupCache::start()
{
    isStarted_ = true;
    refresh();
}

void GroupCache::refresh()
{
    if (!isRefreshing_)
        scheduleRefresh(Duration::zero());
}

void GroupCache::scheduleRefresh(Duration delay)
{
    clock_.cancel(timer_);
    timer_ = clock_.schedule(delay, [this] {
        timer_ = TimerId::None;
        startRefresh();
    });
}

void GroupCache::startRefresh()
{
    if (isRefreshing_)
        return;
    isRefreshing_ = true;
    startedAt_ = clock_.now();
    scanning_ = 0;
    for (Cursor &cursor : cursors_)
        cursor.after_.clear();
    scanNext();
}

void GroupCache::scanNext()
{
    const Cursor &cursor = cursors_[scanning_];
    platform::Scan scan;
    scan.table_ = cursor.table_;
    scan.after_ = cursor.after_;
    scan.changedAfter_ = cursor.syncedVersion_;
    auto onPage
        = [this, alive = std::weak_ptr<bool>(isAlive_)](const Result<platform::ScanPage> &result) {
              if (alive.expired())
                  return;
              if (isOk(result))
                  merge(valueOf(result));
              else
                  retryLater();
          };
    store_.scan(std::move(scan), std::move(onPage));
}

void GroupCache::merge(const platform::ScanPage &page)
{
    Cursor &cursor = cursors_[scanning_];
    if (cursor.after_.empty())
        cursor.next_ = page.storeVersion_; // Later pages may miss changes made after the first.
    for (const platform::Row &row : page.rows_)
        merge(row);
    if (!page.isLast_ && !page.rows_.empty()) {
        cursor.after_ = page.rows_.back().key_.key_;
        scanNext();
        return;
    }
    cursor.syncedVersion_ = std::max(cursor.syncedVersion_, cursor.next_);
    ++scanning_;
    if (scanning_ < cursors_.size())
        scanNext();
    else
        finish();
}

void GroupCache::merge(const platform::Row &row)
{
    if (row.key_.table_ == groupTable) {
        const Result<GroupRow> decoded = decodeGroupRow(row.value_);
        if (isOk(decoded))
            apply(valueOf(decoded), row.version_);
        return;
    }
    const Result<VmRow> decoded = decodeVmRow(row.value_);
    if (isOk(decoded))
        apply(valueOf(decoded), row.version_);
}

void GroupCache::apply(const GroupRow &row, RowVersion version)
{
    hasChanged_ |= updateIfNewer(groups_, row.group_, row, version);
}

void GroupCache::apply(const VmRow &row, RowVersion version)
{
    hasChanged_ |= updateIfNewer(vms_, row.vm_, row, version);
}

void GroupCache::retryLater()
{
    isRefreshing_ = false;
    delay_ = std::min(delay_ * 2, settings_.maxRetryDelay_);
    if (isStarted_)
        scheduleRefresh(std::chrono::duration_cast<Duration>(delay_ * (0.5 + random_.unit())));
}

void GroupCache::finish()
{
    isRefreshing_ = false;
    hasBeenRefreshed_ = true;
    refreshedAt_ = startedAt_;
    delay_ = settings_.refreshInterval_;
    if (isStarted_)
        scheduleRefresh(
            std::chrono::duration_cast<Duration>(delay_ * (0.9 + 0.2 * random_.unit())));
    if (std::exchange(hasChanged_, false) && changed_)
        changed_();
}

const Versioned<GroupRow> *GroupCache::group(const GroupId &group) const
{
    return find(groups_, group);
}

const Versioned<VmRow> *GroupCache::vm(const VmId &vm) const
{
    return find(vms_, vm);
}

std::vector<const GroupRow *> GroupCache::groupsOf(const ServiceName &service) const
{
    std::vector<const GroupRow *> found;
    for (const auto &[id, row] : groups_) {
        if (row.content_.service_ == service && !row.content_.isFreeSlot())
            found.push_back(&row.content_);
    }
    return found;
}

RowVersion GroupCache::syncedVersion() const
{
    return std::min(cursors_.front().syncedVersion_, cursors_.back().syncedVersion_);
}

} // namespace cardamombay::groups
