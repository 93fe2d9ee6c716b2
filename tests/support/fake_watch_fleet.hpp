/// \file
/// \brief Entry VMs with membership and endpoint watching, and simulated endpoint VMs.
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
    /// \brief Nodes that watch \p vm according to \p viewer.
    [[nodiscard]] std::vector<std::size_t> watchersOf(std::size_t viewer, const VmId &vm) const;
    /// \brief Number of nodes that hold a fresh observation of \p vm.
    [[nodiscard]] std::size_t freshAt(const VmId &vm) const;

    /// \brief Sets the status of a VM in the platform's list and passes the list to all nodes.
    void list(const VmId &vm, platform::VmStatus status, Duration age = {});
    /// \brief Passes the list to one node.
    void passListTo(std::size_t node, Duration age = {});
    /// \brief Restarts a node with the given incarnation and no state.
    void restart(std::size_t node, Incarnation incarnation);

    void run(Duration time) { fleet_.run(time); }

    Fleet fleet_;
    FakeEndpoints endpoints_;
    std::vector<platform::VmRecord> vms_;
    std::vector<config::Site> sites_;

private:
    void addWatcher(std::size_t node);
    void connect(std::size_t node);
    void updateExtraPeers(std::size_t node);

    watching::WatchSettings settings_;
    std::vector<std::unique_ptr<FakeEndpointOrders>> orders_;
    std::vector<std::unique_ptr<watching::EndpointWatcher>> watchers_;
};

} // namespace cardamombay::support
