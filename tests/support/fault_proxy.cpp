#include "support/fault_proxy.hpp"

#include "support/answer_splitter.hpp"
#include "support/proxy_pipe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <utility>
#include <vector>

namespace cardamombay::support {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// What the connections of a link share.
struct LinkState
{
    Address target_;
    LinkFaults faults_;
    LinkCounters counters_;
    /// The connection whose answer waits for another one to be exchanged with.
    class ProxiedConnection *swapping_ = nullptr;
};

bool use(std::uint32_t &count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

void reset(tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(std::shared_ptr<LinkState> state, tcp::socket client)
        : state_(std::move(state))
        , client_(std::move(client))
        , server_(client_.get_executor())
        , toServer_(client_, server_, state_->faults_.toServer_, state_->counters_.bytesToServer_)
        , toClient_(server_, client_, state_->faults_.toClient_, state_->counters_.bytesToClient_)
    {
        toServer_.setFilter([this](std::string_view bytes) { takeRequestBytes(bytes); });
        toClient_.setFilter([this](std::string_view bytes) { takeAnswerBytes(bytes); });
        ++state_->counters_.connections_;
        ++state_->counters_.open_;
    }

    ~ProxiedConnection()
    {
        forgetSwap();
        --state_->counters_.open_;
    }
    ProxiedConnection(const ProxiedConnection &) = delete;
    ProxiedConnection &operator=(const ProxiedConnection &) = delete;

    asio::awaitable<void> connect()
    {
        error_code failure;
        const auto ip = asio::ip::make_address(state_->target_.ip_);
        co_await server_.async_connect({ip, state_->target_.port_},
                                       asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            cut();
            co_return;
        }
        error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        server_.set_option(tcp::no_delay(true), ignored);
        for (ProxyPipe *pipe : {&toServer_, &toClient_}) {
            start(pipe->read());
            start(writeAll(*pipe));
        }
    }

    void faultsChanged()
    {
        toServer_.faultsChanged();
        toClient_.faultsChanged();
    }

    void cut()
    {
        forgetSwap();
        reset(client_);
        reset(server_);
        toServer_.stop();
        toClient_.stop();
    }

    void leaveHalfOpen()
    {
        isHalfOpen_ = true;
        toClient_.stop();
        toServer_.stop();
        reset(server_);
    }

private:
    /// Runs a coroutine that keeps the connection alive.
    void start(asio::awaitable<void> work)
    {
        asio::co_spawn(client_.get_executor(), std::move(work),
                       [self = shared_from_this()](const std::exception_ptr &) {});
    }

    asio::awaitable<void> writeAll(ProxyPipe &pipe)
    {
        const bool mustReset = co_await pipe.write();
        if (isHalfOpen_)
            co_return;
        if (mustReset) {
            cut();
            co_return;
        }
        // Both directions have ended: nothing is left to do.
        if (std::exchange(hasOneEnded_, true) && client_.is_open())
            cut();
    }

    void forgetSwap()
    {
        if (state_->swapping_ == this)
            state_->swapping_ = nullptr;
    }

    void takeRequestBytes(std::string_view bytes)
    {
        if (!replay_.empty())
            toClient_.push(std::exchange(replay_, {}));
        toServer_.push(std::string(bytes));
    }

    void takeAnswerBytes(std::string_view bytes)
    {
        splitter_.add(bytes);
        while (auto part = splitter_.next())
            takeAnswerPart(*std::move(part));
    }

    void takeAnswerPart(AnswerPart part)
    {
        const auto &faults = state_->faults_;
        const bool isWanted
            = faults.duplicateAnswers_ + faults.replayAnswers_ + faults.swapAnswers_ > 0;
        if (part.isFirst_ && isWanted)
            isCollecting_ = true;
        if (!isCollecting_) {
            toClient_.push(std::move(part.bytes_));
            return;
        }
        collected_ += part.bytes_;
        if (part.isLast_) {
            isCollecting_ = false;
            takeAnswer(std::exchange(collected_, {}));
        }
    }

    void takeAnswer(std::string answer)
    {
        auto &faults = state_->faults_;
        if (faults.swapAnswers_ > 0) {
            swapAnswer(std::move(answer));
            return;
        }
        if (use(faults.duplicateAnswers_))
            toClient_.push(answer);
        else if (use(faults.replayAnswers_))
            replay_ = answer;
        toClient_.push(std::move(answer));
    }

    void swapAnswer(std::string answer)
    {
        ProxiedConnection *other = state_->swapping_;
        if (!other || other == this) {
            held_ += answer;
            state_->swapping_ = this;
            return;
        }
        state_->swapping_ = nullptr;
        (void)use(state_->faults_.swapAnswers_);
        toClient_.push(std::exchange(other->held_, {}));
        other->toClient_.push(std::move(answer));
    }

    std::shared_ptr<LinkState> state_;
    tcp::socket client_;
    tcp::socket server_;
    ProxyPipe toServer_;
    ProxyPipe toClient_;
    AnswerSplitter splitter_;
    bool hasOneEnded_ = false;
    bool isHalfOpen_ = false;
    bool isCollecting_ = false;
    std::string collected_; ///< Beginning of an answer that a fault is for.
    std::string replay_;    ///< Answer to send again with the next request.
    std::string held_;      ///< Answer that waits to be exchanged.
};

} // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl>
{
    Impl(asio::io_context &context, Address target, const Address &listen)
        : acceptor_(context, {asio::ip::make_address(listen.ip_), listen.port_})
        , state_(std::make_shared<LinkState>())
    {
        state_->target_ = std::move(target);
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](error_code failure, tcp::socket client) {
            if (!self->acceptor_.is_open())
                return;
            if (!failure)
                self->take(std::move(client));
            self->accept();
        });
    }

    void take(tcp::socket client)
    {
        if (state_->faults_.refusesConnections_) {
            reset(client);
            return;
        }
        if (state_->faults_.ignoresConnections_) {
            ignored_.push_back(std::move(client));
            return;
        }
        const auto connection = std::make_shared<ProxiedConnection>(state_, std::move(client));
        connections_.remove_if([](const auto &old) { return old.expired(); });
        connections_.push_back(connection);
        asio::co_spawn(acceptor_.get_executor(), connection->connect(),
                       [connection](const std::exception_ptr &) {});
    }

    template<typename Action>
    void forEachConnection(Action action)
    {
        for (const auto &weak : std::list(connections_)) {
            if (const auto connection = weak.lock())
                action(*connection);
        }
    }

    tcp::acceptor acceptor_;
    std::shared_ptr<LinkState> state_;
    std::list<std::weak_ptr<ProxiedConnection>> connections_;
    std::vector<tcp::socket> ignored_;
    /// Connections whose client is not told that they ended.
    std::vector<std::shared_ptr<ProxiedConnection>> halfOpen_;
};

