#include <cardamombay/serving/evacuations.hpp>

#include <utility>

namespace cardamombay::serving {

bool Evacuations::listed(std::set<AvailabilityZone> zones, RowVersion version, bool keepsKnown)
{
    if (version < state_.version_)
        return false;
    // The version stays unset until a zone is evacuated for the first time.
    if (zones.empty() && state_.version_.isNone())
        return false;
    if (keepsKnown)
        zones.insert(state_.zones_.begin(), state_.zones_.end());
    state_.version_ = version;
    return set(std::move(zones));
}

bool Evacuations::changed(const AvailabilityZone &zone, bool isEvacuated, RowVersion version)
{
    if (version <= state_.version_)
        return false;
    state_.version_ = version;
    auto zones = state_.zones_;
    if (isEvacuated)
        zones.insert(zone);
    else
        zones.erase(zone);
    return set(std::move(zones));
}

bool Evacuations::take(const EvacuationState &state)
{
    if (state.version_ <= state_.version_)
        return false;
    state_.version_ = state.version_;
    return set(state.zones_);
}

bool Evacuations::set(std::set<AvailabilityZone> zones)
{
    if (zones == state_.zones_)
        return false;
    state_.zones_ = std::move(zones);
    return true;
}

} // namespace cardamombay::serving
