/// \file
/// \brief An endpoint of a plain service as docs/ENDPOINTS.md publishes it.
#pragma once

#include "support/run_ledger.hpp"
#include "support/standin_server.hpp"

#include <cardamombay/core/ids.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief One call that a plain endpoint ran.
struct PlainRun
{
    std::string attempt_;
    std::string method_;
    std::string target_;
    std::string idempotencyKey_;
    std::string body_;
    std::string outcome_ = "running"; ///< Then "complete" or "cut".
};

/// \brief Stand-in plain endpoint: echoes the body, keeps a ledger, fails as told.
class PlainStandin
{
public:
    PlainStandin(boost::asio::io_context &context, VmId vm, std::uint16_t port,
                 Incarnation incarnation, const std::string &ledgerFile = "");

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    /// Fault switched by POST /test/behaviour.
    struct Behaviour
    {
        std::string kind_ = "normal";
        std::int64_t count_ = 0; ///< Calls it holds for; zero is all.
        std::chrono::milliseconds delay_{500};
    };

    using Task = boost::asio::awaitable<void>;

    Task handle(StandinExchange &exchange);
    Task handleBehaviour(StandinExchange &exchange);
    Task handleCall(StandinExchange &exchange);
    Task run(StandinExchange &exchange, std::size_t index, const Behaviour &behaviour);
    [[nodiscard]] Behaviour takeBehaviour();
    [[nodiscard]] std::string state() const;
    [[nodiscard]] std::string ledger() const;

    VmId vm_;
    Incarnation incarnation_;
    Behaviour behaviour_;
    std::uint32_t running_ = 0;
    std::vector<PlainRun> runs_;
    RunLedgerFile ledgerFile_;
    StandinServer server_;
};

} // namespace cardamombay::support
