/// \file
/// \brief Chooses the entry VM that carries a request to an endpoint for one that cannot reach any.
/// \details Prefers the own availability zone as long as most of its entry VMs can carry requests,
/// since traffic between zones is billed. Takes the less used of two random ones, so that few entry
/// VMs are not chosen by all. Does not decide whether a request is relayed.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/random.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace cardamombay::serving {

/// \brief An entry VM that may carry requests of others.
struct Carrier
{
    EntryId entry_;
    Address address_; ///< Takes relayed requests, TCP, and digests, UDP.
    AvailabilityZone zone_;
};

/// \brief Entry VMs that may carry requests. Not thread-safe; used on the gateway's thread.
class Carriers
{
public:
    /// \param clock must outlive this object.
    Carriers(Clock &clock, Random random);

    /// \name State of the other entry VMs
    /// \{
    void setPeers(AvailabilityZone ownZone, std::vector<Carrier> peers);
    /// \brief Sets the entry VMs that report that they cannot reach the endpoints themselves.
    void setPartitioned(std::set<EntryId> entries) { partitioned_ = std::move(entries); }
    /// \}

    /// \brief True if there is any other entry VM that is not known to be partitioned.
    [[nodiscard]] bool hasAny() const { return partitioned_.size() < peers_.size(); }

    /// \brief Chooses a carrier.
    /// \param tried entry VMs to exclude.
    /// \returns nothing if there is none.
    [[nodiscard]] std::optional<Carrier> choose(std::span<const EntryId> tried);

    /// \name Events of relayed requests
    /// \{
    void started(const EntryId &entry) { ++underWay_[entry]; }
    void ended(const EntryId &entry);
    /// \brief The entry VM was not reached, broke the connection, or reaches no endpoint; it is not
    /// chosen for a moment.
    void failed(const EntryId &entry);
    /// \}

private:
    [[nodiscard]] bool isEligible(const Carrier &peer, std::span<const EntryId> tried) const;
    [[nodiscard]] std::size_t underWayAt(const Carrier &peer) const;

    Clock &clock_;
    Random random_;
    AvailabilityZone ownZone_;
    std::size_t ownZoneSize_ = 0; ///< Entry VMs of the own zone, including this one.
    std::vector<Carrier> peers_;
    std::set<EntryId> partitioned_;
    std::map<EntryId, std::size_t> underWay_; ///< Requests relayed from here.
    std::map<EntryId, TimePoint> failedAt_;
};

} // namespace cardamombay::serving
