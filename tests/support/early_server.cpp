#include "support/early_server.hpp"

#include "support/standin_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <string>
#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int receiveBufferBytes = 4096;

/// Completion token that puts the error there instead of throwing it.
auto into(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

using Count = std::shared_ptr<std::atomic<std::size_t>>;

asio::awaitable<void> serve(tcp::socket socket, EarlyAnswer answer, Count answers)
{
    error_code ignored;
    std::string head;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", into(ignored));
    if (ignored)
        co_return;
    ++*answers;
    std::string body;
    co_await asio::async_read(socket, asio::dynamic_buffer(body),
                              asio::transfer_exactly(answer.bytesRead_), into(ignored));
    co_await asio::async_write(socket, asio::buffer(answer.bytes_), into(ignored));
    if (answer.end_ == EarlyEnd::CloseAndReset || answer.end_ == EarlyEnd::CloseAndRead)
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (answer.end_ == EarlyEnd::CloseAndRead) {
        co_await asio::async_read(socket, asio::dynamic_buffer(body), into(ignored));
        co_return;
    }
    if (answer.delay_ > Duration::zero())
        co_await pauseFor(answer.delay_);
    if (answer.end_ != EarlyEnd::CloseUnread)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

struct EarlyServer::Impl : std::enable_shared_from_this<EarlyServer::Impl>
{
    Impl(asio::io_context &context, EarlyAnswer answer)
        : context_(context)
        , acceptor_(context)
        , answer_(std::move(answer))
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor_.bind({asio::ip::address_v4::loopback(), 0});
        acceptor_.listen();
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (error)
                return;
            asio::co_spawn(self->context_, serve(std::move(socket), self->answer_, self->answers_),
                           asio::detached);
            self->accept();
        });
    }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    EarlyAnswer answer_;
    Count answers_ = std::make_shared<std::atomic<std::size_t>>(0);
};

EarlyServer::EarlyServer(asio::io_context &context, EarlyAnswer answer)
    : impl_(std::make_shared<Impl>(context, std::move(answer)))
{
    impl_->accept();
}

EarlyServer::~EarlyServer()
{
    error_code ignored;
    impl_->acceptor_.close(ignored);
}

Address EarlyServer::address() const
{
    return {"127.0.0.1", impl_->acceptor_.local_endpoint().port()};
}

std::size_t EarlyServer::answers() const
{
    return *impl_->answers_;
}

} // namespace cardamombay::support
