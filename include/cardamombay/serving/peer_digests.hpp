/// \file
/// \brief What entry VMs tell each other several times a second: their work under way.
/// \details One small datagram to each peer; a lost one is made good by the next. Decides nothing.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief One entry VM's news.
struct LoadDigest
{
    EntryId from_;
    std::unordered_map<VmId, std::size_t> underWay_; ///< Its requests at each endpoint.
    std::unordered_map<VmId, std::size_t> unread_;   ///< Prompt tokens still to be read there.
    std::vector<VmId> silent_;                       ///< Endpoints whose streams stalled there.
    std::map<ModelName, double> demand_; ///< Its requests a second by model, times their work.
    bool isDraining_ = false;

    friend bool operator==(const LoadDigest &, const LoadDigest &) = default;
};

/// \brief A JSON-RPC notification.
[[nodiscard]] std::string encode(const LoadDigest &digest);

/// \returns nothing if \p text is no digest.
[[nodiscard]] std::optional<LoadDigest> decodeLoadDigest(std::string_view text);

/// \brief Sends and receives datagrams.
class DatagramChannel
{
public:
    DatagramChannel() = default;
    DatagramChannel(const DatagramChannel &) = delete;
    DatagramChannel &operator=(const DatagramChannel &) = delete;
    virtual ~DatagramChannel() = default;

    virtual void send(const Address &to, std::string_view text) = 0;
    virtual void onReceived(std::function<void(std::string_view)> handler) = 0;
};

} // namespace cardamombay::serving
