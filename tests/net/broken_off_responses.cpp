// Responses that the server breaks off: a caller must not take the part for the whole.
#include <cardamombay/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <optional>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using Tcp = boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view part = "data: 1\n\n";

/// Streams a part to each caller and then ends the response in a given way.
class Handler final : public HttpHandler
{
public:
    using End = std::function<void(std::shared_ptr<ServerExchange>)>;

    explicit Handler(End end)
        : end_(std::move(end))
    {
    }

    void handle(ServerRequest /*request*/, std::shared_ptr<ServerExchange> exchange) override
    {
        exchange->startStream({200, {}, {}});
        exchange->write({&part, 1}, [this, exchange] { end_(exchange); });
    }
    HttpResponse refusal(ServerFault fault, std::string_view /*detail*/) override
    {
        return {statusOf(fault), {}, {}};
    }

private:
    End end_;
};

struct Received
{
    std::string bytes_;
    error_code end_; ///< End of file if the connection was closed in order.
};

Received callOnce(const std::string &version, Handler::End end)
{
    boost::asio::io_context context;
    Handler handler(std::move(end));
    HttpServer server({{&context, &handler}}, {});
    const auto port = valueOf(server.listen({"127.0.0.1", 0})).port_;
    Tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    const auto request = "POST / HTTP/" + version
                         + "\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    Received received;
    std::optional<error_code> ended;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(received.bytes_),
                            [&](error_code error, std::size_t) { ended = error; });
    while (!ended)
        context.run_one();
    received.end_ = *ended;
    return received;
}

void breakOff(const std::shared_ptr<ServerExchange> &exchange)
{
    exchange->abort();
}

void finishWhole(const std::shared_ptr<ServerExchange> &exchange)
{
    exchange->finish({});
}

} // namespace

Test(broken_off_responses, unframed_stream_that_is_aborted_ends_by_a_reset)
{
    cr_expect(callOnce("1.0", breakOff).end_ == boost::asio::error::connection_reset);
}

Test(broken_off_responses, chunked_stream_that_is_aborted_lacks_its_last_chunk)
{
    const auto received = callOnce("1.1", breakOff);
    cr_expect(received.bytes_.ends_with(std::string(part) + "\r\n"));
}

Test(broken_off_responses, streams_that_are_finished_are_whole)
{
    const auto unframed = callOnce("1.0", finishWhole);
    cr_expect(unframed.end_ == boost::asio::error::eof);
    cr_expect(unframed.bytes_.ends_with("\r\n\r\n" + std::string(part)));
    const auto chunked = callOnce("1.1", finishWhole);
    cr_expect(chunked.end_ == boost::asio::error::eof);
    cr_expect(chunked.bytes_.ends_with("0\r\n\r\n"));
}
