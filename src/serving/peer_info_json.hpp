/// \file
/// \brief JSON encoding of entry VMs and their addresses in messages between entry VMs.
#pragma once

#include <cardamombay/serving/peer_digests.hpp>

#include <boost/json.hpp>

#include <span>
#include <vector>

namespace cardamombay::serving::impl {

[[nodiscard]] boost::json::array peerInfoArray(std::span<const PeerInfo> infos);

/// \brief Entries that cannot be read are left out.
[[nodiscard]] std::vector<PeerInfo> peerInfosIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
