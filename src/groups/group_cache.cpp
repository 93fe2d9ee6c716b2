#include <cardamombay/groups/group_cache.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::groups {

namespace {

template<typename Id, typename Content>
bool moveForward(std::map<Id, Versioned<Content>> &rows, const Id &id, const Content &content,
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
    , delay_(settings.refreshEvery_)
{
    // VMs last: a VM row is then never older than the group row that names it.
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
        arm(Duration::zero());
}

void GroupCache::arm(Duration delay)
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
    scan.changedAfter_ = cursor.completeTo_;
    auto taken
        = [this, alive = std::weak_ptr<bool>(isAlive_)](const Result<platform::ScanPage> &result) {
              if (alive.expired())
                  return;
              if (isOk(result))
                  take(valueOf(result));
              else
                  fail();
          };
    store_.scan(std::move(scan), std::move(taken));
}

void GroupCache::take(const platform::ScanPage &page)
{
    Cursor &cursor = cursors_[scanning_];
    if (cursor.after_.empty())
        cursor.next_ = page.storeVersion_; // Later pages may miss what changed since the first.
    for (const platform::Row &row : page.rows_)
        take(row);
    if (!page.isLast_ && !page.rows_.empty()) {
        cursor.after_ = page.rows_.back().key_.key_;
        scanNext();
        return;
    }
    cursor.completeTo_ = std::max(cursor.completeTo_, cursor.next_);
    ++scanning_;
    if (scanning_ < cursors_.size())
        scanNext();
    else
        finish();
}

void GroupCache::take(const platform::Row &row)
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
    hasChanged_ |= moveForward(groups_, row.group_, row, version);
}

void GroupCache::apply(const VmRow &row, RowVersion version)
{
    hasChanged_ |= moveForward(vms_, row.vm_, row, version);
}

void GroupCache::fail()
{
    isRefreshing_ = false;
    delay_ = std::min(delay_ * 2, settings_.longestRetryDelay_);
    if (isStarted_)
        arm(std::chrono::duration_cast<Duration>(delay_ * (0.5 + random_.unit())));
}

void GroupCache::finish()
{
    isRefreshing_ = false;
    hasBeenRefreshed_ = true;
    refreshedAt_ = startedAt_;
    delay_ = settings_.refreshEvery_;
    if (isStarted_)
        arm(std::chrono::duration_cast<Duration>(delay_ * (0.9 + 0.2 * random_.unit())));
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

RowVersion GroupCache::completeTo() const
{
    return std::min(cursors_.front().completeTo_, cursors_.back().completeTo_);
}

} // namespace cardamombay::groups
