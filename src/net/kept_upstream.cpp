#include <cardamombay/net/kept_upstream.hpp>

#include "net/answer_head.hpp"
#include "net/field_values.hpp"
#include "net/kept_connection.hpp"
#include "net/timeouts.hpp"
#include "net/upstream_messages.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <cstring>
#include <limits>
#include <utility>

namespace cardamombay::net {

using impl::KeptConnection;
using impl::KeptPool;

namespace {

constexpr std::size_t firstBuffer = std::size_t{4} * 1024;
/// A larger buffer is given back once all of it is consumed.
constexpr std::size_t mostRetained = std::size_t{64} * 1024;

/// One request and its answer; lives until its operations are done.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<KeptPool> pool, UpstreamRequest request, UpstreamListener &listener)
        : pool_(std::move(pool))
        , listener_(&listener)
        , address_(request.address_)
        , connectTimeout_(request.connectTimeout_)
        , longestIdle_(request.longestIdle_)
        , head_(impl::headText(request))
        , id_(impl::requestIdOf(request))
        , acceptedCodings_(impl::valueOf(request.fields_, "Accept-Encoding"))
        , isHeadRequest_(request.method_ == "HEAD")
        , requestBody_(std::move(request.body_))
    {
    }

    void start();
    void cancel();
    void consume(std::size_t size);

private:
    void connect();
    void begin();
    void send();
    void endSending(impl::error_code error);
    void resetParser();
    void readHead();
    void takeHead();
    [[nodiscard]] bool belongsElsewhere() const;
    [[nodiscard]] bool dropBytes(std::size_t size);
    void readBody();
    void takeBody(impl::error_code error);
    void readNextAnswer();
    void end();
    void keepConnection();
    void fail(impl::error_code error, bool mayHaveLeft);
    void fail(AnswerDefect defect);
    void fail(UpstreamFailure failure);

