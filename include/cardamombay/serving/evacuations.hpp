/// \file
/// \brief Availability zones that operators empty: their endpoints get no requests.
/// \details Operators name such a zone in a row of their table and delete the row to take it back.
/// Entry VMs that watch the table tell the others the whole set with the version that it is of, so
/// that the newest one stands whoever tells it. Decides nothing about requests.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <set>

namespace cardamombay::serving {

/// \brief The zones that were evacuated at one version of the operators' table.
struct EvacuationState
{
    RowVersion version_; ///< Of the newest change that it holds; none if there was never one.
    std::set<AvailabilityZone> zones_;

    friend bool operator==(const EvacuationState &, const EvacuationState &) = default;
};

/// \brief What one entry VM knows of evacuated zones; belongs to the control thread.
/// \code
/// if (evacuations.changed(zone, true, row.version_))
///     book.setEvacuated(evacuations.zones());
/// \endcode
class Evacuations
{
public:
    /// \name News
    /// \returns true if the zones are others than before.
    /// \{
    /// \brief The whole table was listed.
    /// \param keepsKnown the store may lack what it had acknowledged: zones that are evacuated stay
    /// so.
    bool listed(std::set<AvailabilityZone> zones, RowVersion version, bool keepsKnown);
    /// \brief An operator evacuates a zone or takes that back.
    bool changed(const AvailabilityZone &zone, bool isEvacuated, RowVersion version);
    /// \brief A peer tells what it knows.
    bool take(const EvacuationState &state);
    /// \}

    [[nodiscard]] const EvacuationState &state() const { return state_; }
    [[nodiscard]] const std::set<AvailabilityZone> &zones() const { return state_.zones_; }

    /// \brief True if peers must be told: there is, or was, a zone to tell of.
    [[nodiscard]] bool hasState() const { return !state_.version_.isNone(); }

private:
    bool set(std::set<AvailabilityZone> zones);

    EvacuationState state_;
};

} // namespace cardamombay::serving
