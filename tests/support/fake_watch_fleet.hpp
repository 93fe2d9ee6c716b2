/// \file
/// \brief Entry VMs with membership and watching, before endpoint VMs in memory.
#pragma once

#include "support/fake_endpoints.hpp"
#include "support/fake_fleet.hpp"

#include <cardamombay/watching/endpoint_watcher.hpp>

#include <memory>
#include <vector>

namespace cardamombay::support {

/// \brief A Fleet whose nodes watch endpoint VMs v0000, v0001 and so on, spread over its zones.
class WatchFleet
{
public:
    WatchFleet(FleetShape shape, std::size_t vms, std::uint64_t seed = 1,
               watching::WatchSettings settings = {});

    [[nodiscard]] static VmId vm(std::size_t index);
    [[nodiscard]] watching::EndpointWatcher &watcher(std::size_t node) { return *watchers_[node]; }
    [[nodiscard]] FakeEndpointOrders &orders(std::size_t node) { return *orders_[node]; }
    /// \brief Nodes that watch \p vm, as \p viewer reckons.
    [[nodiscard]] std::vector<std::size_t> watchersOf(std::size_t viewer, const VmId &vm) const;
    /// \brief Nodes that hold a fresh observation of \p vm.
    [[nodiscard]] std::size_t freshAt(const VmId &vm) const;

    /// \brief Sets the status of a VM in the platform's list and hands the list to all nodes.
    void list(const VmId &vm, platform::VmStatus status, Duration age = {});
    /// \brief Hands the list to one node.
    void listTo(std::size_t node, Duration age = {});
    /// \brief Starts a node anew, with nothing known.
    void restart(std::size_t node, Incarnation incarnation);

    void run(Duration time) { fleet_.run(time); }

    Fleet fleet_;
    FakeEndpoints endpoints_;
    std::vector<platform::VmRecord> vms_;
    std::vector<config::Site> sites_;

private:
    void addWatcher(std::size_t node);
    void connect(std::size_t node);
    void renewExtraPeers(std::size_t node);

    watching::WatchSettings settings_;
    std::vector<std::unique_ptr<FakeEndpointOrders>> orders_;
    std::vector<std::unique_ptr<watching::EndpointWatcher>> watchers_;
};

} // namespace cardamombay::support
