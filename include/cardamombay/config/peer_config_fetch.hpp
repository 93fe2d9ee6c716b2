/// \file
/// \brief Takes the configuration from other entry VMs over HTTP.
/// \details Decides which peers are asked and which answer is the newest that can be read. It
/// guards the promise that versions only rise, as ConfigAgent still judges what it returns; it puts
/// nothing in force.
#pragma once

#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/core/address.hpp>
#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/net/http_client.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::config {

/// \brief Where a peer listener answers with its ConfigAgent::encodedCurrent(), or with 404 if it
/// has nothing in force.
constexpr std::string_view peerConfigPath = "/config/current";

/// \brief Asks a few random peers at once and gives the highest version among their answers.
/// \details A peer that is behind, slow or gone does no harm as long as one of those asked is not.
/// \code
/// PeerConfigFetch fetch(clock, client, random, [&] { return membership.livePeerAddresses(); });
/// agent.setPeerFetch(fetch.function());
/// \endcode
class PeerConfigFetch
{
public:
    /// \brief Peers asked at once.
    static constexpr std::size_t fanOut = 3;

    /// \param clock for the answer when there is no peer.
    /// \param client sends the requests.
    /// \param random picks the peers.
    /// \param peers gives the peer listeners of the live members, without this process.
    PeerConfigFetch(Clock &clock, net::HttpClient &client, Random &random,
                    std::function<std::vector<Address>()> peers);

    /// \brief Asks; PeerUnreachable if no peer answered with a configuration.
    void fetch(const Callback<std::string> &done);

    /// \brief This as the agent takes it; the object outlives the agent.
    [[nodiscard]] ConfigAgent::PeerFetch function();

private:
    struct Round;

    [[nodiscard]] std::vector<Address> choosePeers();

    Clock &clock_;
    net::HttpClient &client_;
    Random &random_;
    std::function<std::vector<Address>()> peers_;
};

} // namespace cardamombay::config
