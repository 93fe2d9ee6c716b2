#include "net/timeouts.hpp"

#include <net/http_server_connection.hpp>

#include <net/http_server_exchange.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <utility>

namespace cardamombay::net::impl {

namespace {

constexpr std::size_t firstRead = 4096;
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

std::string textOf(boost::core::string_view text)
{
    return {text.data(), text.size()};
}

ServerFault faultOf(error_code error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return ServerFault::HeaderTooLarge;
    if (error == http::error::body_limit)
        return ServerFault::BodyTooLarge;
    return ServerFault::Malformed;
}

bool isHttpError(error_code error)
{
    return error.category() == make_error_code(http::error::bad_method).category();
}

ServerRequest takeRequest(http::request<http::string_body> message)
{
    ServerRequest request;
    request.method_ = textOf(message.method_string());
    request.target_ = textOf(message.target());
    for (const auto &field : message)
        request.fields_.push_back({textOf(field.name_string()), textOf(field.value())});
    request.body_ = std::move(message.body());
    return request;
}

} // namespace

ServerConnection::ServerConnection(Tcp::socket socket, std::shared_ptr<WorkerState> worker)
    : stream_(std::move(socket))
    , readTimer_(stream_.get_executor())
    , worker_(std::move(worker))
    , buffer_(worker_->server_->limits_.headerBytes_ + firstRead)
{
    worker_->connections_.insert(this);
}

ServerConnection::~ServerConnection()
{
    worker_->connections_.erase(this);
    worker_->server_->connections_.fetch_sub(1);
}

void ServerConnection::start()
{
    error_code error;
    stream_.socket().set_option(Tcp::no_delay(true), error);
    const auto caller = stream_.socket().remote_endpoint(error);
    if (error)
        return;
    callerIp_ = caller.address().to_string();
    watchForReset();
    readRequest();
}

/// An error wait reports a reset while no read is pending; the end of the caller's data alone
/// does not, since a caller may close its sending side and still wait for its answer.
void ServerConnection::watchForReset()
{
    stream_.socket().async_wait(Tcp::socket::wait_error,
                                [self = shared_from_this()](error_code error) {
                                    if (!error)
                                        self->lose();
                                });
}

/// Input while a request is answered is the next request or the end of the caller's data.
void ServerConnection::watchForClose()
{
    if (!worker_->server_->limits_.endsOnHalfClose_ || isWatchingClose_ || buffer_.size() != 0)
        return;
    isWatchingClose_ = true;
    stream_.socket().async_wait(Tcp::socket::wait_read,
                                [self = shared_from_this()](error_code error) {
                                    self->isWatchingClose_ = false;
                                    if (!error)
                                        self->checkForClose();
                                });
}

void ServerConnection::checkForClose()
{
    if (isClosed_ || activity_ != Activity::Answering)
        return;
    char byte = 0;
    const auto size = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size == 0)
        lose();
    else if (size < 0)
        watchForClose();
}

void ServerConnection::setActivity(Activity activity)
{
    const bool wasBusy = activity_ != Activity::Idle;
    const bool isBusy = activity != Activity::Idle;
    activity_ = activity;
    if (isBusy && !wasBusy)
        worker_->server_->busyConnections_.fetch_add(1);
    if (wasBusy && !isBusy)
        worker_->server_->busyConnections_.fetch_sub(1);
}

void ServerConnection::readRequest()
{
    const auto &limits = worker_->server_->limits_;
    setActivity(Activity::Idle);
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes_));
    parser_->body_limit(limits.bodyBytes_);
    if (buffer_.size() != 0) {
        readHeader();
        return;
    }
    setTimeout(stream_, limits.idleTimeout_);
    stream_.async_read_some(buffer_.prepare(firstRead),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                                if (error) {
                                    self->close();
                                    return;
                                }
                                self->buffer_.commit(size);
                                self->readHeader();
                            });
}

/// The stream's own timeout would close the socket, and a slow caller is to be told.
void ServerConnection::startReadTimer()
{
    setTimeout(readTimer_, worker_->server_->limits_.readTimeout_);
    readTimer_.async_wait([self = shared_from_this()](error_code error) {
        if (error || self->activity_ != Activity::Reading)
            return;
        self->isSlow_ = true;
        self->stream_.cancel();
    });
}

void ServerConnection::readHeader()
{
    setActivity(Activity::Reading);
    clearTimeout(stream_);
    startReadTimer();
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                                if (error)
                                    self->handleReadError(error);
                                else
                                    self->readBody();
                            });
}

void ServerConnection::readBody()
{
    if (parser_->is_done()) {
        handleRequest();
        return;
    }
    if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        readBodyBytes();
        return;
    }
    boost::asio::async_write(stream_, boost::asio::buffer(continueLine.data(), continueLine.size()),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 if (error)
                                     self->handleReadError(error);
                                 else
                                     self->readBodyBytes();
                             });
}

void ServerConnection::readBodyBytes()
{
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t) {
                         if (error)
                             self->handleReadError(error);
                         else
                             self->handleRequest();
                     });
}

void ServerConnection::handleReadError(error_code error)
{
    if (isClosed_)
        return;
    if (isSlow_)
        refuse(ServerFault::SlowRequest, "the request did not arrive in time");
    else if (isHttpError(error) && error != http::error::end_of_stream)
        refuse(faultOf(error), error.message());
    else
        lose();
}

void ServerConnection::refuse(ServerFault fault, std::string_view detail)
{
    readTimer_.cancel();
    keepsAlive_ = false;
    isHead_ = false;
    setActivity(Activity::Answering);
    respond(worker_->handler_->refusal(fault, detail));
}

void ServerConnection::handleRequest()
{
    readTimer_.cancel();
    setActivity(Activity::Answering);
    auto message = parser_->release();
    keepsAlive_ = message.keep_alive();
    isHead_ = message.method() == http::verb::head;
    isChunked_ = message.version() >= 11;
    auto request = takeRequest(std::move(message));
    request.callerIp_ = callerIp_;
    auto exchange = std::make_shared<ServerConnectionExchange>(shared_from_this());
    watchForClose();
    worker_->handler_->handle(std::move(request), std::move(exchange));
}

} // namespace cardamombay::net::impl
