#include "net/field_bytes.hpp"
#include "net/timeouts.hpp"

#include <net/http_server_connection.hpp>

#include <net/http_server_exchange.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace cardamombay::net::impl {

namespace {

constexpr std::size_t firstRead = 4096;
constexpr std::size_t bodyRead = std::size_t{16} * 1024;
/// Cost of a connection beside its body and its socket's data, in bytes.
constexpr std::size_t connectionBytes = std::size_t{8} * 1024;
/// A head is held as received, as fields of an attempt and as text to send.
constexpr std::size_t headCopies = 3;
/// A body beyond this size gets a larger receive window.
constexpr std::size_t longBody = std::size_t{32} * 1024;
constexpr Duration hangUpPollPeriod = std::chrono::milliseconds(200);
constexpr std::string_view noMemory = "too many bytes of other requests are in memory";
constexpr std::string_view tooSlow = "the request did not arrive in time";
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

/// Bytes that a socket holds unread with a receive buffer of \p size.
constexpr std::size_t unreadWith(std::size_t size)
{
    return size * 3 / 2;
}

ServerRequest takeRequest(http::request<ReceivedBody> message)
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
    , windowBytes_(unreadWith(receiveBuffer))
{
    worker_->connections_.insert(this);
    share_.holder_ = this;
    worker_->budget_->add(share_);
}

ServerConnection::~ServerConnection()
{
    worker_->budget_->remove(share_);
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
    share_.callerIp_ = caller.address().to_string();
    if (!updateShare(InputUse::Idle)) {
        close();
        return;
    }
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
    if (!worker_->server_->limits_.endsOnHalfClose_ || isWatchingClose_)
        return;
    if (buffer_.size() != 0) {
        awaitHangUp();
        return;
    }
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
    if (size == 0) {
        lose();
    } else if (size < 0) {
        watchForClose();
    } else {
        mayHaveUnread_ = true;
        (void)updateShare(InputUse::Answering);
        awaitHangUp();
    }
}

/// The end of the caller's data cannot be read behind a request that waits for its turn.
void ServerConnection::awaitHangUp()
{
    setTimeout(readTimer_, hangUpPollPeriod);
    readTimer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error)
            self->checkForHangUp();
    });
}

void ServerConnection::checkForHangUp()
{
    if (isClosed_ || activity_ != Activity::Answering)
        return;
    pollfd state{stream_.socket().native_handle(), POLLRDHUP, 0};
    if (::poll(&state, 1, 0) > 0)
        lose();
    else
        awaitHangUp();
}

std::size_t ServerConnection::heldBytes() const
{
    return connectionBytes + headBytes_ + bodyBytes_ + (mayHaveUnread_ ? windowBytes_ : 0);
}

/// \returns false if the bytes do not fit.
bool ServerConnection::updateShare(InputUse use)
{
    return worker_->budget_->update(share_, use, heldBytes());
}

void ServerConnection::widenWindow()
{
    if (windowBytes_ >= unreadWith(largeReceiveBuffer))
        return;
    windowBytes_ = unreadWith(largeReceiveBuffer);
    error_code ignored;
    stream_.socket().set_option(boost::asio::socket_base::receive_buffer_size(largeReceiveBuffer),
                                ignored);
    const int window = static_cast<int>(largeReceiveBuffer);
    (void)::setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &window,
                       sizeof window);
}

/// Frees what belongs to the last request.
void ServerConnection::freeInput()
{
    parser_.reset();
    headBytes_ = 0;
    bodyBytes_ = 0;
    if (buffer_.size() == 0 && buffer_.capacity() > firstRead)
        buffer_.shrink_to_fit();
}

void ServerConnection::releaseInput()
{
    if (activity_ != Activity::Reading) {
        close();
        return;
    }
    readFault_ = ServerFault::OutOfMemory;
    stream_.cancel();
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
    freeInput();
    mayHaveUnread_ = false;
    (void)updateShare(InputUse::Idle);
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
                                if (error || self->isClosed_) {
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
        self->readFault_ = ServerFault::SlowRequest;
        self->stream_.cancel();
    });
}

