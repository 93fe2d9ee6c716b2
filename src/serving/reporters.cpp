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

/// Further members of a silent zone that receive sums in each period. They take turns, so that in a
/// zone of 22 each is reached within 1.1 s at the cost of two datagrams per period.
constexpr std::size_t searchedPerPeriod = 2;
constexpr Duration searchPeriod = std::chrono::milliseconds(100);

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

/// The members of a silent zone whose turn it is.
std::vector<EntryId> Reporters::searched(const std::vector<EntryId> &ranked, TimePoint now)
{
    const auto turn = static_cast<std::size_t>(now.time_since_epoch() / searchPeriod);
    std::vector<EntryId> result;
    for (std::size_t i = 0; i < searchedPerPeriod; ++i)
        result.push_back(ranked[(turn * searchedPerPeriod + i) % ranked.size()]);
    return result;
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

std::vector<EntryId> Reporters::likely(std::size_t count) const
{
    std::vector<EntryId> result;
    const auto ranked = ranked_.find(zone_);
    if (ranked == ranked_.end())
        return result;
    for (const auto &entry : ranked->second) {
        if (result.size() < count && entry != self_)
            result.push_back(entry);
    }
    return result;
}

std::vector<EntryId> Reporters::others(TimePoint now) const
{
    std::vector<EntryId> result;
    for (const auto &[zone, ranked] : ranked_) {
        if (zone == zone_)
            continue;
        auto entries = first(ranked, reportersPerZone, now);
        const auto add = [&entries](const EntryId &entry) {
            if (std::find(entries.begin(), entries.end(), entry) == entries.end())
                entries.push_back(entry);
        };
        if (const auto found = zoneReporters_.find(zone); found != zoneReporters_.end()) {
            for (const auto &[entry, heardAt] : found->second) {
                if (now - heardAt <= reporterTimeout)
                    add(entry);
            }
        }
        const auto heard = zoneHeardAt_.find(zone);
        if (heard != zoneHeardAt_.end() && now - heard->second > reporterTimeout) {
            for (const auto &entry : searched(ranked, now))
                add(entry);
        }
        result.insert(result.end(), entries.begin(), entries.end());
    }
    return result;
}

void Reporters::heardZone(const AvailabilityZone &zone, const EntryId &reporter, TimePoint now)
{
    zoneReporters_[zone][reporter] = now;
    zoneHeardAt_[zone] = now;
}

/// Only a reporter receives sums of other zones regularly, so others expect none.
void Reporters::awaitZones(bool isReporter, TimePoint now)
{
    std::erase_if(zoneHeardAt_, [this](const auto &one) { return !ranked_.contains(one.first); });
    for (const auto &[zone, ranked] : ranked_) {
        const auto [place, isNew] = zoneHeardAt_.try_emplace(zone, now);
        if (!isReporter)
            place->second = now;
    }
    for (auto &[zone, reporters] : zoneReporters_) {
        std::erase_if(reporters,
                      [now](const auto &one) { return now - one.second > reporterTimeout; });
    }
}

void Reporters::heard(const EntryId &reporter, TimePoint now)
{
    if (reporter == awaitedReporter_)
        heardAt_ = now;
}

void Reporters::check(TimePoint now)
{
    const auto reporter = own(now);
    awaitZones(!reporter, now);
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
