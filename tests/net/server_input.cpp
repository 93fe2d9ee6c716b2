// The memory that a server's connections are charged, on all ways that a request can end.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using std::chrono::milliseconds;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t bodyLimit = std::size_t{256} * 1024;
constexpr std::size_t bound = std::size_t{1024} * 1024;

/// Keeps requests until the test answers them.
class Handler final : public HttpHandler
{
public:
    void handle(ServerRequest request, std::shared_ptr<ServerExchange> exchange) override
    {
        exchange->onLost([this] { ++lost_; });
        bodies_.push_back(std::move(request.body_));
        exchanges_.push_back(std::move(exchange));
    }
    HttpResponse refusal(ServerFault fault, std::string_view /*detail*/) override
    {
        return {statusOf(fault), {}, "refused"};
    }

    void answerAll()
    {
        for (auto &exchange : std::exchange(exchanges_, {}))
            exchange->respond({200, {}, "done"});
    }

    std::vector<std::string> bodies_;
    std::vector<std::shared_ptr<ServerExchange>> exchanges_;
    int lost_ = 0;
};

struct Fixture
{
    explicit Fixture(HttpServerLimits limits = {})
    {
        limits.bodyBytes_ = bodyLimit;
        limits.endsOnHalfClose_ = true;
        limits.readTimeout_ = milliseconds(300);
        server_.emplace(std::vector<ServerWorker>{{&context_, &handler_, &budget_}}, limits);
        port_ = valueOf(server_->listen({"127.0.0.1", 0})).port_;
    }

    Tcp::socket connect()
    {
        Tcp::socket socket(context_);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), port_});
        return socket;
    }

    void send(Tcp::socket &socket, std::string bytes)
    {
        auto kept = std::make_shared<std::string>(std::move(bytes));
        boost::asio::async_write(socket, boost::asio::buffer(*kept),
                                 [kept](boost::system::error_code, std::size_t) {});
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end)
            context_.run_one_for(milliseconds(20));
        return condition();
    }

    /// \returns the first line of what comes next.
    std::string receiveLine(Tcp::socket &socket)
    {
        std::string text(4096, '\0');
        std::optional<std::size_t> size;
        socket.async_read_some(boost::asio::buffer(text),
                               [&size](boost::system::error_code, std::size_t got) { size = got; });
        cr_assert(runUntil([&size] { return size.has_value(); }));
        return text.substr(0, std::min(*size, text.find('\r')));
    }

    bool endsWithoutBytes()
    {
        return runUntil([this] { return server_->connections() == 0 && budget_.bytes() == 0; });
    }

    ManualClock clock_;
    BoundedInputBudget budget_{clock_, bound};
    boost::asio::io_context context_;
    Handler handler_;
    std::optional<HttpServer> server_;
    std::uint16_t port_ = 0;
};

std::string headWithLength(std::size_t length, const std::string &fields = {})
{
    return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: " + std::to_string(length)
           + "\r\n\r\n";
}

constexpr std::string_view chunkedHead
    = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A body that is larger than what the server holds for a connection without one.
constexpr std::size_t bodySize = std::size_t{100} * 1024;

} // namespace