    std::shared_ptr<KeptPool> pool_;
    std::shared_ptr<KeptConnection> connection_;
    UpstreamListener *listener_;
    Address address_;
    Duration connectTimeout_;
    Duration longestIdle_;
    std::string head_;
    std::string id_;
    std::string acceptedCodings_;
    bool isHeadRequest_;
    SharedBytes requestBody_;
    std::optional<impl::http::response_parser<impl::http::buffer_body>> parser_;
    bool wasReset_ = false; ///< As told by the write of the request.
    std::string body_;      ///< Unconsumed bytes first, then room for more.
    std::size_t filled_ = 0;
    bool isForeign_ = false; ///< The answer being read is another request's.
    std::size_t droppedBytes_ = 0;
};

void Exchange::start()
{
    if (longestIdle_ > Duration::zero())
        connection_ = pool_->take(address_, longestIdle_);
    if (connection_)
        boost::asio::post(pool_->context(), [self = shared_from_this()] { self->begin(); });
    else
        connect();
}

void Exchange::connect()
{
    impl::error_code error;
    const auto ip = boost::asio::ip::make_address(address_.ip_, error);
    if (error) {
        boost::asio::post(pool_->context(),
                          [self = shared_from_this(), error] { self->fail(error, false); });
        return;
    }
    connection_ = std::make_shared<KeptConnection>(pool_->context());
    pool_->countOpened();
    auto &stream = connection_->stream_;
    impl::setTimeout(stream, connectTimeout_);
    stream.async_connect(impl::Tcp::endpoint(ip, address_.port_),
                         [self = shared_from_this()](impl::error_code failure) {
                             if (failure) {
                                 self->fail(failure, false);
                                 return;
                             }
                             impl::error_code ignored;
                             auto &socket = self->connection_->stream_.socket();
                             socket.set_option(impl::Tcp::no_delay(true), ignored);
                             self->begin();
                         });
}

void Exchange::begin()
{
    if (listener_ == nullptr)
        return;
    impl::clearTimeout(connection_->stream_);
    if (listener_->onConnected())
        send();
    else
        connection_->close();
}

void Exchange::send()
{
    const std::array<boost::asio::const_buffer, 2> buffers{
        boost::asio::buffer(head_), boost::asio::buffer(requestBody_.view())};
    boost::asio::async_write(connection_->stream_, buffers,
                             [self = shared_from_this()](impl::error_code error, std::size_t) {
                                 self->endSending(error);
                             });
}

/// An endpoint may answer and close before it has read the whole request.
void Exchange::endSending(impl::error_code error)
{
    wasReset_ = error == boost::asio::error::connection_reset;
    if (error && !wasReset_ && error != boost::asio::error::broken_pipe)
        fail(error, true);
    else
        readHead();
}

void Exchange::resetParser()
{
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->header_limit(impl::maxAnswerHeadBytes);
    parser_->skip(isHeadRequest_);
}

void Exchange::readHead()
{
    if (listener_ == nullptr)
        return;
    resetParser();
    connection_->buffer_.beginHead();
    impl::http::async_read_header(connection_->stream_, connection_->buffer_, *parser_,
                                  [self = shared_from_this()](impl::error_code error, std::size_t) {
                                      if (error)
                                          self->fail(error, true);
                                      else
                                          self->takeHead();
                                  });
}

bool Exchange::belongsElsewhere() const
{
    const auto &message = parser_->get();
    const auto echoed = message.find(std::string_view(requestIdField));
    return echoed != message.end() && !id_.empty() && echoed->value() != id_;
}

/// Counts bytes of an interim answer or of an answer to another request.
/// \returns false if these were too many and the call has failed.
bool Exchange::dropBytes(std::size_t size)
{
    droppedBytes_ += size;
    if (droppedBytes_ <= pool_->limits().droppedBytes_)
        return true;
    fail({true, false, "too many bytes before the answer"});
    return false;
}

void Exchange::takeHead()
{
    if (listener_ == nullptr)
        return;
    auto [head, defect] = impl::takeHead(*parser_, connection_->buffer_, acceptedCodings_);
    if (defect) {
        fail(*defect);
        return;
    }
    const bool isInterimHead = isInterim(head.status_);
    isForeign_ = belongsElsewhere();
    if ((isInterimHead || isForeign_) && !dropBytes(connection_->buffer_.headBytes()))
        return;
    if (isInterimHead) {
        readHead();
        return;
    }
    if (!isForeign_) {
        listener_->onHead(std::move(head));
        if (listener_ == nullptr)
            return;
    }
    if (parser_->is_done())
        end();
    else
        readBody();
}

void Exchange::readBody()
{
    const auto limit = pool_->limits().unconsumedBytes_;
    if (filled_ >= limit) {
        fail({true, false, "too many bytes of the answer are not consumed"});
        return;
    }
    if (body_.size() - filled_ < firstBuffer / 2)
        body_.resize(std::min(std::max(firstBuffer, body_.size() * 2), limit + firstBuffer));
    auto &body = parser_->get().body();
    body.data = body_.data() + filled_;
    body.size = body_.size() - filled_;
    body.more = true;
    impl::http::async_read_some(connection_->stream_, connection_->buffer_, *parser_,
                                [self = shared_from_this()](impl::error_code error, std::size_t) {
                                    self->takeBody(error);
                                });
}

void Exchange::takeBody(impl::error_code error)
{
    if (listener_ == nullptr)
        return;
    if (error && error != impl::http::error::need_buffer) {
        fail(error, true);
        return;
    }
    const auto before = filled_;
    filled_ = body_.size() - parser_->get().body().size;
    if (isForeign_) {
        const auto size = std::exchange(filled_, before) - before;
        if (!dropBytes(size))
            return;
    }
    if (parser_->is_done()) {
        end();
        return;
    }
    if (filled_ == before)
        readBody();
    else
        listener_->onData({body_.data(), filled_});
}

/// A connection that has ended tells so once; reading on might wait for ever.
void Exchange::readNextAnswer()
{
    if (parser_->need_eof())
        fail(impl::http::error::end_of_stream, true);
    else
        readHead();
}

void Exchange::end()
{
    if (isForeign_) {
        readNextAnswer();
        return;
    }
    if (const auto defect = defectOfEnd(parser_->need_eof(), wasReset_)) {
        fail(*defect);
        return;
    }
    keepConnection();
    if (auto *listener = std::exchange(listener_, nullptr))
        listener->onEnd({body_.data(), filled_});
}

void Exchange::keepConnection()
{
    const bool isReusable = parser_->keep_alive() && connection_->buffer_.size() == 0;
    if (isReusable)
        pool_->keep(address_, connection_,
                    impl::idleTimeoutIn(parser_->get()[impl::http::field::keep_alive]));
    else
        connection_->close();
    connection_.reset();
}

void Exchange::consume(std::size_t size)
{
    std::memmove(body_.data(), body_.data() + size, filled_ - size);
    filled_ -= size;
    if (filled_ == 0 && body_.size() > mostRetained)
        body_ = {};
    if (listener_ != nullptr)
        readBody();
}

void Exchange::fail(impl::error_code error, bool mayHaveLeft)
{
    fail({mayHaveLeft, error == boost::beast::error::timeout, error.message(),
          error == boost::asio::error::connection_refused, impl::defectOf(error)});
}

void Exchange::fail(AnswerDefect defect)
{
    fail({.detail_ = std::string(textOf(defect)), .defect_ = defect});
}

void Exchange::fail(UpstreamFailure failure)
{
    if (connection_)
        connection_->close();
    if (auto *listener = std::exchange(listener_, nullptr))
        listener->onFailure(std::move(failure));
}

void Exchange::cancel()
{
    listener_ = nullptr;
    if (connection_)
        connection_->close();
}

class Call final : public UpstreamCall
{
public:
    explicit Call(std::shared_ptr<Exchange> exchange)
        : exchange_(std::move(exchange))
    {
    }
    ~Call() override { exchange_->cancel(); }
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    void consume(std::size_t size) override { exchange_->consume(size); }

private:
    std::shared_ptr<Exchange> exchange_;
};

} // namespace

class KeptUpstream::Impl : public KeptPool
{
    using KeptPool::KeptPool;
};

KeptUpstream::KeptUpstream(boost::asio::io_context &context, const Clock &clock,
                           KeptUpstreamLimits limits)
    : impl_(std::make_shared<Impl>(context, clock, limits))
{
}

KeptUpstream::~KeptUpstream()
{
    impl_->close();
}

std::unique_ptr<UpstreamCall> KeptUpstream::start(UpstreamRequest request,
                                                  UpstreamListener &listener)
{
    auto exchange = std::make_shared<Exchange>(impl_, std::move(request), listener);
    exchange->start();
    return std::make_unique<Call>(std::move(exchange));
}

bool KeptUpstream::hasUnused(const Address &address) const
{
    return impl_->hasUnused(address);
}

void KeptUpstream::dropUnused(const Address &address)
{
    impl_->drop(address);
}

std::size_t KeptUpstream::opened() const
{
    return impl_->opened();
}

std::size_t KeptUpstream::idle() const
{
    return impl_->idle();
}

} // namespace cardamombay::net
