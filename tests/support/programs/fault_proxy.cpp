/// \file
/// \brief Program: fault-injecting links on 127.0.0.1, opened and steered over HTTP.
/// \details POST /test/links {ip,port} opens a link to that target and answers with its number and
/// port. POST /test/links/N/faults replaces the faults of a link: {to_server: {delay_ms,
/// partitioned, drop, cut_after, bytes_per_second}, to_client: {the same}, refuse, ignore,
/// duplicate_answers, replay_answers, swap_answers}; what is not named is off. POST
/// /test/links/N/cut and /test/links/N/half_open act at once. GET /test/links lists the links.
#include "support/fault_proxy_control.hpp"
#include "support/http_listener.hpp"
#include "support/program_options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

using namespace cardamombay;

int main(int argc, char **argv)
{
    constexpr std::size_t bodyLimit = 65536;
    std::uint64_t port = 0;
    support::ProgramOptions()
        .number("port", port, "port of the control interface; 0 takes a free one")
        .parse(argc, argv);

    boost::asio::io_context context(1);
    support::FaultProxyControl control(context);
    const auto handler = [&](const net::HttpRequest &request, const support::Respond &respond) {
        respond(control.handle(request));
    };
    const Address address{"127.0.0.1", static_cast<std::uint16_t>(port)};
    const support::HttpListener listener(context, address, handler, bodyLimit);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const auto &, int) { context.stop(); });
    std::cout << "listening port=" << listener.address().port_ << std::endl;
    context.run();
    return 0;
}
