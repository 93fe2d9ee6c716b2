#include "net/answer_head.hpp"
#include "net/timeouts.hpp"

#include <cardamombay/net/upstream_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cstring>
#include <limits>
#include <optional>
#include <utility>

namespace cardamombay::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::size_t firstBuffer = std::size_t{8} * 1024;
constexpr std::size_t mostUnconsumed = std::size_t{32} * 1024 * 1024;
/// Also of a line between the parts of a body, such as the head of a chunk.
constexpr std::size_t headerLimit = std::size_t{64} * 1024;

http::request<http::string_body> messageOf(const UpstreamRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method_);
    message.target(request.target_);
    message.version(11);
    message.set(http::field::host, request.address_.text());
    message.set(http::field::connection, "close");
    for (const auto &field : request.fields_)
        message.insert(field.name_, field.value_);
    message.body() = request.body_.view();
    message.prepare_payload();
    return message;
}

/// Lives until its operations are done; the listener is dropped when the call is.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(asio::io_context &context, const UpstreamRequest &request, UpstreamListener &listener)
        : stream_(context)
        , listener_(&listener)
        , address_(request.address_)
        , connectTimeout_(request.connectTimeout_)
        , message_(messageOf(request))
    {
    }

    void start();
    void cancel();
    void consume(std::size_t size);

private:
    void connect(const asio::ip::tcp::endpoint &endpoint);
    void send();
    void readHead();
    void takeHead();
    void readBody();
    void takeBody(error_code error);
    void fail(error_code error, bool mayHaveLeft);
    void fail(AnswerDefect defect);
    void fail(UpstreamFailure failure);

    beast::tcp_stream stream_;
    UpstreamListener *listener_;
    Address address_;
    Duration connectTimeout_;
    http::request<http::string_body> message_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::size_t interimBytes_ = 0;
    impl::HeadBuffer buffer_{headerLimit};
    std::string body_; ///< Unconsumed bytes first, then room for more.
    std::size_t filled_ = 0;
};

void Exchange::start()
{
    error_code error;
    const auto ip = asio::ip::make_address(address_.ip_, error);
    if (error) {
        asio::post(stream_.get_executor(),
                   [self = shared_from_this(), error] { self->fail(error, false); });
        return;
    }
    connect({ip, address_.port_});
}

void Exchange::connect(const asio::ip::tcp::endpoint &endpoint)
{
    impl::setTimeout(stream_, connectTimeout_);
    stream_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
        if (error)
            self->fail(error, false);
        else if (self->listener_ != nullptr && self->listener_->onConnected())
            self->send();
    });
}

void Exchange::send()
{
    error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    impl::clearTimeout(stream_);
    http::async_write(stream_, message_,
                      [self = shared_from_this()](error_code error, std::size_t) {
                          if (error)
                              self->fail(error, true);
                          else
                              self->readHead();
                      });
}

void Exchange::readHead()
{
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->header_limit(headerLimit);
    parser_->skip(message_.method() == http::verb::head);
    buffer_.beginHead();
    http::async_read_header(stream_, buffer_, *parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                                if (error)
                                    self->fail(error, true);
                                else
                                    self->takeHead();
                            });
}

void Exchange::takeHead()
{
    if (listener_ == nullptr)
        return;
    auto [head, defect] = impl::takeHead(*parser_, buffer_, message_[http::field::accept_encoding]);
    if (defect) {
        fail(*defect);
        return;
    }
    if (isInterim(head.status_)) {
        interimBytes_ += buffer_.headBytes();
        if (interimBytes_ > headerLimit)
            fail({true, false, "too many bytes before the answer"});
        else
            readHead();
        return;
    }
    listener_->onHead(std::move(head));
    if (listener_ == nullptr)
        return;
    if (parser_->is_done())
        listener_->onEnd({body_.data(), filled_});
    else
        readBody();
}

void Exchange::readBody()
{
    if (filled_ >= mostUnconsumed) {
        fail({true, false, "the answer is too large"});
        return;
    }
    if (body_.size() - filled_ < firstBuffer / 2)
        body_.resize(std::max(firstBuffer, body_.size() * 2));
    auto &body = parser_->get().body();
    body.data = body_.data() + filled_;
    body.size = body_.size() - filled_;
    body.more = true;
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, std::size_t) { self->takeBody(error); });
}

void Exchange::takeBody(error_code error)
{
    if (listener_ == nullptr)
        return;
    if (error && error != http::error::need_buffer) {
        fail(error, true);
        return;
    }
    const auto before = filled_;
    filled_ = body_.size() - parser_->get().body().size;
    if (parser_->is_done()) {
        if (filled_ != before)
            listener_->onData({body_.data(), filled_});
        if (listener_ != nullptr)
            listener_->onEnd({body_.data(), filled_});
        return;
    }
    if (filled_ == before)
        readBody();
    else
        listener_->onData({body_.data(), filled_});
}

void Exchange::consume(std::size_t size)
{
    std::memmove(body_.data(), body_.data() + size, filled_ - size);
    filled_ -= size;
    if (!parser_->is_done())
        readBody();
}

void Exchange::fail(error_code error, bool mayHaveLeft)
{
    fail({mayHaveLeft, error == beast::error::timeout, error.message(), false,
          impl::defectOf(error)});
}

void Exchange::fail(AnswerDefect defect)
{
    fail({.detail_ = std::string(textOf(defect)), .defect_ = defect});
}

void Exchange::fail(UpstreamFailure failure)
{
    stream_.close();
    if (auto *listener = std::exchange(listener_, nullptr))
        listener->onFailure(std::move(failure));
}

void Exchange::cancel()
{
    listener_ = nullptr;
    stream_.close();
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

std::unique_ptr<UpstreamCall> UpstreamClient::start(UpstreamRequest request,
                                                    UpstreamListener &listener)
{
    auto exchange = std::make_shared<Exchange>(context_, std::move(request), listener);
    exchange->start();
    return std::make_unique<Call>(std::move(exchange));
}

} // namespace cardamombay::net
