#include <cardamombay/serving/reporters.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Missing sums for that long, four at 100 ms each, make a reporter count as failed. A reporter
/// that was killed is thus replaced within half a second.
constexpr Duration reporterTimeout = std::chrono::milliseconds(450);

/// How long a failed reporter is skipped before it is tried again. A killed process is back within
/// a second or two, and one that is gone for good stops being a peer after six seconds.
constexpr Duration reporterSkipTime = std::chrono::seconds(3);

/// Reporters per zone that receive sums from other zones, so that the second one has current data
/// when it takes over.
constexpr std::size_t reportersPerZone = 2;

} // namespace

Reporters::Reporters(EntryId self, AvailabilityZone zone)
    : self_(std::move(self))
    , zone_(std::move(zone))
{
}

/// Computes the order once per change of the peers; each digest only reads it.
void Reporters::setPeers(const std::map<EntryId, AvailabilityZone> &peers,
                         const std::map<EntryId, EntryCapacity> &capacities)
{
    const auto capacityOf = [&capacities](const EntryId &entry) {
        const auto known = capacities.find(entry);
        return known == capacities.end() ? EntryCapacity() : known->second;
    };
    std::map<AvailabilityZone, std::map<EntryId, EntryCapacity>> zones;
    zones[zone_].emplace(self_, capacityOf(self_));
    for (const auto &[entry, zone] : peers)
        zones[zone].emplace(entry, capacityOf(entry));
    peerCount_ = peers.size();
    ranked_.clear();
    for (const auto &[zone, entries] : zones)
        ranked_.emplace(zone, dutyOrder(zone.text(), entries));
}

/// The first \p count entry VMs that are not skipped.
std::vector<EntryId> Reporters::first(const std::vector<EntryId> &ranked, std::size_t count,
                                      TimePoint now) const
{
    std::vector<EntryId> result;
    for (const auto &entry : ranked) {
        if (result.size() == count)
            break;
        const auto skipped = skippedUntil_.find(entry);
        if (entry == self_ || skipped == skippedUntil_.end() || now >= skipped->second)
            result.push_back(entry);
    }
    return result;
}

std::optional<EntryId> Reporters::own(TimePoint now) const
{
    const auto ranked = ranked_.find(zone_);
    if (ranked == ranked_.end())
        return std::nullopt;
    auto reporter = first(ranked->second, 1, now).front();
    return reporter == self_ ? std::nullopt : std::optional(std::move(reporter));
}

std::vector<EntryId> Reporters::others(TimePoint now) const
{
    std::vector<EntryId> result;
    for (const auto &[zone, ranked] : ranked_) {
        if (zone == zone_)
            continue;
        const auto entries = first(ranked, reportersPerZone, now);
        result.insert(result.end(), entries.begin(), entries.end());
    }
    return result;
}

void Reporters::heard(const EntryId &reporter, TimePoint now)
{
    if (reporter == awaitedReporter_)
        heardAt_ = now;
}

void Reporters::check(TimePoint now)
{
    const auto reporter = own(now);
    if (!reporter) {
        awaitedReporter_ = {};
        return;
    }
    if (*reporter != awaitedReporter_) {
        awaitedReporter_ = *reporter;
        heardAt_ = now;
        return;
    }
    if (now - heardAt_ > reporterTimeout)
        skippedUntil_[*reporter] = now + reporterSkipTime;
}

} // namespace cardamombay::serving
