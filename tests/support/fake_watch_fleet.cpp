#include "support/fake_watch_fleet.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace cardamombay::support {

WatchFleet::WatchFleet(FleetShape shape, std::size_t vms, std::uint64_t seed,
                       watching::WatchSettings settings)
    : fleet_(shape, seed)
    , endpoints_(fleet_.clock_)
    , settings_(settings)
{
    for (std::size_t zone = 0; zone < shape.zones_; ++zone) {
        sites_.push_back(
            config::Site{AvailabilityZone("zone-" + std::to_string(zone)),
                         RegionName("region-" + std::to_string(zone % shape.regions_))});
    }
    for (std::size_t i = 0; i < vms; ++i) {
        platform::VmRecord record;
        record.id_ = vm(i);
        record.address_
            = Address{"10.1." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250), 9000};
        record.zone_ = sites_[i % shape.zones_].zone_;
        endpoints_.addVm(record.id_, record.address_);
        vms_.push_back(record);
    }
    orders_.resize(fleet_.size());
    watchers_.resize(fleet_.size());
    for (const std::size_t node : fleet_.all())
        addWatcher(node);
}

VmId WatchFleet::vm(std::size_t index)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "v%04zu", index);
    return VmId(text.data());
}

void WatchFleet::addWatcher(std::size_t node)
{
    const EntryId id = Fleet::id(node);
    watchers_[node].reset();
    orders_[node] = std::make_unique<FakeEndpointOrders>(endpoints_, id);
    watchers_[node] = std::make_unique<watching::EndpointWatcher>(fleet_.network_.clock(id),
                                                                  *orders_[node], settings_, id);
    connect(node);
    watchers_[node]->setSites(sites_);
    watchers_[node]->setWatchers(fleet_.node(node).aliveMembers());
    passListTo(node);
    watchers_[node]->start();
    updateExtraPeers(node);
}

void WatchFleet::connect(std::size_t node)
{
    watching::EndpointWatcher *watcher = watchers_[node].get();
    membership::Membership &member = fleet_.node(node);
    member.setPayloadSource(
        [watcher](membership::Digest &digest, const EntryId &) { watcher->appendTo(digest); });
    member.setPayloadSink([watcher](const membership::Digest &digest) { watcher->merge(digest); });
    member.onChange([watcher, &member](const membership::MemberEntry &) {
        watcher->setWatchers(member.aliveMembers());
    });
    watcher->onUrgent([&member] { member.flushSoon(); });
}

void WatchFleet::updateExtraPeers(std::size_t node)
{
    const auto scope = fleet_.node(node).scopePeers();
    fleet_.node(node).setExtraPeers(watchers_[node]->neededPeers(scope));
    const watching::EndpointWatcher *watcher = watchers_[node].get();
    fleet_.network_.clock(Fleet::id(node)).schedule(std::chrono::seconds(1), [this, node, watcher] {
        if (watchers_[node].get() == watcher)
            updateExtraPeers(node);
    });
}

void WatchFleet::restart(std::size_t node, Incarnation incarnation)
{
    watchers_[node].reset();
    fleet_.restart(node, incarnation);
    addWatcher(node);
}

void WatchFleet::passListTo(std::size_t node, Duration age)
{
    watchers_[node]->setVms(vms_, age);
}

void WatchFleet::list(const VmId &vm, platform::VmStatus status, Duration age)
{
    for (platform::VmRecord &record : vms_) {
        if (record.id_ == vm)
            record.status_ = status;
    }
    for (const std::size_t node : fleet_.all())
        passListTo(node, age);
}

std::vector<std::size_t> WatchFleet::watchersOf(std::size_t viewer, const VmId &vm) const
{
    std::vector<std::size_t> nodes;
    for (const EntryId &id : watchers_[viewer]->watchersOf(vm)) {
        for (const std::size_t node : fleet_.all()) {
            if (Fleet::id(node) == id)
                nodes.push_back(node);
        }
    }
    return nodes;
}

std::size_t WatchFleet::freshAt(const VmId &vm) const
{
    return static_cast<std::size_t>(
        std::count_if(watchers_.begin(), watchers_.end(),
                      [&](const auto &watcher) { return watcher->isFresh(vm); }));
}

} // namespace cardamombay::support
