#include <cardamombay/serving/reporters.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Four sums of 100 ms are missed by then; a reporter that was killed is replaced half a second
/// after.
constexpr Duration longestSilence = std::chrono::milliseconds(450);

/// A reporter that was passed over is tried again then; a killed process is back within a second or
/// two, and one that is gone for good is no longer a peer after six.
constexpr Duration passedOverFor = std::chrono::seconds(3);

/// Reporters that hear from other zones; the second one takes over with fresh news.
constexpr std::size_t perZone = 2;

} // namespace

Reporters::Reporters(EntryId self, AvailabilityZone zone)
    : self_(std::move(self))
    , zone_(std::move(zone))
{
}

std::vector<EntryId> Reporters::ranked(const AvailabilityZone &zone, TimePoint now) const
{
    std::map<EntryId, EntryCapacity> result;
    const auto add = [&](const EntryId &entry) {
        const auto known = capacities_.find(entry);
        result.emplace(entry, known == capacities_.end() ? 0 : known->second);
    };
    if (zone == zone_)
        add(self_);
    for (const auto &[entry, place] : peers_) {
        const auto passedOver = passedOverUntil_.find(entry);
        const bool isPassedOver = passedOver != passedOverUntil_.end() && now < passedOver->second;
        if (place == zone && !isPassedOver)
            add(entry);
    }
    return dutyOrder(zone.text(), result);
}

std::optional<EntryId> Reporters::own(TimePoint now) const
{
    auto first = ranked(zone_, now).front();
    return first == self_ ? std::nullopt : std::optional(std::move(first));
}

std::vector<EntryId> Reporters::others(TimePoint now) const
{
    std::vector<AvailabilityZone> zones;
    for (const auto &[entry, zone] : peers_) {
        if (zone != zone_ && std::find(zones.begin(), zones.end(), zone) == zones.end())
            zones.push_back(zone);
    }
    std::vector<EntryId> result;
    for (const auto &zone : zones) {
        auto entries = ranked(zone, now);
        entries.resize(std::min(entries.size(), perZone));
        result.insert(result.end(), entries.begin(), entries.end());
    }
    return result;
}

void Reporters::heard(const EntryId &reporter, TimePoint now)
{
    if (reporter == awaited_)
        heardAt_ = now;
}

void Reporters::check(TimePoint now)
{
    const auto reporter = own(now);
    if (!reporter) {
        awaited_ = {};
        return;
    }
    if (*reporter != awaited_) {
        awaited_ = *reporter;
        heardAt_ = now;
        return;
    }
    if (now - heardAt_ > longestSilence)
        passedOverUntil_[*reporter] = now + passedOverFor;
}

} // namespace cardamombay::serving