void ServerConnection::readHeader()
{
    setActivity(Activity::Reading);
    clearTimeout(stream_);
    mayHaveUnread_ = true;
    if (!updateShare(InputUse::Receiving)) {
        refuse(ServerFault::OutOfMemory, noMemory);
        return;
    }
    startReadTimer();
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                                if (error || self->isReadEnded())
                                    self->handleReadError(error);
                                else
                                    self->readBody();
                            });
}

/// \returns false if the body that the head announces can find no room.
bool ServerConnection::acceptsBody()
{
    headBytes_ = fieldBytes(parser_->get());
    const auto length = parser_->content_length().value_or(0);
    if (!worker_->budget_->canHold(share_, heldBytes() + length))
        return false;
    if (length > longBody)
        widenWindow();
    return true;
}

void ServerConnection::readBody()
{
    if (parser_->is_done()) {
        handleRequest();
        return;
    }
    if (!acceptsBody()) {
        refuse(ServerFault::OutOfMemory, noMemory);
        return;
    }
    parser_->eager(true);
    if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        readBodyBytes();
        return;
    }
    boost::asio::async_write(stream_, boost::asio::buffer(continueLine.data(), continueLine.size()),
                             [self = shared_from_this()](error_code error, std::size_t) {
                                 if (error || self->isReadEnded())
                                     self->handleReadError(error);
                                 else
                                     self->readBodyBytes();
                             });
}

/// Parses what was read before it reads on, so that the share of the request is up to date. Beast's
/// own operation goes on while the input ends within the head of a chunk.
void ServerConnection::readBodyBytes()
{
    error_code error;
    if (buffer_.size() != 0)
        buffer_.consume(parser_->put(buffer_.data(), error));
    if (error && error != http::error::need_more) {
        handleReadError(error);
        return;
    }
    bodyBytes_ = parser_->get().body().size();
    if (bodyBytes_ > longBody)
        widenWindow();
    if (!updateShare(InputUse::Receiving))
        refuse(ServerFault::OutOfMemory, noMemory);
    else if (parser_->is_done())
        handleRequest();
    else if (buffer_.size() == buffer_.max_size())
        handleReadError(http::error::buffer_overflow);
    else
        awaitBodyBytes();
}

void ServerConnection::awaitBodyBytes()
{
    const auto room = buffer_.max_size() - buffer_.size();
    stream_.async_read_some(buffer_.prepare(std::min(bodyRead, room)),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                                self->buffer_.commit(size);
                                if (error == boost::asio::error::eof)
                                    error = http::error::partial_message;
                                if (error || self->isReadEnded())
                                    self->handleReadError(error);
                                else
                                    self->readBodyBytes();
                            });
}

void ServerConnection::handleReadError(error_code error)
{
    if (isClosed_)
        return;
    if (readFault_)
        refuse(*readFault_, *readFault_ == ServerFault::SlowRequest ? tooSlow : noMemory);
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
    freeInput();
    (void)updateShare(InputUse::Closing);
    respond(worker_->handler_->refusal(fault, detail));
}

void ServerConnection::handleRequest()
{
    readTimer_.cancel();
    setActivity(Activity::Answering);
    auto message = parser_->release();
    headBytes_ = headCopies * fieldBytes(message);
    keepsAlive_ = message.keep_alive();
    isHead_ = message.method() == http::verb::head;
    isChunked_ = message.version() >= 11;
    auto request = takeRequest(std::move(message));
    request.callerIp_ = share_.callerIp_;
    parser_.reset();
    bodyBytes_ = request.body_.size();
    mayHaveUnread_ = buffer_.size() != 0;
    (void)updateShare(InputUse::Answering);
    auto exchange = std::make_shared<ServerConnectionExchange>(shared_from_this());
    watchForClose();
    worker_->handler_->handle(std::move(request), std::move(exchange));
}

} // namespace cardamombay::net::impl
