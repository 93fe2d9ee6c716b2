/// \file
/// \brief A model engine as docs/ENDPOINTS.md publishes it, without a model.
#pragma once

#include "support/engine_member.hpp"
#include "support/run_ledger.hpp"
#include "support/standin_server.hpp"

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::support {

/// \brief How a stand-in engine is started.
struct EngineSettings
{
    VmId vm_;
    std::uint16_t port_ = 0;
    Incarnation incarnation_;
    bool checksFencing_ = true;
    Duration loadTime_ = std::chrono::milliseconds(100); ///< Without a weight store.
    std::optional<Address> weights_;                     ///< The platform's weight store.
    Duration tokenTime_ = std::chrono::milliseconds(5);
    std::uint32_t slots_ = 16;                               ///< Requests batched at once.
    Duration loadInterval_ = std::chrono::milliseconds(500); ///< Between load reports.
    std::string ledgerFile_; ///< Runs are appended here before they start; empty writes none.
};

/// \brief What the text of a completion depends on.
struct CompletionInput
{
    std::string model_;
    std::string modelVersion_;
    std::string prompt_; ///< Chats: contents of all messages, joined by line feeds.
    std::uint64_t seed_ = 0;
};

/// \brief Token \p index of the completion; a pure function, so that any part can be checked.
[[nodiscard]] std::string tokenText(const CompletionInput &input, std::uint32_t index);

/// \brief Tokens [first, count) joined.
[[nodiscard]] std::string completionText(const CompletionInput &input, std::uint32_t first,
                                         std::uint32_t count);

/// \brief One request that an engine ran, whole or in part.
struct EngineRun
{
    std::string attempt_;
    std::string bodyHash_;
    std::string idempotencyKey_;
    std::string user_; ///< Field "user" of the body: the caller's own mark.
    std::uint32_t firstToken_ = 0;
    std::uint32_t tokens_ = 0;        ///< Generated, whether delivered or not.
    std::string outcome_ = "running"; ///< Then "complete", "cancelled" or "cut".
};

/// \brief Stand-in engine: orders, loading, streaming, cancelling, ledger and switchable faults.
class EngineStandin
{
public:
    EngineStandin(boost::asio::io_context &context, EngineSettings settings);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    struct Completion;

    /// A request that waits for a slot.
    struct Waiter
    {
        std::int64_t priority_;
        std::shared_ptr<boost::asio::steady_timer> timer_;
    };

    /// Fault switched by POST /test/behaviour.
    struct Behaviour
    {
        std::string kind_ = "normal";
        std::uint32_t count_ = 0; ///< Requests it holds for; zero is all.
        std::uint32_t afterTokens_ = 2;
        Duration delay_ = std::chrono::milliseconds(500);
    };

    using Task = boost::asio::awaitable<void>;

    Task handle(StandinExchange &exchange);
    Task handleOrder(StandinExchange &exchange);
    Task handleBehaviour(StandinExchange &exchange);
    Task handleCancel(StandinExchange &exchange);
    Task handleCompletion(StandinExchange &exchange);
    Task refuse(StandinExchange &exchange, unsigned status, std::string_view reason);
    Task load(endpoint::EndpointOrder order);
    Task fetchWeights(const endpoint::EndpointOrder &order, bool &isLoaded);
    Task reportLoad();
    Task runCompletion(StandinExchange &exchange, Completion &completion);
    Task stream(StandinExchange &exchange, Completion &completion);
    Task answerWhole(StandinExchange &exchange, Completion &completion);
    Task generate(Completion &completion);
    Task waitForSlot(std::int64_t priority);
    void releaseSlot();
    void cancelAll();
    [[nodiscard]] std::string refusalOf(const StandinRequest &request) const;
    [[nodiscard]] Behaviour takeBehaviour();
    [[nodiscard]] std::string ledger() const;

    boost::asio::io_context &context_;
    EngineSettings settings_;
    EngineMember member_;
    Behaviour behaviour_;
    std::vector<std::shared_ptr<EngineRun>> runs_;
    RunLedgerFile ledgerFile_;
    std::set<std::string> cancelled_;
    std::list<Waiter> waiting_;
    std::uint32_t running_ = 0;
    std::chrono::steady_clock::time_point loadTakenAt_;
    endpoint::LoadReport loadReport_;
    StandinServer server_;
};

} // namespace cardamombay::support
