#include "support/http_listener.hpp"

#include <cardamombay/net/asio_http_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

struct Session
{
    explicit Session(tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::string requestId_;
    bool isKeptAlive_ = false;
};
using SessionPointer = std::shared_ptr<Session>;

net::HttpRequest toRequest(http::request<http::string_body> message)
{
    net::HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    for (const auto &field : message)
        request.fields_.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body_ = std::move(message.body());
    return request;
}

} // namespace

struct HttpListener::Impl : std::enable_shared_from_this<HttpListener::Impl>
{
    Impl(asio::io_context &context, const Address &address, RequestHandler handler,
         std::size_t bodyLimit)
        : acceptor_(context, {asio::ip::make_address(address.ip_), address.port_})
        , handler_(std::move(handler))
        , bodyLimit_(bodyLimit)
    {
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
            if (self->isClosed_)
                return;
            if (!failure) {
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const auto session = std::make_shared<Session>(std::move(socket));
                self->sessions_.insert(session);
                self->read(session);
            }
            self->accept();
        });
    }

    void read(const SessionPointer &session)
    {
        auto &parser = session->parser_.emplace();
        parser.body_limit(bodyLimit_);
        http::async_read(session->socket_, session->buffer_, parser,
                         [self = shared_from_this(), session](error_code failure, std::size_t) {
                             self->takeRequest(session, failure);
                         });
    }

    void takeRequest(const SessionPointer &session, error_code failure)
    {
        if (isClosed_ || failure == http::error::end_of_stream) {
            end(session);
            return;
        }
        if (failure) {
            refuse(session, failure);
            return;
        }
        auto message = session->parser_->release();
        session->isKeptAlive_ = message.keep_alive();
        session->requestId_ = std::string(message[net::requestIdField]);
        handler_(toRequest(std::move(message)),
                 [self = shared_from_this(), session](std::optional<net::HttpResponse> response) {
                     if (response && !self->isClosed_)
                         self->write(session, *std::move(response));
                     else
                         self->end(session);
                 });
    }

    void refuse(const SessionPointer &session, error_code failure)
    {
        constexpr std::uint32_t badRequest = 400;
        constexpr std::uint32_t tooLarge = 413;
        const bool isTooLarge = failure == http::error::body_limit;
        session->isKeptAlive_ = false;
        write(session, {isTooLarge ? tooLarge : badRequest, {}, "{}"});
    }

    void write(const SessionPointer &session, net::HttpResponse answer)
    {
        auto &response = session->response_;
        response = {};
        response.result(answer.status_);
        response.set(http::field::content_type, "application/json");
        if (!session->requestId_.empty())
            response.set(net::requestIdField, session->requestId_);
        for (const auto &field : answer.fields_)
            response.set(field.name_, field.value_);
        response.keep_alive(session->isKeptAlive_);
        response.body() = std::move(answer.body_);
        response.prepare_payload();
        http::async_write(session->socket_, response,
                          [self = shared_from_this(), session](error_code failure, std::size_t) {
                              if (failure || !session->isKeptAlive_ || self->isClosed_)
                                  self->end(session);
                              else
                                  self->read(session);
                          });
    }

    void end(const SessionPointer &session)
    {
        error_code ignored;
        session->socket_.close(ignored);
        sessions_.erase(session);
    }

    void close()
    {
        isClosed_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        for (const auto &session : sessions_)
            session->socket_.close(ignored);
        sessions_.clear();
    }

    tcp::acceptor acceptor_;
    RequestHandler handler_;
    std::size_t bodyLimit_;
    bool isClosed_ = false;
    std::unordered_set<SessionPointer> sessions_;
};

HttpListener::HttpListener(asio::io_context &context, const Address &address,
                           RequestHandler handler, std::size_t bodyLimit)
    : impl_(std::make_shared<Impl>(context, address, std::move(handler), bodyLimit))
{
    impl_->accept();
}

HttpListener::~HttpListener()
{
    impl_->close();
}

Address HttpListener::address() const
{
    const auto endpoint = impl_->acceptor_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

std::string fieldOf(const net::HttpRequest &request, std::string_view name)
{
    net::HttpResponse fields;
    fields.fields_ = request.fields_;
    return fields.field(name);
}

} // namespace cardamombay::support