Test(server_input, answered_request_frees_its_body_while_the_connection_stays)
{
    Fixture fixture;
    auto socket = fixture.connect();
    fixture.send(socket, headWithLength(bodySize) + std::string(bodySize, 'x'));
    cr_assert(fixture.runUntil([&] { return fixture.handler_.bodies_.size() == 1; }));
    cr_assert_eq(fixture.handler_.bodies_[0].size(), bodySize);
    cr_assert_gt(fixture.budget_.bytes(), bodySize);
    fixture.handler_.answerAll();
    cr_assert_eq(fixture.receiveLine(socket), "HTTP/1.1 200 OK");
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() < bodySize / 2; }));
    socket.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, long_heads_and_trailers_are_charged_until_the_answer)
{
    Fixture fixture;
    constexpr std::size_t fieldSize = std::size_t{6} * 1024;
    const std::string field(fieldSize, 'f');
    auto socket = fixture.connect();
    fixture.send(socket, "POST / HTTP/1.1\r\nHost: h\r\nLong: " + field
                             + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer-Field: " + field
                             + "\r\n\r\n");
    cr_assert(fixture.runUntil([&] { return fixture.handler_.bodies_.size() == 1; }));
    const auto held = fixture.budget_.bytes();
    fixture.handler_.answerAll();
    cr_assert_eq(fixture.receiveLine(socket), "HTTP/1.1 200 OK");
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() < held; }));
    cr_assert_geq(held - fixture.budget_.bytes(), 2 * fieldSize);
    socket.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, body_of_one_byte_chunks_is_whole_and_charged_as_it_comes)
{
    Fixture fixture;
    auto socket = fixture.connect();
    std::string chunks;
    for (std::size_t i = 0; i < bodySize; ++i)
        chunks += "1\r\n" + std::string(1, static_cast<char>('a' + i % 26)) + "\r\n";
    fixture.send(socket, std::string(chunkedHead) + chunks);
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() > bodySize; }));
    fixture.send(socket, "0\r\n\r\n");
    cr_assert(fixture.runUntil([&] { return fixture.handler_.bodies_.size() == 1; }));
    const auto &body = fixture.handler_.bodies_[0];
    cr_assert_eq(body.size(), bodySize);
    for (std::size_t i = 0; i < body.size(); ++i)
        cr_assert_eq(body[i], static_cast<char>('a' + i % 26));
    fixture.handler_.answerAll();
    socket.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, request_that_does_not_arrive_in_time_frees_its_body)
{
    Fixture fixture;
    auto socket = fixture.connect();
    fixture.send(socket, headWithLength(bodySize) + std::string(bodySize - 1, 'x'));
    cr_assert_eq(fixture.receiveLine(socket), "HTTP/1.1 408 Request Timeout");
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() < bodySize; }));
    socket.close();
    cr_assert(fixture.endsWithoutBytes());
    cr_assert(fixture.handler_.bodies_.empty());
}

