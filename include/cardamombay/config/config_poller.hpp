/// \file
/// \brief Which entry VMs of a site poll the store for a new configuration.
/// \details Decides who polls at the short interval, the same on every entry VM that sees the same
/// members. It reads nothing itself; a wrong choice costs a poll more or less, never a wrong
/// version.
#pragma once

#include <cardamombay/core/ids.hpp>

#include <cstddef>
#include <span>

namespace cardamombay::config {

/// \brief Pollers of a site: one may fail or be cut off without delay for the site.
constexpr std::size_t pollersPerSite = 2;

/// \brief True if \p self is among the pollers of its site.
/// \details Every member that sees the same live members comes to the same choice, without a
/// word between them; if they differ for a while, one poller more or less does no harm.
/// \param self this entry VM.
/// \param zone its availability zone.
/// \param liveMembers live entry VMs of that zone, with or without \p self.
[[nodiscard]] bool isConfigPoller(const EntryId &self, const AvailabilityZone &zone,
                                  std::span<const EntryId> liveMembers);

} // namespace cardamombay::config
