/// \file
/// \brief One caller's connection: reads requests one after the other and writes the answers.
#pragma once

#include "net/timeouts.hpp"

#include <net/http_server_state.hpp>
#include <net/received_body.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamombay::net::impl {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// \brief Connection; kept alive by its pending operations and its exchange.
class ServerConnection final : public InputHolder,
                               public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Tcp::socket socket, std::shared_ptr<WorkerState> worker);
    ~ServerConnection() override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();
    void close();
    void closeIfIdle();
    void releaseInput() override;
    [[nodiscard]] const InputShare &share() const { return share_; }

    /// \name Answering; called by the exchange of the present request
    /// \{
    void respond(HttpResponse response);
    void startStream(const HttpResponse &head);
    void write(std::span<const std::string_view> parts, std::function<void()> written);
    void finish(std::span<const HttpField> trailers);
    void onLost(std::function<void()> lost) { lost_ = std::move(lost); }
    /// \}

private:
    enum class Activity { Idle, Reading, Answering, Closing };

    /// \name Reading
    /// \{
    void readRequest();
    void readHeader();
    [[nodiscard]] bool acceptsBody();
    void readBody();
    void readBodyBytes();
    void awaitBodyBytes();
    void handleRequest();
    void handleReadError(error_code error);
    /// \brief True for a read that was cancelled after it had succeeded.
    [[nodiscard]] bool isReadEnded() const { return isClosed_ || readFault_; }
    void refuse(ServerFault fault, std::string_view detail);
    void startReadTimer();
    void setActivity(Activity activity);
    void watchForReset();
    void watchForClose();
    void checkForClose();
    void awaitHangUp();
    void checkForHangUp();
    /// \}

    /// \name Memory
    /// \{
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] bool updateShare(InputUse use);
    void widenWindow();
    void freeInput();
    /// \}

    /// \name Writing
    /// \{
    [[nodiscard]] std::string headText(const HttpResponse &response,
                                       std::string_view framing) const;
    [[nodiscard]] bool endsConnection() const;
    void setResetsOnClose(bool resets);
    void answered(error_code error, bool isLast);
    void linger();
    void readUntilEnd();
    void lose();
    /// \}

    beast::tcp_stream stream_;
    TimeoutTimer readTimer_;
    std::shared_ptr<WorkerState> worker_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<ReceivedBody>> parser_;
    Activity activity_ = Activity::Idle;
    InputShare share_;
    std::size_t windowBytes_;   ///< What the socket may hold unread.
    std::size_t headBytes_ = 0; ///< Of the present request.
    std::size_t bodyBytes_ = 0; ///< Of the present request.
    bool mayHaveUnread_ = false;
    std::optional<ServerFault> readFault_; ///< Why the pending read was cancelled.
    bool isClosed_ = false;
    bool isWatchingClose_ = false;
    bool keepsAlive_ = true;
    bool isHead_ = false;
    bool isChunked_ = true; ///< False for HTTP/1.0 callers: their end of stream is the close.
    std::size_t lingered_ = 0;
    std::string head_; ///< Head of the response that is being sent.
    std::string body_;
    std::string chunkHead_;
    std::function<void()> lost_;
};

} // namespace cardamombay::net::impl
