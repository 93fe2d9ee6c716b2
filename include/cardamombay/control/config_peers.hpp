/// \file
/// \brief How an entry VM asks others for the configuration while the store is down.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>

#include <span>
#include <string>

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

/// \brief Asks several entry VMs and gives the record with the highest version.
/// \param peers the link.
/// \param addresses whom to ask; at least one.
/// \param atLeast the first answer with this version or a higher one ends the search, if set.
/// \param done receives the record's text, or PeerUnreachable if nobody gave one.
void fetchHighest(ConfigPeers &peers, std::span<const Address> addresses, ConfigVersion atLeast,
                  Callback<std::string> done);

} // namespace cardamombay::control
