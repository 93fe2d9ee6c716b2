#include <cardamombay/serving/change_history.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// A reader that still knows an endpoint which ended longer ago lists the table anew; the
/// platform's own feed goes back 20 s.
constexpr Duration endsKeptFor = std::chrono::seconds(10);

} // namespace

void ChangeHistory::restart(RowVersion version)
{
    changes_.clear();
    versions_.clear();
    ends_.clear();
    from_ = version;
}

void ChangeHistory::add(EndpointChange change, TimePoint now)
{
    const auto [known, isNew] = versions_.try_emplace(change.id_, change.version_);
    if (!isNew) {
        changes_.erase({known->second, change.id_});
        known->second = change.version_;
    }
    if (!change.endpoint_)
        ends_.push_back({change.version_, change.id_, now});
    const auto key = std::pair(change.version_, change.id_);
    changes_.insert_or_assign(key, std::move(change));
    while (!ends_.empty() && now - ends_.front().at_ > endsKeptFor) {
        forget(ends_.front());
        ends_.pop_front();
    }
}

void ChangeHistory::forget(const End &end)
{
    from_ = std::max(from_, end.version_);
    const auto known = versions_.find(end.id_);
    if (known == versions_.end() || known->second != end.version_)
        return; // The endpoint is listed again.
    versions_.erase(known);
    changes_.erase({end.version_, end.id_});
}

std::optional<EndpointRelay> ChangeHistory::after(RowVersion version) const
{
    if (from_.isNone() || version < from_ || changes_.empty()
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
