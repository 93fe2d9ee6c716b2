/// \file
/// \brief Seam between the traffic threads and the control thread.
/// \details Control gives an immutable routing snapshot; traffic gives back its demand and asks
/// for claims. Traffic never waits for control: every call returns at once.
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/membership/digest.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>
#include <cardamombay/traffic/claim.hpp>

#include <vector>

namespace cardamombay::traffic {

/// \brief Demand and in-flight requests of this whole daemon; replaces the previous report.
struct TrafficReport
{
    std::vector<routing::DemandReport> demand_;
    std::vector<membership::InFlightEntry> inFlight_;
};

/// \brief What traffic needs of control. Every function may be called from any thread.
class ControlLink
{
public:
    ControlLink() = default;
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;
    virtual ~ControlLink() = default;

    /// \brief The present snapshot; never null, and empty before the first one was made.
    [[nodiscard]] virtual routing::RoutingSnapshotPtr snapshot() const = 0;

    /// \brief Hands the present demand to the control thread, for digests and planning.
    virtual void postTraffic(TrafficReport report) = 0;

    /// \brief Claims a keyed request; \p done runs on the control thread, never inline.
    virtual void claim(ClaimRequest request, ClaimCallback done) = 0;

    /// \brief Records how a granted claim ended.
    virtual void completeClaim(ClaimCompletion completion) = 0;

    /// \brief Keeps why a request was refused or failed, for "cardamombayctl explain".
    virtual void recordDecision(DecisionRecord record) { (void)record; }

    /// \brief True if the table service answered lately.
    [[nodiscard]] virtual bool isStoreReachable() const { return snapshot()->isStoreReachable_; }
};

} // namespace cardamombay::traffic
