/// \file
/// \brief Selects the reporter of each availability zone: the entry VM that collects the digests of
/// its zone.
/// \details All entry VMs rank the members of a zone by the same hash, so they agree without
/// exchanging messages. Each entry VM decides by itself to skip a reporter that sends no sums for a
/// while.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/duty_order.hpp>

#include <map>
#include <optional>
#include <vector>

namespace cardamombay::serving {

/// \brief The reporters as seen by one entry VM. Use on the control thread only.
class Reporters
{
public:
    /// Up to this fleet size digests go directly to all entry VMs: 16 digests every 100 ms cost an
    /// entry VM less than a hundredth of a core, and the data is half as old as by way of
    /// reporters.
    static constexpr std::size_t maxDirectFleetSize = 16;

    Reporters(EntryId self, AvailabilityZone zone);

    /// \brief Sets the live entry VMs, without this one, and their zones.
    /// \param capacities of the peers and of this entry VM; missing ones count as 0.
    void setPeers(const std::map<EntryId, AvailabilityZone> &peers,
                  const std::map<EntryId, EntryCapacity> &capacities = {});

    /// \brief True if the fleet is too large for every entry VM to send digests to every other.
    [[nodiscard]] bool areNeeded() const { return peerCount_ + 1 > maxDirectFleetSize; }

    /// \brief The reporter of this zone; none if it is this entry VM.
    [[nodiscard]] std::optional<EntryId> own(TimePoint now) const;

    /// \brief Members of this zone without this entry VM, those first that may have been reporters.
    [[nodiscard]] std::vector<EntryId> likely(std::size_t count) const;

    /// \brief The reporters of the other zones and their successors in case they fail.
    /// \details Includes entry VMs that report for their zone now, whatever their rank. While
    /// nobody is heard from a zone, a few more of its members are added, others at each call
    /// period.
    [[nodiscard]] std::vector<EntryId> others(TimePoint now) const;

    /// \brief Records a sum from \p reporter.
    void heard(const EntryId &reporter, TimePoint now);

    /// \brief Records a sum of another zone from \p reporter.
    void heardZone(const AvailabilityZone &zone, const EntryId &reporter, TimePoint now);

    /// \brief Skips the reporter of this zone if it has been silent. Call once per digest period.
    void check(TimePoint now);

private:
    [[nodiscard]] std::vector<EntryId> first(const std::vector<EntryId> &ranked, std::size_t count,
                                             TimePoint now) const;
    [[nodiscard]] static std::vector<EntryId> searched(const std::vector<EntryId> &ranked,
                                                       TimePoint now);
    void awaitZones(bool isReporter, TimePoint now);

    EntryId self_;
    AvailabilityZone zone_;
    std::size_t peerCount_ = 0;
    /// All members of each zone, by rank.
    std::map<AvailabilityZone, std::vector<EntryId>> ranked_;
    std::map<EntryId, TimePoint> skippedUntil_;
    /// Last sum of each other zone, by reporter.
    std::map<AvailabilityZone, std::map<EntryId, TimePoint>> zoneReporters_;
    /// When each other zone was last heard, or when this entry VM became the reporter.
    std::map<AvailabilityZone, TimePoint> zoneHeardAt_;
    EntryId awaitedReporter_; ///< The reporter whose sums are expected.
    TimePoint heardAt_{};     ///< Its last sum, or when it became the reporter.
};

} // namespace cardamombay::serving
