/// \file
/// \brief Local settings that a control node needs at startup.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/groups/manager_settings.hpp>
#include <cardamombay/leases/lease_settings.hpp>
#include <cardamombay/membership/membership_settings.hpp>
#include <cardamombay/watching/watch_settings.hpp>

#include <cstdint>
#include <vector>

namespace cardamombay::control {

/// \brief Identity, location and intervals of one control node.
struct ControlSettings
{
    EntryId self_;
    Incarnation incarnation_; ///< Higher than in any previous run of this entry VM.
    Address peerAddress_;     ///< Address at which peers reach this node.
    AvailabilityZone zone_;
    RegionName region_;
    std::vector<Address> seeds_;
    std::uint64_t randomSeed_ = 1;

    /// \name Intervals
    /// \{
    Duration snapshotEvery_ = std::chrono::milliseconds(250);
    Duration planEvery_ = std::chrono::milliseconds(500);
    Duration vmListEvery_ = std::chrono::seconds(2);
    Duration idleVmListEvery_ = std::chrono::seconds(60); ///< For entry VMs that are not pollers.
    Duration configPollEvery_ = std::chrono::seconds(1);
    /// \}

    membership::MembershipSettings membership_;
    watching::WatchSettings watching_;
    leases::LeaseSettings leases_;
    groups::ManagerSettings groups_;
};

} // namespace cardamombay::control
