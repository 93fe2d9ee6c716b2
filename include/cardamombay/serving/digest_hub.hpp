/// \file
/// \brief Adds up the digests of entry VMs, so that each need not hear from every other one.
/// \details In a large fleet one entry VM of each availability zone, the reporter, collects the
/// digests of its zone and passes on sums. Decides nothing about requests; a sum is as good as the
/// digests in it, and sources that fall silent drop out. Messages grow with the entry VMs in place
/// of their square.
#pragma once

#include <cardamombay/serving/peer_digests.hpp>

namespace cardamombay::serving {

/// \brief The digests that one entry VM holds; on the control thread.
/// \code
/// hub.take(memberDigest, now);
/// channel.send(otherReporter, encode(hub.zoneSummary(now)));
/// channel.send(member, encode(hub.fleetSummary(now)));
/// \endcode
class DigestHub
{
public:
    /// \param since start of this process, for readers of the sums.
    DigestHub(PeerSeat self, Incarnation since);

    /// \name News
    /// \{
    /// \brief Takes the digest of an entry VM of this zone, or this one's own.
    void take(const LoadDigest &digest, TimePoint now);
    /// \brief Takes the sum of another zone.
    void take(const LoadSummary &summary, TimePoint now);
    /// \brief Drops sources that were not heard lately.
    void expire(TimePoint now);
    /// \}

    /// \brief Entry VMs whose digests come here, self not included.
    [[nodiscard]] std::vector<PeerSeat> members() const;

    /// \brief Entry VMs that news are held of, self included if it takes part.
    /// \param withZones those of other zones too.
    [[nodiscard]] std::vector<PeerSeat> roster(bool withZones, TimePoint now) const;

    /// \name Sums, without a roster
    /// \{
    [[nodiscard]] LoadSummary zoneSummary(TimePoint now) const;
    [[nodiscard]] LoadSummary fleetSummary(TimePoint now) const;
    /// \}

private:
    struct Tokens
    {
        std::size_t told_ = 0; ///< By the source, since it started.
        std::size_t seen_ = 0; ///< Of these, what was told here; never falls.
        TimePoint changedAt_{};
    };
    struct Listed
    {
        PeerSeat seat_;
        TimePoint at_{};
    };
    struct Source
    {
        LoadDigest last_;
        TimePoint heardAt_{};
        std::unordered_map<VmId, Tokens> sent_;
        std::map<EntryId, Listed> roster_; ///< Of a zone's sums.
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

    PeerSeat self_;
    Incarnation since_;
    std::map<EntryId, Source> sources_;
    Totals goneZone_;  ///< Tokens of sources of this zone that were dropped; sums never fall.
    Totals goneFleet_; ///< The same for sums of other zones.
};

/// \brief Reads the sums of the whole fleet as news of all other entry VMs.
class FleetReader
{
public:
    /// \brief What \p fleet says of the others: less what this entry VM itself had told last.
    [[nodiscard]] LoadDigest others(const LoadSummary &fleet, const LoadDigest &told);

private:
    struct Sent
    {
        std::size_t fleet_ = 0;  ///< Last told by the sum.
        std::size_t own_ = 0;    ///< Last told by this entry VM.
        std::size_t ahead_ = 0;  ///< Own tokens that the sums do not hold yet.
        std::size_t others_ = 0; ///< Of all others; never falls.
    };
    [[nodiscard]] std::size_t othersSent(const VmId &endpoint, std::size_t fleet, std::size_t own);

    EntryId from_;
    Incarnation since_;
    std::unordered_map<VmId, Sent> sent_;
};

} // namespace cardamombay::serving
