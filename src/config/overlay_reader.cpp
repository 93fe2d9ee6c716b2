#include "config/draft.hpp"
#include "config/nearest_name.hpp"

#include <algorithm>

namespace cardamombay::config::impl {

namespace {

const std::vector<std::string> baseOnlyServiceKeys{
    "kind",     "model",           "vms_per_replica", "requests_per_replica",
    "priority", "idempotent",      "checks_fencing",  "path_prefix",
    "routes",   "request_timeout", "queue_timeout",   "load_time",
};

constexpr const char *baseRemedy = "declare it in the base file, for all sites";

ServiceDraft *findService(Draft &draft, std::string_view name)
{
    const auto found = std::find_if(
        draft.services_.begin(), draft.services_.end(),
        [name](const ServiceDraft &item) { return item.service_.name_.text() == name; });
    return found == draft.services_.end() ? nullptr : &*found;
}

std::vector<std::string> serviceNames(const Draft &draft)
{
    std::vector<std::string> names;
    for (const auto &item : draft.services_)
        names.push_back(item.service_.name_.text());
    return names;
}

/// Reads the replicas of one service at this site.
std::uint32_t readReplicas(TableReader &reader, std::uint32_t baseReplicas)
{
    std::uint32_t replicas = baseReplicas;
    reader.read("replicas", replicas, {0, mostReplicas});
    for (const auto &key : baseOnlyServiceKeys)
        reader.refuse(key, "it may not differ by site", baseRemedy);
    if (reader.node().empty())
        reader.report("replicas", "the overlay states nothing for this service",
                      "remove the table or give replicas");
    if (reader.holds("replicas", baseReplicas))
        reader.report("replicas",
                      "it restates the base value " + std::to_string(baseReplicas)
                          + "; an overlay states only what differs",
                      "remove the line");
    reader.finish();
    return replicas;
}

/// Adds the site's capacity to every service, from the base or from the overlay.
void readCapacity(TableReader &root, const AvailabilityZone &zone, Draft &draft)
{
    const auto *table = root.table("services");
    for (auto &item : draft.services_)
        item.service_.capacity_.push_back({zone, item.replicas_});
    if (!table)
        return;
    auto list = root.child(*table, "services");
    for (const auto &[key, node] : *table) {
        const auto *service = list.table(key.str());
        if (!service)
            continue;
        ServiceDraft *item = findService(draft, key.str());
        if (!item) {
            list.report(key.str(), "the base file has no such service",
                        remedyForUnknown(key.str(), serviceNames(draft)));
            continue;
        }
        auto reader = list.child(*service, key.str());
        item->service_.capacity_.back().replicas_ = readReplicas(reader, item->replicas_);
    }
}

} // namespace

void readOverlay(const toml::table &document, const std::string &file, Draft &draft,
                 Problems &problems)
{
    TableReader root(document, "", file, problems);
    root.require("site", "name the availability zone of the site");
    root.require("region", "name the region of the site");
    std::string site;
    std::string region;
    root.read("site", site);
    root.read("region", region);
    if (!site.empty() && !isPlainName(site))
        root.report("site", "the name has characters that are not allowed",
                    "use a-z, 0-9 and '-', as in the platform's VM list");
    const AvailabilityZone zone(site);
    if (!site.empty() && draft.configuration_.site(zone))
        root.report("site", "another overlay is for site '" + site + "' already",
                    "keep one overlay for each site");
    draft.configuration_.sites_.push_back({zone, RegionName(region)});
    readCapacity(root, zone, draft);
    for (const char *key : {"deployment", "planner", "teams"})
        root.refuse(key, "it may not differ by site", baseRemedy);
    root.finish();
}

} // namespace cardamombay::config::impl
