/// \file
/// \brief Endpoint within the test process whose answers are written by the test.
#pragma once

#include <cardamombay/net/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cardamombay::test {

using Exchange = std::shared_ptr<net::ServerExchange>;
using Script = std::function<void(const net::ServerRequest &, const Exchange &)>;

/// \brief Listens on 127.0.0.1 in a thread of its own and plays its script for each request.
class TestEngine final : public net::HttpHandler
{
public:
    explicit TestEngine(Script script);
    ~TestEngine() override;

    [[nodiscard]] Address address() const { return address_; }
    /// \brief Requests so far, but for cancellations.
    [[nodiscard]] std::size_t requests() const;
    [[nodiscard]] net::ServerRequest request(std::size_t index) const;
    /// \brief Attempts that were cancelled by DELETE.
    [[nodiscard]] std::size_t cancels() const;
    [[nodiscard]] boost::asio::io_context &context() { return context_; }

    void handle(net::ServerRequest request, Exchange exchange) override;
    net::HttpResponse refusal(net::ServerFault, std::string_view) override { return {400, {}, {}}; }

private:
    boost::asio::io_context context_;
    Script script_;
    mutable std::mutex mutex_;
    std::vector<net::ServerRequest> requests_;
    std::size_t cancels_ = 0;
    net::HttpServer server_;
    Address address_;
    std::thread thread_;
};

/// \name Parts of answers
/// \{
[[nodiscard]] net::HttpResponse streamHead(const net::ServerRequest &request);
[[nodiscard]] std::string tokenEvent(std::string_view attempt, std::uint64_t index);
/// \brief Sends a part of a stream and then calls \p next.
void send(const Exchange &exchange, std::string text, std::function<void()> next);
/// \brief The attempt id that \p request carries.
[[nodiscard]] std::string attemptOf(const net::ServerRequest &request);
/// \brief Position that \p request asks to go on from; zero if it does not.
[[nodiscard]] std::uint64_t resumeFrom(const net::ServerRequest &request);
/// \}

/// \name Scripts
/// \{
/// \brief Streams tokens up to \p count and the end marker, from where the request asks.
[[nodiscard]] Script streamsWhole(std::uint64_t count);
/// \brief Streams up to token \p count and then cuts the connection.
[[nodiscard]] Script streamsAndBreaks(std::uint64_t count);
/// \brief Streams up to token \p count and then stays silent.
[[nodiscard]] Script streamsAndHangs(std::uint64_t count);
/// \brief Answers as a whole with \p body; "ID" in it becomes the attempt.
[[nodiscard]] Script answers(std::uint32_t status, std::string body);
/// \}

} // namespace cardamombay::test
