/// \file
/// \brief Datagrams over UDP on a Boost.Asio event loop.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/serving/peer_digests.hpp>

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::net {

/// \brief DatagramChannel over UDP. Datagrams that cannot be sent at once are dropped.
class UdpChannel final : public serving::DatagramChannel
{
public:
    explicit UdpChannel(boost::asio::io_context &context);
    ~UdpChannel() override;

    /// \returns InvalidInput if the address cannot be bound.
    [[nodiscard]] Result<Done> listen(const Address &address);

    void send(const Address &to, std::string_view text) override;
    void onReceived(std::function<void(std::string_view)> handler) override;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::net
