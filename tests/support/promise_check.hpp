/// \file
/// \brief Checks what must hold of a fleet of control nodes at every moment.
#pragma once

#include "support/control_fleet.hpp"

#include <map>
#include <string>

namespace cardamombay::support {

/// \brief Compares what nodes would do with what is true of the VMs and in the store.
class PromiseCheck
{
public:
    explicit PromiseCheck(const ControlFleet &fleet)
        : fleet_(fleet)
    {
    }

    /// \brief Looks once.
    /// \returns what is violated, or nothing.
    [[nodiscard]] std::string check();

private:
    [[nodiscard]] std::string checkUsable(const ControlEntry &entry) const;
    [[nodiscard]] std::string checkMember(const ControlEntry &entry,
                                          const routing::SnapshotGroup &group,
                                          const VmId &member) const;
    [[nodiscard]] std::string checkExclusive() const;
    [[nodiscard]] std::string checkLeases() const;
    [[nodiscard]] std::string checkVersions();

    const ControlFleet &fleet_;
    std::map<std::size_t, ConfigVersion> seen_; ///< Highest version in force, by entry VM.
};

} // namespace cardamombay::support
