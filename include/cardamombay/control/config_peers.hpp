/// \file
/// \brief How an entry VM asks others for the configuration while the store is down.
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

/// \brief Link to other entry VMs; answers arrive on the control thread.
class ConfigPeers
{
public:
    ConfigPeers() = default;
    ConfigPeers(const ConfigPeers &) = delete;
    ConfigPeers &operator=(const ConfigPeers &) = delete;
    virtual ~ConfigPeers() = default;

    /// \brief Asks the entry VM at \p address for its encoded configuration record.
    virtual void fetch(Address address, Callback<std::string> done) = 0;
};

/// \brief Whom to ask: the few live entry VMs other than \p self that tell of the highest versions.
[[nodiscard]] std::vector<Address> configPeersOf(std::span<const membership::MemberEntry> alive,
                                                 const EntryId &self);

/// \brief Asks several entry VMs and gives the record with the highest version.
/// \details A peer that is behind, slow or gone does no harm as long as one of those asked is not.
/// \param peers the link.
/// \param clock for the answer when there is nobody to ask.
/// \param addresses whom to ask.
/// \param atLeast the first answer with this version or a higher one ends the search, if set.
/// \param done receives the record's text, or PeerUnreachable if nobody gave one; never inline.
void fetchHighest(ConfigPeers &peers, Clock &clock, std::span<const Address> addresses,
                  ConfigVersion atLeast, Callback<std::string> done);

} // namespace cardamombay::control
