/// \file
/// \brief Availability zones under evacuation, whose endpoints get no requests.
/// \details Operators add a table row to evacuate a zone and delete it to return the zone to
/// service. Entry VMs that watch the table send the complete set with its version to the others, so
/// that the newest version wins regardless of the sender. Makes no decisions about requests.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/platform/table_store.hpp>

#include <set>

namespace cardamombay::serving {

/// \brief Evacuated zones as of one version of the operators' table.
struct EvacuationState
{
    RowVersion version_; ///< Version of the latest change; none if no zone was ever evacuated.
    std::set<AvailabilityZone> zones_;

    friend bool operator==(const EvacuationState &, const EvacuationState &) = default;
};

/// \brief Evacuated zones known to one entry VM. Not thread-safe: used on the control thread only.
/// \code
/// if (evacuations.changed(zone, true, row.version_))
///     endpointRegistry.setEvacuated(evacuations.zones());
/// \endcode
class Evacuations
{
public:
    /// \name Updates
    /// \returns true if the set of zones changed.
    /// \{
    /// \brief Applies a complete listing of the table.
    /// \param keepsKnown keeps zones already evacuated, since the store may have lost acknowledged
    /// writes.
    bool listed(std::set<AvailabilityZone> zones, RowVersion version, bool keepsKnown);
    /// \brief Applies an operator's change: a zone is evacuated or returned to service.
    bool changed(const AvailabilityZone &zone, bool isEvacuated, RowVersion version);
    /// \brief Applies the state of a peer.
    bool take(const EvacuationState &state);
    /// \}

    [[nodiscard]] const EvacuationState &state() const { return state_; }
    [[nodiscard]] const std::set<AvailabilityZone> &zones() const { return state_.zones_; }

    /// \brief True if a zone is or was evacuated, so that peers must be informed.
    [[nodiscard]] bool hasState() const { return !state_.version_.isNone(); }

private:
    bool set(std::set<AvailabilityZone> zones);

    EvacuationState state_;
};

} // namespace cardamombay::serving
