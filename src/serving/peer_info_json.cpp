#include "serving/peer_info_json.hpp"

#include "serving/notification.hpp"

#include <cardamombay/config/address_text.hpp>

#include <algorithm>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

/// An entry VM is encoded as name, address, zone and capacity.
constexpr std::size_t peerInfoFieldCount = 4;

} // namespace

json::array peerInfoArray(std::span<const PeerInfo> infos)
{
    json::array result;
    for (const auto &info : infos)
        result.push_back(json::array{info.entry_.text(), info.address_.text(), info.zone_.text(),
                                     info.capacity_});
    return result;
}

std::vector<PeerInfo> peerInfosIn(const json::value *value)
{
    std::vector<PeerInfo> result;
    const auto *infos = value == nullptr ? nullptr : value->if_array();
    if (infos == nullptr)
        return result;
    for (const auto &one : *infos) {
        const auto *info = one.if_array();
        const bool isWhole
            = info != nullptr && info->size() == peerInfoFieldCount && figureIn(info->at(3))
              && std::all_of(info->begin(), info->begin() + 3,
                             [](const json::value &part) { return part.is_string(); });
        if (!isWhole)
            continue;
        const auto address = config::addressOf(textOf(info->at(1).get_string()));
        if (address)
            result.push_back({EntryId(textOf(info->at(0).get_string())), *address,
                              AvailabilityZone(textOf(info->at(2).get_string())),
                              info->at(3).to_number<double>()});
    }
    return result;
}

} // namespace cardamombay::serving::impl
