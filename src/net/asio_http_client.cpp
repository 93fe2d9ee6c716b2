#include <cardamombay/net/asio_http_client.hpp>

#include "net/answer_head.hpp"
#include "net/http_messages.hpp"
#include "net/timeouts.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <utility>

namespace cardamombay::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using impl::RequestMessage;

namespace {

/// Also of a line between the parts of a body, such as the head of a chunk.
constexpr std::size_t responseHeaderBytes = std::size_t{64} * 1024;

struct Connection
{
    explicit Connection(asio::io_context &context)
        : socket_(context)
        , idleTimer_(context)
    {
    }

    tcp::socket socket_;
    impl::HeadBuffer buffer_{responseHeaderBytes};
    impl::TimeoutTimer idleTimer_;
};

struct Exchange
{
    explicit Exchange(asio::io_context &context)
        : timer_(context)
    {
    }

    Address address_;
    RequestMessage message_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::function<void(HttpResult)> done_;
    impl::TimeoutTimer timer_;
    std::shared_ptr<Connection> connection_;
    std::size_t interimBytes_ = 0;
    bool hasBegunToWrite_ = false;
    bool isFinished_ = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;
using ExchangePointer = std::shared_ptr<Exchange>;

/// Connections and waiting exchanges of one address.
struct Pool
{
    std::size_t open_ = 0;
    std::vector<ConnectionPointer> idle_;
    std::deque<ExchangePointer> waiting_;
};

/// False if the peer closed the kept connection or sent bytes that nobody asked for.
bool isQuiet(tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

class AsioHttpClient::Impl : public std::enable_shared_from_this<AsioHttpClient::Impl>
{
public:
    Impl(asio::io_context &context, HttpClientLimits limits)
        : context_(context)
        , limits_(limits)
    {
    }

    void send(HttpRequest request, std::function<void(HttpResult)> done);
    void close();
    [[nodiscard]] std::size_t openConnections() const;

private:
    void startTimer(const ExchangePointer &exchange, Duration timeout);
    void enqueue(const ExchangePointer &exchange);
    void dispatch(const Address &address);
    [[nodiscard]] static ConnectionPointer takeIdle(Pool &pool);
    void connect(const ExchangePointer &exchange);
    void write(const ExchangePointer &exchange);
    void read(const ExchangePointer &exchange);
    void takeHead(const ExchangePointer &exchange, error_code failure);
    void takeResponse(const ExchangePointer &exchange, error_code failure);
    void keep(const Address &address, const ConnectionPointer &connection);
    void dropIdle(const Address &address, const ConnectionPointer &connection);
    void fail(const ExchangePointer &exchange, HttpFailure failure);
    void finish(const ExchangePointer &exchange, HttpResult result);
    static void closeSocket(Connection &connection);

    asio::io_context &context_;
    HttpClientLimits limits_;
    bool isClosed_ = false;
    std::map<Address, Pool> pools_;
    std::unordered_set<ExchangePointer> exchanges_;
};

void AsioHttpClient::Impl::send(HttpRequest request, std::function<void(HttpResult)> done)
{
    if (!impl::isWellFormed(request)) {
        asio::post(context_, [done = std::move(done)] {
            done(HttpFailure{false, false, "the request has a control character in its head"});
        });
        return;
    }
    const auto exchange = std::make_shared<Exchange>(context_);
    exchange->address_ = request.address_;
    exchange->done_ = std::move(done);
    exchange->message_ = impl::toMessage(request);
    exchanges_.insert(exchange);
    startTimer(exchange, request.timeout_);
    asio::post(context_, [self = shared_from_this(), exchange] { self->enqueue(exchange); });
}

void AsioHttpClient::Impl::startTimer(const ExchangePointer &exchange, Duration timeout)
{
    impl::setTimeout(exchange->timer_, timeout);
    exchange->timer_.async_wait([self = shared_from_this(), exchange](error_code failure) {
        if (!failure)
            self->fail(exchange, {exchange->hasBegunToWrite_, true, "no answer in time"});
    });
}

void AsioHttpClient::Impl::enqueue(const ExchangePointer &exchange)
{
    if (exchange->isFinished_)
        return;
    Pool &pool = pools_[exchange->address_];
    if (pool.waiting_.size() >= limits_.waitingPerAddress_) {
        fail(exchange, {false, false, "too many requests wait for " + exchange->address_.text()});
        return;
    }
    pool.waiting_.push_back(exchange);
    dispatch(exchange->address_);
}

void AsioHttpClient::Impl::dispatch(const Address &address)
{
    const auto found = pools_.find(address);
    if (isClosed_ || found == pools_.end())
        return;
    Pool &pool = found->second;
    while (!pool.waiting_.empty()) {
        const ExchangePointer exchange = pool.waiting_.front();
        exchange->connection_ = takeIdle(pool);
        const bool isReused = exchange->connection_ != nullptr;
        if (!isReused && pool.open_ >= limits_.connectionsPerAddress_)
            return;
        pool.waiting_.pop_front();
        if (isReused) {
            write(exchange);
        } else {
            ++pool.open_;
            connect(exchange);
        }
    }
    if (pool.open_ == 0)
        pools_.erase(found);
}

ConnectionPointer AsioHttpClient::Impl::takeIdle(Pool &pool)
{
    while (!pool.idle_.empty()) {
        ConnectionPointer connection = pool.idle_.back();
        pool.idle_.pop_back();
        connection->idleTimer_.cancel();
        if (isQuiet(connection->socket_)) {
            connection->socket_.cancel();
            return connection;
        }
        closeSocket(*connection);
        --pool.open_;
    }
    return nullptr;
}

void AsioHttpClient::Impl::connect(const ExchangePointer &exchange)
{
    exchange->connection_ = std::make_shared<Connection>(context_);
    error_code failure;
    const auto ip = asio::ip::make_address(exchange->address_.ip_, failure);
    const auto connected = [self = shared_from_this(), exchange](error_code result) {
        if (exchange->isFinished_)
            return;
        if (result) {
            self->fail(exchange, {false, false, "connect: " + result.message()});
            return;
        }
        error_code ignored;
        exchange->connection_->socket_.set_option(tcp::no_delay(true), ignored);
        self->write(exchange);
    };
    if (failure) {
        asio::post(context_, [connected, failure] { connected(failure); });
        return;
    }
    exchange->connection_->socket_.async_connect({ip, exchange->address_.port_}, connected);
}

void AsioHttpClient::Impl::write(const ExchangePointer &exchange)
{
    exchange->hasBegunToWrite_ = true;
    http::async_write(exchange->connection_->socket_, exchange->message_,
                      [self = shared_from_this(), exchange](error_code failure, std::size_t sent) {
                          if (exchange->isFinished_)
                              return;
                          if (failure)
                              self->fail(exchange, {sent > 0, false, "send: " + failure.message()});
                          else
                              self->read(exchange);
                      });
}

void AsioHttpClient::Impl::read(const ExchangePointer &exchange)
{
    auto &parser = exchange->parser_.emplace();
    parser.body_limit(limits_.responseBytes_);
    parser.header_limit(responseHeaderBytes);
    parser.skip(exchange->message_.method() == http::verb::head);
    auto &connection = *exchange->connection_;
    connection.buffer_.beginHead();
    http::async_read_header(connection.socket_, connection.buffer_, parser,
                            [self = shared_from_this(), exchange](error_code failure, std::size_t) {
                                if (!exchange->isFinished_)
                                    self->takeHead(exchange, failure);
                            });
}

void AsioHttpClient::Impl::takeHead(const ExchangePointer &exchange, error_code failure)
{
    if (failure) {
        fail(exchange, {true, false, "answer: " + failure.message()});
        return;
    }
    auto &connection = *exchange->connection_;
    const auto [head, defect] = impl::takeHead(*exchange->parser_, connection.buffer_,
                                               exchange->message_[http::field::accept_encoding]);
    if (defect) {
        fail(exchange, {true, false, std::string(textOf(*defect))});
        return;
    }
    if (isInterim(head.status_)) {
        exchange->interimBytes_ += connection.buffer_.headBytes();
        if (exchange->interimBytes_ > responseHeaderBytes)
            fail(exchange, {true, false, "too many bytes before the answer"});
        else
            read(exchange);
        return;
    }
    http::async_read(connection.socket_, connection.buffer_, *exchange->parser_,
                     [self = shared_from_this(), exchange](error_code error, std::size_t) {
                         if (!exchange->isFinished_)
                             self->takeResponse(exchange, error);
                     });
}

void AsioHttpClient::Impl::takeResponse(const ExchangePointer &exchange, error_code failure)
{
    if (failure) {
        fail(exchange, {true, false, "answer: " + failure.message()});
        return;
    }
    auto message = exchange->parser_->release();
    if (impl::isCrossed(exchange->message_, message)) {
        fail(exchange, {true, false, "the answer belongs to another request"});
        return;
    }
    const ConnectionPointer connection = std::exchange(exchange->connection_, nullptr);
    const bool isReusable = message.keep_alive() && connection->buffer_.size() == 0;
    if (isReusable) {
        keep(exchange->address_, connection);
    } else {
        closeSocket(*connection);
        --pools_[exchange->address_].open_;
    }
    finish(exchange, impl::toResponse(std::move(message)));
    dispatch(exchange->address_);
}

void AsioHttpClient::Impl::keep(const Address &address, const ConnectionPointer &connection)
{
    pools_[address].idle_.push_back(connection);
    const auto drop = [self = shared_from_this(), address, connection](error_code failure) {
        if (!failure)
            self->dropIdle(address, connection);
    };
    // Readable while idle means that the peer closed, or sent what nobody asked for.
    connection->socket_.async_wait(tcp::socket::wait_read, drop);
    impl::setTimeout(connection->idleTimer_, limits_.idleTimeout_);
    connection->idleTimer_.async_wait(drop);
}

void AsioHttpClient::Impl::dropIdle(const Address &address, const ConnectionPointer &connection)
{
    const auto found = pools_.find(address);
    if (found == pools_.end())
        return;
    auto &idle = found->second.idle_;
    const auto place = std::find(idle.begin(), idle.end(), connection);
    if (place == idle.end())
        return; // Taken for a request meanwhile.
    idle.erase(place);
    closeSocket(*connection);
    --found->second.open_;
    dispatch(address);
}

void AsioHttpClient::Impl::fail(const ExchangePointer &exchange, HttpFailure failure)
{
    if (exchange->isFinished_)
        return;
    const auto found = pools_.find(exchange->address_);
    if (found != pools_.end()) {
        std::erase(found->second.waiting_, exchange);
        if (exchange->connection_) {
            closeSocket(*exchange->connection_);
            --found->second.open_;
        }
    }
    finish(exchange, std::move(failure));
    dispatch(exchange->address_);
}

void AsioHttpClient::Impl::finish(const ExchangePointer &exchange, HttpResult result)
{
    exchange->isFinished_ = true;
    exchange->timer_.cancel();
    exchanges_.erase(exchange);
    const auto done = std::move(exchange->done_);
    done(std::move(result));
}

void AsioHttpClient::Impl::closeSocket(Connection &connection)
{
    error_code ignored;
    connection.idleTimer_.cancel();
    connection.socket_.close(ignored);
}

void AsioHttpClient::Impl::close()
{
    isClosed_ = true;
    for (const auto &exchange : exchanges_) {
        exchange->isFinished_ = true;
        exchange->timer_.cancel();
        exchange->done_ = nullptr;
        if (exchange->connection_)
            closeSocket(*exchange->connection_);
    }
    exchanges_.clear();
    for (auto &[address, pool] : pools_) {
        for (const auto &connection : pool.idle_)
            closeSocket(*connection);
    }
    pools_.clear();
}

std::size_t AsioHttpClient::Impl::openConnections() const
{
    std::size_t count = 0;
    for (const auto &[address, pool] : pools_)
        count += pool.open_;
    return count;
}

AsioHttpClient::AsioHttpClient(asio::io_context &context, HttpClientLimits limits)
    : impl_(std::make_shared<Impl>(context, limits))
{
}

AsioHttpClient::~AsioHttpClient()
{
    impl_->close();
}

void AsioHttpClient::send(HttpRequest request, std::function<void(HttpResult)> done)
{
    impl_->send(std::move(request), std::move(done));
}

std::size_t AsioHttpClient::openConnections() const
{
    return impl_->openConnections();
}

} // namespace cardamombay::net
