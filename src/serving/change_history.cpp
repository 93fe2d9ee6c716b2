#include <cardamombay/serving/change_history.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cardamombay::serving {

namespace {

/// A reader that lags behind for longer lists the table anew; the platform's own feed goes back
/// 20 s.
constexpr Duration keptFor = std::chrono::seconds(10);
/// About four changes of each of 300 engines.
constexpr std::size_t mostKept = 1200;

} // namespace

void ChangeHistory::restart(RowVersion version)
{
    entries_.clear();
    from_ = version;
}

void ChangeHistory::add(EndpointChange change, TimePoint now)
{
    entries_.push_back({std::move(change), now});
    while (entries_.size() > mostKept || now - entries_.front().at_ > keptFor) {
        // Entries of one version belong together.
        from_ = std::max(from_, entries_.front().change_.version_);
        entries_.pop_front();
    }
}

std::optional<EndpointRelay> ChangeHistory::after(RowVersion version) const
{
    if (from_.isNone() || version < from_ || entries_.empty()
        || entries_.back().change_.version_ <= version)
        return std::nullopt;
    EndpointRelay relay;
    relay.after_ = version;
    relay.to_ = entries_.back().change_.version_;
    std::map<VmId, const EndpointChange *> latest;
    for (const auto &entry : entries_) {
        if (entry.change_.version_ > version)
            latest[entry.change_.id_] = &entry.change_;
    }
    for (const auto &[id, change] : latest)
        relay.changes_.push_back(*change);
    std::sort(relay.changes_.begin(), relay.changes_.end(),
              [](const EndpointChange &left, const EndpointChange &right) {
                  return left.version_ < right.version_;
              });
    return relay;
}

} // namespace cardamombay::serving
