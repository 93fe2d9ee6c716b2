// Evacuated availability zones, which get no requests; operators write them beside the
// configuration.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

namespace cardamombay::serving {

namespace {

constexpr std::string_view heardFromStore = "store";
constexpr std::string_view heardFromListing = "listing";
constexpr std::string_view returnReason = "zone-returned";

} // namespace

void Node::operatorsListed(const std::vector<platform::Row> &rows)
{
    std::set<AvailabilityZone> zones;
    for (const auto &row : rows) {
        if (row.key_.key_ == parts_.format_.configurationKey())
            applyConfiguration(row.value_, row.version_);
        else if (const auto zone = parts_.format_.evacuatedZone(row.key_.key_))
            zones.insert(*zone);
    }
    const auto before = evacuations_.zones();
    const bool isSettled = !isSettling(parts_.clock_.now());
    if (evacuations_.listed(std::move(zones), configurationWatch_.version(), !isSettled))
        evacuationsChanged(before, heardFromListing);
}

void Node::operatorRowChanged(const platform::RowChange &change)
{
    const auto &row = change.row_;
    if (row.key_.key_ == parts_.format_.configurationKey()) {
        if (!change.isRemoved_)
            applyConfiguration(row.value_, row.version_);
        return;
    }
    const auto zone = parts_.format_.evacuatedZone(row.key_.key_);
    if (!zone)
        return;
    if (zone->isEmpty()) {
        log::warning(event::evacuationRefused,
                     {{"row", row.key_.key_}, {"remedy", "name the zone in the row's key"}});
        return;
    }
    const auto before = evacuations_.zones();
    if (evacuations_.changed(*zone, !change.isRemoved_, row.version_))
        evacuationsChanged(before, heardFromStore);
}

/// \param before the zones that were evacuated before the change.
/// \param source where the change was learned from, for the log.
void Node::evacuationsChanged(const std::set<AvailabilityZone> &before, std::string_view source)
{
    const auto &zones = evacuations_.zones();
    parts_.endpointRegistry_.setEvacuated(zones);
    parts_.gateway_.countEvacuated(zones.size());
    for (const auto &zone : zones) {
        if (!before.contains(zone))
            zoneEvacuated(zone, source);
    }
    for (const auto &zone : before) {
        if (!zones.contains(zone))
            zoneReturned(zone, source);
    }
}

void Node::zoneEvacuated(const AvailabilityZone &zone, std::string_view source) const
{
    log::info(event::zoneEvacuated,
              {{"zone", zone.text()},
               {"endpoints", std::to_string(parts_.endpointRegistry_.inZone(zone).size())},
               {"heard-from", std::string(source)},
               {"version", std::to_string(evacuations_.state().version_.value())}});
}

/// Endpoints may have become cold while they got no requests, and their entries say so only later.
void Node::zoneReturned(const AvailabilityZone &zone, std::string_view source)
{
    const auto endpoints = parts_.endpointRegistry_.inZone(zone);
    log::info(event::zoneReturned,
              {{"zone", zone.text()},
               {"endpoints", std::to_string(endpoints.size())},
               {"heard-from", std::string(source)},
               {"version", std::to_string(evacuations_.state().version_.value())}});
    for (const auto *endpoint : endpoints)
        parts_.gateway_.coldEndpoints().assumeCold(*endpoint, returnReason);
}

} // namespace cardamombay::serving