FaultProxy::FaultProxy(asio::io_context &context, Address target, const Address &listen)
    : impl_(std::make_shared<Impl>(context, std::move(target), listen))
{
    impl_->accept();
}

FaultProxy::~FaultProxy()
{
    error_code ignored;
    impl_->acceptor_.close(ignored);
    cutConnections();
}

Address FaultProxy::address() const
{
    const auto endpoint = impl_->acceptor_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

LinkCounters FaultProxy::counters() const
{
    return impl_->state_->counters_;
}

void FaultProxy::setFaults(const LinkFaults &faults)
{
    impl_->state_->faults_ = faults;
    if (!faults.ignoresConnections_)
        impl_->ignored_.clear();
    impl_->forEachConnection([](ProxiedConnection &connection) { connection.faultsChanged(); });
}

void FaultProxy::cutConnections()
{
    impl_->forEachConnection([](ProxiedConnection &connection) { connection.cut(); });
    impl_->halfOpen_.clear();
    impl_->ignored_.clear();
}

void FaultProxy::leaveHalfOpen()
{
    impl_->forEachConnection([this](ProxiedConnection &connection) {
        connection.leaveHalfOpen();
        impl_->halfOpen_.push_back(connection.shared_from_this());
    });
}

} // namespace cardamombay::support
