/// \file
/// \brief A model engine as docs/ENDPOINTS.md publishes it, without a model.
#pragma once

#include "support/engine_completion.hpp"
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

/// \brief Stand-in engine: orders, loading, streaming, cancelling, ledger and switchable faults.
class EngineStandin
{
public:
    EngineStandin(boost::asio::io_context &context, EngineSettings settings);

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    /// A request that waits for a slot.
    struct Waiter
    {
        std::int64_t priority_;
        std::shared_ptr<boost::asio::steady_timer> timer_;
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
    Task runCompletion(StandinExchange &exchange, EngineCompletion &completion);
    Task stream(StandinExchange &exchange, EngineCompletion &completion);
    Task answerWhole(StandinExchange &exchange, EngineCompletion &completion);
    Task generate(EngineCompletion &completion);
    Task waitForSlot(std::int64_t priority);
    void releaseSlot();
    void cancelAll();
    [[nodiscard]] std::string refusalOf(const StandinRequest &request) const;
    [[nodiscard]] EngineBehaviour takeBehaviour();
    [[nodiscard]] std::string ledger() const;

    boost::asio::io_context &context_;
    EngineSettings settings_;
    EngineMember member_;
    EngineBehaviour behaviour_;
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
