#include "serving/peer_info_json.hpp"

#include "serving/notification.hpp"

#include <cardamombay/config/address_text.hpp>

#include <algorithm>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

/// An entry VM is encoded as name, address, zone and capacity.
constexpr std::size_t seatFieldCount = 4;

} // namespace

json::array peerInfoArray(std::span<const PeerInfo> seats)
{
    json::array result;
    for (const auto &seat : seats)
        result.push_back(json::array{seat.entry_.text(), seat.address_.text(), seat.zone_.text(),
                                     seat.capacity_});
    return result;
}

std::vector<PeerInfo> peerInfosIn(const json::value *value)
{
    std::vector<PeerInfo> result;
    const auto *seats = value == nullptr ? nullptr : value->if_array();
    if (seats == nullptr)
        return result;
    for (const auto &one : *seats) {
        const auto *seat = one.if_array();
        const bool isWhole
            = seat != nullptr && seat->size() == seatFieldCount && figureIn(seat->at(3))
              && std::all_of(seat->begin(), seat->begin() + 3,
                             [](const json::value &part) { return part.is_string(); });
        if (!isWhole)
            continue;
        const auto address = config::addressOf(textOf(seat->at(1).get_string()));
        if (address)
            result.push_back({EntryId(textOf(seat->at(0).get_string())), *address,
                              AvailabilityZone(textOf(seat->at(2).get_string())),
                              seat->at(3).to_number<double>()});
    }
    return result;
}

} // namespace cardamombay::serving::impl