Test(server_input, body_over_the_limit_frees_what_was_received)
{
    Fixture fixture;
    auto announced = fixture.connect();
    fixture.send(announced, headWithLength(bodyLimit + 1));
    cr_assert_eq(fixture.receiveLine(announced), "HTTP/1.1 413 Payload Too Large");
    auto sent = fixture.connect();
    fixture.send(sent, std::string(chunkedHead) + "50000\r\n" + std::string(0x50000, 'x'));
    cr_assert_eq(fixture.receiveLine(sent), "HTTP/1.1 413 Payload Too Large");
    announced.close();
    sent.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, reset_and_half_closed_connections_free_their_bodies)
{
    Fixture fixture;
    auto reset = fixture.connect();
    auto halfClosed = fixture.connect();
    for (auto *socket : {&reset, &halfClosed})
        fixture.send(*socket, headWithLength(bodySize) + std::string(bodySize - 1, 'x'));
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() > 2 * bodySize; }));
    reset.set_option(boost::asio::socket_base::linger(true, 0));
    reset.close();
    halfClosed.shutdown(Tcp::socket::shutdown_send);
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() < bodySize; }));
    halfClosed.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, close_behind_the_next_request_ends_the_one_that_is_answered)
{
    Fixture fixture;
    auto socket = fixture.connect();
    fixture.send(socket, headWithLength(1) + "x");
    cr_assert(fixture.runUntil([&] { return fixture.handler_.bodies_.size() == 1; }));
    fixture.send(socket, headWithLength(bodySize) + std::string(bodySize / 16, 'x'));
    fixture.runUntil([&] { return fixture.budget_.bytes() > bodySize / 4; });
    socket.close();
    cr_assert(fixture.runUntil([&] { return fixture.handler_.lost_ == 1; }));
    fixture.handler_.exchanges_.clear();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, announced_body_that_cannot_fit_is_refused_before_it_is_sent)
{
    Fixture fixture;
    fixture.budget_.setBound(bodySize);
    auto socket = fixture.connect();
    fixture.send(socket, headWithLength(bodySize, "Expect: 100-continue\r\n"));
    cr_assert_eq(fixture.receiveLine(socket), "HTTP/1.1 503 Service Unavailable");
    socket.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, incomplete_body_is_refused_for_the_sake_of_a_complete_one)
{
    Fixture fixture;
    auto stalled = fixture.connect();
    fixture.send(stalled, headWithLength(bodySize) + std::string(bodySize - 1, 'x'));
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() > 2 * bodySize; }));
    fixture.clock_.advance(std::chrono::seconds(1));
    fixture.budget_.setBound(bodySize * 3);
    auto whole = fixture.connect();
    fixture.send(whole, headWithLength(bodySize) + std::string(bodySize, 'y'));
    cr_assert(fixture.runUntil([&] { return fixture.handler_.bodies_.size() == 1; }));
    cr_assert_eq(fixture.handler_.bodies_[0], std::string(bodySize, 'y'));
    cr_assert_eq(fixture.receiveLine(stalled), "HTTP/1.1 503 Service Unavailable");
    fixture.handler_.answerAll();
    stalled.close();
    whole.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, stop_of_the_server_frees_incomplete_requests_in_time)
{
    Fixture fixture;
    auto socket = fixture.connect();
    fixture.send(socket, headWithLength(bodySize) + std::string(bodySize - 1, 'x'));
    cr_assert(fixture.runUntil([&] { return fixture.budget_.bytes() > bodySize; }));
    fixture.server_->closeConnectionsAfterResponse();
    fixture.server_->stopAccepting();
    HttpServerLimits lowered;
    lowered.bodyBytes_ = 1;
    fixture.server_->setLimits(lowered);
    cr_assert_eq(fixture.receiveLine(socket), "HTTP/1.1 408 Request Timeout");
    socket.close();
    cr_assert(fixture.endsWithoutBytes());
}

Test(server_input, connections_that_only_stay_open_do_not_keep_others_out)
{
    HttpServerLimits limits;
    limits.connections_ = 4;
    Fixture fixture(limits);
    std::vector<Tcp::socket> idle;
    for (std::size_t i = 0; i < limits.connections_; ++i)
        idle.push_back(fixture.connect());
    cr_assert(fixture.runUntil([&] { return fixture.server_->connections() == 4; }));
    auto socket = fixture.connect();
    fixture.send(socket, headWithLength(1) + "x");
    cr_assert(fixture.runUntil([&] { return fixture.handler_.bodies_.size() == 1; }));
    cr_assert_leq(fixture.server_->connections(), 4);
}

/// A connection that breaks after a read has succeeded must not start that request.
Test(server_input, connections_that_break_at_any_moment_leave_nothing_behind)
{
    Fixture fixture;
    Random random(7);
    const std::string whole = headWithLength(bodySize) + std::string(bodySize, 'x');
    std::deque<Tcp::socket> sockets; // Their writes end after they are closed.
    for (int round = 0; round < 300; ++round) {
        for (int i = 0; i < 4; ++i) {
            sockets.push_back(fixture.connect());
            fixture.send(sockets.back(), whole + whole.substr(0, random.below(whole.size())));
        }
        for (auto socket = sockets.end() - 4; socket != sockets.end(); ++socket) {
            for (std::size_t turn = random.below(12); turn > 0; --turn)
                fixture.context_.poll_one();
            if (random.below(3) == 0)
                fixture.handler_.answerAll();
            socket->set_option(boost::asio::socket_base::linger(random.below(2) == 0, 0));
            socket->close();
        }
        fixture.clock_.advance(milliseconds(1));
    }
    cr_assert(fixture.runUntil([&fixture] {
        fixture.handler_.answerAll();
        return fixture.server_->connections() == 0;
    }));
    cr_assert_eq(fixture.budget_.bytes(), 0);
    cr_assert_eq(fixture.server_->busyConnections(), 0);
}
