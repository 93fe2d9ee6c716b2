/// \file
/// \brief Client half of the link between entry VMs: digests over JSON-RPC 2.0 over HTTP.
/// \details Decides which answer belongs to which digest; it neither retries nor judges content.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/membership/peer_transport.hpp>
#include <cardamombay/net/http_client.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace cardamombay::rpc {

/// \brief Path of the peer listener.
constexpr const char *rpcTarget = "/rpc";

/// \brief Sends JSON-RPC calls to other entry VMs; each is sent once and never repeated.
class JsonRpcPeerTransport final : public membership::PeerTransport
{
public:
    /// \param http carries the requests.
    /// \param timeout for one exchange.
    explicit JsonRpcPeerTransport(net::HttpClient &http,
                                  Duration timeout = std::chrono::seconds(1));

    void exchange(Address address, membership::Digest digest,
                  Callback<membership::Digest> done) override;

    /// \brief Calls any method.
    /// \param address the peer's listener.
    /// \param method its name, such as "config".
    /// \param parameter JSON text of the one positional parameter.
    /// \param done receives the JSON text of the result; errors are PeerUnreachable, TimedOut or
    /// MalformedMessage.
    void call(Address address, const std::string &method, const std::string &parameter,
              Callback<std::string> done);

private:
    net::HttpClient &http_;
    Duration timeout_;
    std::uint64_t nextCall_ = 1;
};

} // namespace cardamombay::rpc
