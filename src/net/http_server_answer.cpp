// The writing half of ServerConnection.
#include "net/timeouts.hpp"

#include <net/http_server_connection.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <cstdio>
#include <utility>
#include <vector>

namespace cardamombay::net::impl {

namespace {

constexpr std::size_t lingerRead = 4096;
constexpr std::size_t lingerBytes = std::size_t{1024} * 1024;
constexpr auto lingerTime = std::chrono::seconds(2);
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view lastChunk = "0\r\n";
constexpr std::string_view chunkedField = "Transfer-Encoding: chunked\r\n";

using Buffers = std::vector<boost::asio::const_buffer>;

boost::asio::const_buffer bufferOf(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string chunkHeadOf(std::size_t size)
{
    char text[24];
    const int length = std::snprintf(text, sizeof text, "%zx\r\n", size);
    return {text, static_cast<std::size_t>(length)};
}

void appendFields(std::string &text, std::span<const HttpField> fields)
{
    for (const auto &field : fields) {
        text += field.name_;
        text += ": ";
        text += field.value_;
        text += lineEnd;
    }
}

bool hasBody(std::uint32_t status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string lengthField(const HttpResponse &response)
{
    if (!hasBody(response.status_))
        return {};
    return "Content-Length: " + std::to_string(response.body_.size()) + "\r\n";
}

} // namespace

bool ServerConnection::endsConnection() const
{
    return !keepsAlive_ || worker_->server_->closesAfterResponse_;
}

std::string ServerConnection::headText(const HttpResponse &response, std::string_view framing) const
{
    const auto reason = http::obsolete_reason(http::int_to_status(response.status_));
    std::string text = "HTTP/1.1 " + std::to_string(response.status_) + " ";
    text.append(reason.data(), reason.size());
    text += lineEnd;
    appendFields(text, response.fields_);
    text += framing;
    if (endsConnection())
        text += "Connection: close\r\n";
    text += lineEnd;
    return text;
}

void ServerConnection::respond(HttpResponse response)
{
    if (isClosed_)
        return;
    const bool isLast = endsConnection();
    head_ = headText(response, lengthField(response));
    body_.clear();
    if (!isHead_ && hasBody(response.status_))
        body_ = std::move(response.body_);
    setTimeout(stream_, worker_->server_->limits_.writeTimeout_);
    const Buffers buffers{bufferOf(head_), bufferOf(body_)};
    boost::asio::async_write(stream_, buffers,
                             [self = shared_from_this(), isLast](error_code error, std::size_t) {
                                 self->answered(error, isLast);
                             });
}

void ServerConnection::startStream(const HttpResponse &head)
{
    if (isClosed_)
        return;
    if (!isChunked_) {
        keepsAlive_ = false;
        setResetsOnClose(true);
    }
    head_ = headText(head, isChunked_ ? chunkedField : std::string_view());
}

/// A body that ends with its connection is whole when that is closed in order, so whatever breaks
/// it off, also the end of the process, must reset the connection.
void ServerConnection::setResetsOnClose(bool resets)
{
    error_code ignored;
    stream_.socket().set_option(boost::asio::socket_base::linger(resets, 0), ignored);
}

void ServerConnection::write(std::span<const std::string_view> parts, std::function<void()> written)
{
    if (isClosed_)
        return;
    std::size_t size = 0;
    for (const auto part : parts)
        size += part.size();
    Buffers buffers{bufferOf(head_)};
    if (isChunked_) {
        chunkHead_ = chunkHeadOf(size);
        buffers.push_back(bufferOf(chunkHead_));
    }
    for (const auto part : parts)
        buffers.push_back(bufferOf(part));
    if (isChunked_)
        buffers.push_back(bufferOf(lineEnd));
    setTimeout(stream_, worker_->server_->limits_.writeTimeout_);
    auto handler
        = [self = shared_from_this(), done = std::move(written)](error_code error, std::size_t) {
              if (error) {
                  self->lose();
                  return;
              }
              clearTimeout(self->stream_);
              self->head_.clear();
              done();
          };
    boost::asio::async_write(stream_, buffers, std::move(handler));
}

void ServerConnection::finish(std::span<const HttpField> trailers)
{
    if (isClosed_)
        return;
    const bool isLast = endsConnection();
    if (isChunked_) {
        head_ += lastChunk;
        appendFields(head_, trailers);
        head_ += lineEnd;
    }
    const Buffers buffers{bufferOf(head_)};
    setTimeout(stream_, worker_->server_->limits_.writeTimeout_);
    boost::asio::async_write(stream_, buffers,
                             [self = shared_from_this(), isLast](error_code error, std::size_t) {
                                 if (!self->isChunked_ && !error)
                                     self->setResetsOnClose(false);
                                 self->answered(error, isLast);
                             });
}

void ServerConnection::answered(error_code error, bool isLast)
{
    if (error) {
        lose();
        return;
    }
    if (isClosed_)
        return;
    lost_ = nullptr;
    readTimer_.cancel();
    head_.clear();
    body_.clear();
    if (isLast)
        linger();
    else
        readRequest();
}

/// Closing with unread input would reset the connection and could destroy the answer on its way,
/// so the rest of the input is read and dropped first, within bounds.
void ServerConnection::linger()
{
    setActivity(Activity::Closing);
    error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    setTimeout(stream_, lingerTime);
    buffer_.clear();
    freeInput();
    mayHaveUnread_ = true;
    if (updateShare(InputUse::Closing))
        readUntilEnd();
    else
        close();
}

void ServerConnection::readUntilEnd()
{
    stream_.async_read_some(buffer_.prepare(lingerRead),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                                self->lingered_ += size;
                                if (error || self->lingered_ > lingerBytes)
                                    self->close();
                                else
                                    self->readUntilEnd();
                            });
}

void ServerConnection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    setActivity(Activity::Idle);
    lost_ = nullptr;
    readTimer_.cancel();
    stream_.close();
    // A read that has ended without its handler having run still refers to the parser.
    if (parser_)
        std::string().swap(parser_->get().body());
    (void)worker_->budget_->update(share_, InputUse::Idle, 0);
}

void ServerConnection::closeIfIdle()
{
    error_code ignored;
    const bool hasInput = stream_.socket().available(ignored) != 0;
    if (activity_ == Activity::Idle && !hasInput)
        close();
}

void ServerConnection::lose()
{
    if (isClosed_)
        return;
    const auto lost = std::exchange(lost_, nullptr);
    close();
    if (lost)
        lost();
}

} // namespace cardamombay::net::impl
