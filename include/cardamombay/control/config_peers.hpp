/// \file
/// \brief Fetches the configuration from other entry VMs while the store is unavailable.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/membership/digest.hpp>

#include <span>
#include <string>
#include <vector>

namespace cardamombay::control {

/// \brief Client of other entry VMs; callbacks run on the control thread.
class ConfigPeers
{
public:
    ConfigPeers() = default;
    ConfigPeers(const ConfigPeers &) = delete;
    ConfigPeers &operator=(const ConfigPeers &) = delete;
    virtual ~ConfigPeers() = default;

    /// \brief Requests the encoded configuration record of the entry VM at \p address.
    virtual void fetch(Address address, Callback<std::string> done) = 0;
};

/// \brief Addresses of up to three live entry VMs, without \p self, that report the highest
/// versions.
[[nodiscard]] std::vector<Address> selectConfigPeers(std::span<const membership::MemberEntry> alive,
                                                     const EntryId &self);

/// \brief Queries several entry VMs and returns the record with the highest version.
/// \details Tolerates peers that are outdated, slow or unreachable, as long as one of them is not.
/// \param peers client of the entry VMs.
/// \param clock schedules the error callback if \p addresses is empty.
/// \param addresses entry VMs to query.
/// \param atLeast if set, the first response with this version or a higher one completes the query.
/// \param done receives the encoded record, or PeerUnreachable if no peer returned one; never
/// called inline.
void fetchHighestVersion(ConfigPeers &peers, Clock &clock, std::span<const Address> addresses,
                         ConfigVersion atLeast, Callback<std::string> done);

} // namespace cardamombay::control
