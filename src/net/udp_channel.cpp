#include <cardamombay/net/udp_channel.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <utility>

namespace cardamombay::net {

namespace {

using Udp = boost::asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t largestDatagram = 65536;

} // namespace

class UdpChannel::Impl : public std::enable_shared_from_this<UdpChannel::Impl>
{
public:
    explicit Impl(boost::asio::io_context &context)
        : socket_(context)
    {
    }

    void receive()
    {
        socket_.async_receive(boost::asio::buffer(buffer_),
                              [weak = weak_from_this()](error_code error, std::size_t size) {
                                  const auto self = weak.lock();
                                  if (!self || error == boost::asio::error::operation_aborted)
                                      return;
                                  if (!error && self->handler_)
                                      self->handler_(std::string_view(self->buffer_.data(), size));
                                  self->receive();
                              });
    }

    Udp::socket socket_;
    std::array<char, largestDatagram> buffer_{};
    std::function<void(std::string_view)> handler_;
};

UdpChannel::UdpChannel(boost::asio::io_context &context)
    : impl_(std::make_shared<Impl>(context))
{
}

UdpChannel::~UdpChannel()
{
    error_code ignored;
    impl_->socket_.close(ignored);
}

Result<Done> UdpChannel::listen(const Address &address)
{
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip_, error);
    const Udp::endpoint endpoint(ip, address.port_);
    if (!error)
        impl_->socket_.open(endpoint.protocol(), error);
    if (!error)
        impl_->socket_.bind(endpoint, error);
    if (!error)
        impl_->socket_.non_blocking(true, error);
    if (error)
        return Error(InvalidInput{{},
                                  address.text(),
                                  "cannot receive datagrams: " + error.message(),
                                  "check the address of the peers' listener"});
    impl_->receive();
    return Done{};
}

void UdpChannel::send(const Address &to, std::string_view text)
{
    error_code ignored; // The next datagram makes good for one that is lost.
    const Udp::endpoint endpoint(boost::asio::ip::make_address(to.ip_, ignored), to.port_);
    if (!ignored)
        impl_->socket_.send_to(boost::asio::buffer(text.data(), text.size()), endpoint, 0, ignored);
}

void UdpChannel::onReceived(std::function<void(std::string_view)> handler)
{
    impl_->handler_ = std::move(handler);
}

} // namespace cardamombay::net
