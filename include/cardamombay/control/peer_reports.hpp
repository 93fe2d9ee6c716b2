/// \file
/// \brief Demand and in-flight counts received in the digests of peers.
/// \details Keeps the latest report of each peer. A report counts only while its peer is alive and
/// the report is recent, so that the share of a lost entry VM is redistributed automatically.
#pragma once

#include <cardamombay/control/snapshot_builder.hpp>
#include <cardamombay/membership/digest.hpp>

#include <map>
#include <span>
#include <vector>

namespace cardamombay::control {

/// \brief Latest report of each peer.
class PeerReports
{
public:
    /// \brief Replaces the report of the sender of \p digest.
    void update(const membership::Digest &digest, TimePoint now);

    /// \brief Removes reports of peers that are not in \p alive, and reports older than \p window.
    void removeExpired(std::span<const membership::MemberEntry> alive, TimePoint now,
                       Duration window);

    /// \brief In-flight requests of all peers, by group.
    [[nodiscard]] PeerLoad load() const;

    /// \brief Demand of each peer, sorted by entry VM.
    [[nodiscard]] std::vector<routing::PeerDemand> demand() const;

private:
    struct Report
    {
        TimePoint takenAt_{};
        std::vector<routing::DemandReport> demand_;
        std::vector<membership::InFlightEntry> inFlight_;
    };

    std::map<EntryId, Report> reports_;
};

} // namespace cardamombay::control
