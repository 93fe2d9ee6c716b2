/// \file
/// \brief Place where the control thread publishes routing snapshots.
/// \details One writer, many readers, no locks held while a snapshot is read. It decides nothing;
/// freshness is judged by readers against their clock.
#pragma once

#include <cardamombay/routing/routing_snapshot.hpp>

#include <memory>
#include <mutex>
#include <utility>

namespace cardamombay::traffic {

/// \brief Latest routing snapshot; written by the control thread, read by traffic threads.
/// \details A mutex held for the copy of one pointer. std::atomic<std::shared_ptr> would do, but
/// that of libstdc++ 12 releases its internal lock in relaxed order after a load, which the thread
/// sanitizer rightly reports as a race with the next store.
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
        const std::lock_guard guard(mutex_);
        // Swapped, so that the former snapshot is destroyed after the lock is released.
        snapshot_.swap(snapshot);
    }

    /// \brief The latest snapshot; never null.
    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const
    {
        const std::lock_guard guard(mutex_);
        return snapshot_;
    }

private:
    mutable std::mutex mutex_;
    routing::RoutingSnapshotPtr snapshot_;
};

} // namespace cardamombay::traffic
