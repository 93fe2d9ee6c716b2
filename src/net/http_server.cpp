#include "net/timeouts.hpp"

#include <cardamombay/net/http_server.hpp>

#include <net/http_server_connection.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::net {

namespace {

constexpr int listenBacklog = 1024;
constexpr auto acceptPause = std::chrono::milliseconds(100);
/// Connections that are released at the limit of connections before others are accepted.
constexpr std::size_t releasedAtLimit = 64;

char lowerOf(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lowerOf(a) == lowerOf(b); });
}

/// Bound of each of \p workers without a budget; one body of the largest size finds room in any
/// case.
std::size_t ownBound(const HttpServerLimits &limits, std::size_t workers)
{
    return std::max(BoundedInputBudget::defaultBound / workers, 2 * limits.bodyBytes_);
}

InvalidInput cannotListen(const Address &address, const std::string &problem)
{
    InvalidInput error;
    error.key_ = address.text();
    error.problem_ = "cannot listen: " + problem;
    error.remedy_ = "check that the IP number is this VM's and that no other process has the port";
    return error;
}

} // namespace

std::string_view ServerRequest::field(std::string_view name) const
{
    for (const auto &field : fields_) {
        if (isSameName(field.name_, name))
            return field.value_;
    }
    return {};
}

std::uint32_t statusOf(ServerFault fault)
{
    switch (fault) {
    case ServerFault::Malformed:
        break;
    case ServerFault::SlowRequest:
        return 408;
    case ServerFault::BodyTooLarge:
        return 413;
    case ServerFault::HeaderTooLarge:
        return 431;
    case ServerFault::OutOfMemory:
        return 503;
    }
    return 400;
}

/// Accepts on the first worker's thread.
class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl>
{
public:
    Impl(const std::vector<ServerWorker> &workers, const HttpServerLimits &limits)
        : acceptor_(*workers.front().context_)
        , pause_(*workers.front().context_)
        , state_(std::make_shared<impl::ServerState>())
    {
        state_->limits_ = limits;
        for (const auto &worker : workers) {
            auto shared = std::make_shared<impl::WorkerState>();
            shared->context_ = worker.context_;
            shared->handler_ = worker.handler_;
            shared->budget_ = worker.budget_;
            if (shared->budget_ == nullptr) {
                shared->ownClock_ = std::make_unique<AsioClock>(*worker.context_);
                shared->ownBudget_ = std::make_unique<BoundedInputBudget>(
                    *shared->ownClock_, ownBound(limits, workers.size()));
                shared->budget_ = shared->ownBudget_.get();
            }
            shared->server_ = state_;
            workers_.push_back(std::move(shared));
        }
    }

    Result<Address> listen(const Address &address);
    void accept();
    void stopAccepting();
    void closeConnectionsAfterResponse() { state_->closesAfterResponse_ = true; }
    void closeIdleConnections();
    void setLimits(const HttpServerLimits &limits) { state_->limits_ = limits; }
    [[nodiscard]] std::size_t connections() const { return state_->connections_; }
    [[nodiscard]] std::size_t busyConnections() const { return state_->busyConnections_; }

private:
    void take(impl::Tcp::socket socket, const std::shared_ptr<impl::WorkerState> &worker);
    void pauseAccepting();
    void releaseSilent();

    impl::Tcp::acceptor acceptor_;
    impl::TimeoutTimer pause_;
    std::shared_ptr<impl::ServerState> state_;
    std::vector<std::shared_ptr<impl::WorkerState>> workers_;
    std::size_t next_ = 0;
};

Result<Address> HttpServer::Impl::listen(const Address &address)
{
    impl::error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip_, error);
    if (error)
        return cannotListen(address, error.message());
    const impl::Tcp::endpoint endpoint(ip, address.port_);
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(impl::Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    impl::error_code ignored;
    // Inherited by the connections; set later, it would not bound what a window already offers.
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(impl::receiveBuffer),
                         ignored);
    if (!error)
        acceptor_.listen(listenBacklog, error);
    if (error)
        return cannotListen(address, error.message());
    accept();
    return Address{address.ip_, acceptor_.local_endpoint().port()};
}

void HttpServer::Impl::accept()
{
    if (state_->connections_ >= state_->limits_.connections_) {
        releaseSilent();
        pauseAccepting();
        return;
    }
    const auto worker = workers_[next_++ % workers_.size()];
    acceptor_.async_accept(
        *worker->context_,
        [self = shared_from_this(), worker](impl::error_code error, impl::Tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->acceptor_.is_open())
                return;
            if (error) {
                self->pauseAccepting();
                return;
            }
            self->take(std::move(socket), worker);
            self->accept();
        });
}

void HttpServer::Impl::take(impl::Tcp::socket socket,
                            const std::shared_ptr<impl::WorkerState> &worker)
{
    state_->connections_.fetch_add(1);
    boost::asio::post(*worker->context_, [worker, socket = std::move(socket)]() mutable {
        std::make_shared<impl::ServerConnection>(std::move(socket), worker)->start();
    });
}

/// Out of descriptors or at the limit: callers wait in the listener's backlog meanwhile.
void HttpServer::Impl::pauseAccepting()
{
    impl::setTimeout(pause_, acceptPause);
    pause_.async_wait([self = shared_from_this()](impl::error_code error) {
        if (!error && self->acceptor_.is_open())
            self->accept();
    });
}

/// Connections that only stay open must not keep others out. Those of the worker of this thread.
void HttpServer::Impl::releaseSilent()
{
    std::vector<impl::ServerConnection *> connections;
    for (auto *connection : workers_.front()->connections_) {
        if (connection->share().use_ != InputUse::Answering)
            connections.push_back(connection);
    }
    const auto count = std::min(releasedAtLimit, connections.size());
    std::partial_sort(connections.begin(), connections.begin() + static_cast<std::ptrdiff_t>(count),
                      connections.end(), [](const auto *left, const auto *right) {
                          return left->share().changedAt_ < right->share().changedAt_;
                      });
    connections.resize(count);
    for (auto *connection : connections)
        connection->releaseInput();
}

void HttpServer::Impl::stopAccepting()
{
    boost::asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        impl::error_code ignored;
        self->acceptor_.close(ignored);
        self->pause_.cancel();
    });
}

void HttpServer::Impl::closeIdleConnections()
{
    for (const auto &worker : workers_) {
        boost::asio::post(*worker->context_, [worker] {
            const auto connections = worker->connections_;
            for (auto *connection : connections)
                connection->closeIfIdle();
        });
    }
}

HttpServer::HttpServer(const std::vector<ServerWorker> &workers, const HttpServerLimits &limits)
    : impl_(std::make_shared<Impl>(workers, limits))
{
}

HttpServer::~HttpServer()
{
    impl_->stopAccepting();
}

Result<Address> HttpServer::listen(const Address &address)
{
    return impl_->listen(address);
}

void HttpServer::closeConnectionsAfterResponse()
{
    impl_->closeConnectionsAfterResponse();
}

void HttpServer::closeIdleConnections()
{
    impl_->closeIdleConnections();
}

void HttpServer::stopAccepting()
{
    impl_->stopAccepting();
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    impl_->setLimits(limits);
}

std::size_t HttpServer::busyConnections() const
{
    return impl_->busyConnections();
}

std::size_t HttpServer::connections() const
{
    return impl_->connections();
}

} // namespace cardamombay::net
