/// \file
/// \brief Adds up the digests of entry VMs, so that not every entry VM has to send to every other
/// one.
/// \details In a large fleet one entry VM of each availability zone, the reporter, collects the
/// digests of its zone and sends out sums. The number of messages then grows linearly with the
/// fleet instead of quadratically. Sums are only as recent as the digests in them; sources that
/// fall silent are dropped. Makes no decisions about requests.
#pragma once

#include <cardamombay/serving/peer_digests.hpp>

namespace cardamombay::serving {

/// \brief The digests collected by one entry VM. Use on the control thread only.
/// \code
/// hub.take(memberDigest, now);
/// channel.send(otherReporter, encode(hub.zoneSummary(now)));
/// channel.send(member, encode(hub.fleetSummary(now)));
/// \endcode
class DigestHub
{
public:
    /// \param since start of this process, sent with the sums.
    DigestHub(PeerInfo self, Incarnation since);

    /// \name Input
    /// \{
    /// \brief Adds the digest of an entry VM of this zone, or this one's own.
    void take(const LoadDigest &digest, TimePoint now);
    /// \brief Adds the sum of another zone.
    void take(const LoadSummary &summary, TimePoint now);
    /// \brief Drops sources that sent nothing lately.
    void expire(TimePoint now);
    /// \}

    /// \brief Entry VMs that send their digests here, not counting this one.
    [[nodiscard]] std::vector<PeerInfo> members() const;

    /// \brief Entry VMs that the collected digests cover, including this one if it has added its
    /// own.
    /// \param withZones includes those of other zones.
    [[nodiscard]] std::vector<PeerInfo> roster(bool withZones, TimePoint now) const;

    /// \name Sums, without a roster
    /// \{
    [[nodiscard]] LoadSummary zoneSummary(TimePoint now) const;
    [[nodiscard]] LoadSummary fleetSummary(TimePoint now) const;
    /// \}

private:
    struct Tokens
    {
        std::size_t lastCount_ = 0; ///< Last count from the source, since its start.
        std::size_t observed_ = 0;  ///< Increase observed here; never decreases.
        TimePoint changedAt_{};
    };
    struct Listed
    {
        PeerInfo info_;
        TimePoint at_{};
    };
    struct Source
    {
        LoadDigest last_;
        TimePoint heardAt_{};
        std::unordered_map<VmId, Tokens> sent_;
        std::map<EntryId, Listed> roster_; ///< Of the zone, if the source is a zone's sum.
        bool isZone_ = false;
    };
    struct Total
    {
        std::size_t tokens_ = 0;
        TimePoint changedAt_{};
    };
    using Totals = std::unordered_map<VmId, Total>;

    void take(const LoadDigest &digest, bool isZone, TimePoint now);
    static void add(Totals &totals, const Source &source);
    [[nodiscard]] LoadSummary summary(bool withZones, TimePoint now) const;

    PeerInfo self_;
    Incarnation since_;
    std::map<EntryId, Source> sources_;
    Totals droppedZoneTotals_;  ///< Tokens of dropped sources of this zone; added in so that sums
                                ///< never decrease.
    Totals droppedFleetTotals_; ///< The same for sums of other zones.
};

/// \brief Derives the load of all other entry VMs from the sums of the whole fleet.
class FleetReader
{
public:
    /// \brief Subtracts from \p fleet what this entry VM itself reported last in \p told.
    [[nodiscard]] LoadDigest others(const LoadSummary &fleet, const LoadDigest &told);

private:
    struct Sent
    {
        std::size_t fleet_ = 0;  ///< Last count in the sum.
        std::size_t own_ = 0;    ///< Last count of this entry VM.
        std::size_t ahead_ = 0;  ///< Own tokens that are not yet part of the sums.
        std::size_t others_ = 0; ///< Tokens of all others; never decreases.
    };
    [[nodiscard]] std::size_t sentByOthers(const VmId &endpoint, std::size_t fleet,
                                           std::size_t own);

    EntryId from_;
    Incarnation since_;
    std::unordered_map<VmId, Sent> sent_;
};

} // namespace cardamombay::serving
