/// \file
/// \brief Place where the control thread publishes routing snapshots.
/// \details One writer, many readers, no locks held while a snapshot is read. It decides nothing;
/// freshness is judged by readers against their clock.
#pragma once

#include <cardamombay/routing/routing_snapshot.hpp>

#include <atomic>
#include <memory>
#include <utility>

namespace cardamombay::traffic {

/// \brief Latest routing snapshot; written by the control thread, read by traffic threads.
class SnapshotHolder
{
public:
    SnapshotHolder()
        : snapshot_(std::make_shared<const routing::RoutingSnapshot>())
    {
    }

    /// \brief Replaces the snapshot; \p snapshot is not null.
    void publish(routing::RoutingSnapshotPtr snapshot)
    {
        snapshot_.store(std::move(snapshot), std::memory_order_release);
    }

    /// \brief The latest snapshot; never null.
    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const
    {
        return snapshot_.load(std::memory_order_acquire);
    }

private:
    std::atomic<routing::RoutingSnapshotPtr> snapshot_;
};

} // namespace cardamombay::traffic
