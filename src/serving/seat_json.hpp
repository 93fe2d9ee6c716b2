/// \file
/// \brief JSON encoding of entry VMs and their addresses in messages between entry VMs.
#pragma once

#include <cardamombay/serving/peer_digests.hpp>

#include <boost/json.hpp>

#include <span>
#include <vector>

namespace cardamombay::serving::impl {

[[nodiscard]] boost::json::array seatsArray(std::span<const PeerSeat> seats);

/// \brief Malformed entries are ignored.
[[nodiscard]] std::vector<PeerSeat> seatsIn(const boost::json::value *value);

} // namespace cardamombay::serving::impl
