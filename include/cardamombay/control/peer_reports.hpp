/// \file
/// \brief Demand and in-flight counts that peers digested.
/// \details Keeps the last report of each peer. A report counts only while its peer is alive and
/// the report is recent, so that the share of a lost entry VM is divided anew by itself.
#pragma once

#include <cardamombay/control/snapshot_builder.hpp>
#include <cardamombay/membership/digest.hpp>

#include <map>
#include <span>
#include <vector>

namespace cardamombay::control {

/// \brief Last reports of peers.
class PeerReports
{
public:
    /// \brief Takes the report in \p digest.
    void take(const membership::Digest &digest, TimePoint now);

    /// \brief Forgets peers that are not among \p alive or silent for longer than \p window.
    void forgetOthers(std::span<const membership::MemberEntry> alive, TimePoint now,
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
