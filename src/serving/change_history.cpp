#include <cardamombay/serving/change_history.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// A reader that missed a removal from before this period lists the table again; the platform's own
/// feed goes back 20 s.
constexpr Duration removalRetention = std::chrono::seconds(10);

} // namespace

void ChangeHistory::restart(RowVersion version)
{
    changes_.clear();
    latestVersions_.clear();
    removals_.clear();
    completeAfter_ = version;
}

void ChangeHistory::add(EndpointChange change, TimePoint now)
{
    const auto [entry, isInserted] = latestVersions_.try_emplace(change.id_, change.version_);
    if (!isInserted) {
        changes_.erase({entry->second, change.id_});
        entry->second = change.version_;
    }
    if (!change.endpoint_)
        removals_.push_back({change.version_, change.id_, now});
    const auto key = std::pair(change.version_, change.id_);
    changes_.insert_or_assign(key, std::move(change));
    while (!removals_.empty() && now - removals_.front().at_ > removalRetention) {
        dropRemoval(removals_.front());
        removals_.pop_front();
    }
}

void ChangeHistory::dropRemoval(const Removal &removal)
{
    completeAfter_ = std::max(completeAfter_, removal.version_);
    const auto entry = latestVersions_.find(removal.id_);
    if (entry == latestVersions_.end() || entry->second != removal.version_)
        return; // The endpoint was listed again.
    latestVersions_.erase(entry);
    changes_.erase({removal.version_, removal.id_});
}

std::optional<EndpointRelay> ChangeHistory::after(RowVersion version) const
{
    if (completeAfter_.isNone() || version < completeAfter_ || changes_.empty()
        || changes_.rbegin()->first.first <= version)
        return std::nullopt;
    EndpointRelay relay;
    relay.after_ = version;
    relay.to_ = changes_.rbegin()->first.first;
    for (auto next = changes_.lower_bound({version.next(), VmId()}); next != changes_.end(); ++next)
        relay.changes_.push_back(next->second);
    return relay;
}

} // namespace cardamombay::serving
