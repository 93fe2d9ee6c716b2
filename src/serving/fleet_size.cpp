#include <cardamombay/serving/fleet_size.hpp>

namespace cardamombay::serving {

void FleetSize::present(const EntryId &entry, TimePoint now)
{
    entries_.try_emplace(entry, Times{now, {}}).first->second.until_ = now + silenceLimit;
}

void FleetSize::left(const EntryId &entry, Duration forgetAfter, TimePoint now)
{
    if (const auto found = entries_.find(entry); found != entries_.end())
        found->second.until_ = now + forgetAfter;
}

void FleetSize::expire(TimePoint now)
{
    std::erase_if(entries_, [now](const auto &one) { return one.second.until_ <= now; });
}

bool FleetSize::isKnownSince(const EntryId &entry, TimePoint when) const
{
    const auto found = entries_.find(entry);
    return found != entries_.end() && found->second.since_ < when;
}

} // namespace cardamombay::serving
