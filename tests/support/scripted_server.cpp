#include "support/scripted_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <utility>

namespace cardamombay::support {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct ScriptedServer::Impl : std::enable_shared_from_this<ScriptedServer::Impl>
{
    struct Session
    {
        explicit Session(tcp::socket socket)
            : socket_(std::move(socket))
            , timer_(socket_.get_executor())
        {
        }

        tcp::socket socket_;
        asio::steady_timer timer_;
        boost::beast::flat_buffer buffer_;
        http::request<http::string_body> request_;
        ScriptedAnswer answer_;
    };
    using SessionPointer = std::shared_ptr<Session>;

    Impl(asio::io_context &context, std::vector<ScriptedAnswer> script)
        : acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
        , script_(script.begin(), script.end())
    {
    }

    void accept()
    {
        acceptor_.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
            if (failure)
                return;
            self->sessions_.push_back(std::make_shared<Session>(std::move(socket)));
            self->read(self->sessions_.back());
            self->accept();
        });
    }

    void read(const SessionPointer &session)
    {
        session->request_ = {};
        http::async_read(session->socket_, session->buffer_, session->request_,
                         [self = shared_from_this(), session](error_code failure, std::size_t) {
                             if (!failure)
                                 self->answer(session);
                         });
    }

    void answer(const SessionPointer &session)
    {
        bodies_.push_back(session->request_.body());
        if (script_.empty())
            return;
        session->answer_ = std::move(script_.front());
        script_.pop_front();
        if (session->answer_.resets_) {
            reset(session);
            return;
        }
        session->timer_.expires_after(session->answer_.delay_);
        session->timer_.async_wait([self = shared_from_this(), session](error_code failure) {
            if (!failure)
                self->write(session, session->answer_.bytes_);
        });
    }

    void reset(const SessionPointer &session)
    {
        session->socket_.set_option(asio::socket_base::linger(true, 0));
        session->socket_.close();
    }

    void write(const SessionPointer &session, const std::string &bytes)
    {
        asio::async_write(session->socket_, asio::buffer(bytes),
                          [self = shared_from_this(), session](error_code failure, std::size_t) {
                              if (!failure)
                                  self->afterWrite(session);
                          });
    }

    void afterWrite(const SessionPointer &session)
    {
        if (!session->answer_.laterBytes_.empty()) {
            session->answer_.bytes_ = std::exchange(session->answer_.laterBytes_, {});
            session->timer_.expires_after(std::chrono::milliseconds(20));
            session->timer_.async_wait([self = shared_from_this(), session](error_code failure) {
                if (!failure)
                    self->write(session, session->answer_.bytes_);
            });
            return;
        }
        if (session->answer_.resetsLater_) {
            session->timer_.expires_after(std::chrono::milliseconds(20));
            session->timer_.async_wait([self = shared_from_this(), session](error_code failure) {
                if (!failure)
                    self->reset(session);
            });
            return;
        }
        if (session->answer_.closes_)
            session->socket_.close();
        else
            read(session);
    }

    void closeConnections()
    {
        for (const auto &session : sessions_) {
            error_code ignored;
            session->timer_.cancel();
            session->socket_.close(ignored);
        }
    }

    tcp::acceptor acceptor_;
    std::deque<ScriptedAnswer> script_;
    std::vector<SessionPointer> sessions_;
    std::vector<std::string> bodies_;
};

ScriptedServer::ScriptedServer(asio::io_context &context, std::vector<ScriptedAnswer> script)
    : impl_(std::make_shared<Impl>(context, std::move(script)))
{
    impl_->accept();
}

ScriptedServer::~ScriptedServer()
{
    error_code ignored;
    impl_->acceptor_.close(ignored);
    impl_->closeConnections();
}

void ScriptedServer::add(ScriptedAnswer answer)
{
    impl_->script_.push_back(std::move(answer));
}

Address ScriptedServer::address() const
{
    return {"127.0.0.1", impl_->acceptor_.local_endpoint().port()};
}

std::size_t ScriptedServer::connections() const
{
    return impl_->sessions_.size();
}

const std::vector<std::string> &ScriptedServer::bodies() const
{
    return impl_->bodies_;
}

void ScriptedServer::closeConnections()
{
    impl_->closeConnections();
}

std::string jsonAnswer(const std::string &body, int status, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Scripted\r\nContent-Type: application/json\r\n"
           + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace cardamombay::support
