/// \file
/// \brief Test double of the users' engines, which form groups on orders, and of plain endpoints.
#pragma once

#include "support/endless_answer.hpp"
#include "support/row_store_standin.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cardamombay::support {

class GroupEngineStandin;

/// \brief All engines by id, with their shared observations.
struct EngineRegistry
{
    RowStoreStandin &store_;
    std::map<std::string, std::shared_ptr<GroupEngineStandin>> engines_;
    std::map<std::string, int> runs_; ///< Execution starts by request id.
    std::vector<std::string> violations_;
    int crashes_ = 0; ///< Engine crashes caused by poison-pill requests.
    EndlessAnswers endlessAnswers_{};
};

/// \brief One engine, or one endpoint of a plain service if it has no fabric domain.
/// \details A group streams only while all its members respond. A request that starts in an
/// incomplete group, and a join while the head of the engine's group is serving, are recorded as
/// violations. A request for a path that ends with "/pill", or with part "dead" in its
/// prompt, crashes the engine when it starts to
/// run; the engine restarts after 1.5 s with the same id and without a group.
class GroupEngineStandin
{
public:
    GroupEngineStandin(boost::asio::io_context &context, EngineRegistry &registry, std::string id,
                       std::string service, std::string domain);

    /// \brief Writes the engine's entry to the store; called after each change.
    void registerEntry();
    /// \brief Stops responding; the entry stays until it is removed with /test/expire.
    void stopResponding() { isSilent_ = true; }
    [[nodiscard]] bool isSilent() const { return isSilent_; }
    /// \brief Marks the entry as draining.
    void drain();
    /// \brief Number of crashes caused by poison-pill requests.
    [[nodiscard]] int crashCount() const { return crashCount_; }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// \brief Announces the rate limit \p perSecond in each response, or none if it is empty, and
    /// clears the recorded arrivals.
    void setRateLimit(std::string perSecond);
    /// \brief Refuses all requests for \p refusalPeriod with \p cooldown as Retry-After, and clears
    /// the recorded arrivals.
    void startCooldown(std::chrono::milliseconds refusalPeriod, std::string cooldown);
    /// \brief Announces in its responses, but not in its entry, that it is leaving, and clears the
    /// recorded arrivals.
    void announceLeaving();
    /// \brief Sends bytes without end in place of answers.
    /// \param kind as of endlessAnswer(); with "control-" before it, orders and questions about the
    /// state are answered so, otherwise requests. Empty: the engine answers again.
    void setEndlessAnswers(std::string kind) { endlessKind_ = std::move(kind); }
    /// \brief Arrival times of requests since the limit, cooldown or leaving state was last set.
    [[nodiscard]] const std::vector<std::chrono::steady_clock::time_point> &arrivals() const
    {
        return arrivals_;
    }
    /// \brief Registers another local port, which forwards to this engine.
    void registerAt(std::uint16_t port);

private:
    struct Group
    {
        std::string name_;
        std::uint64_t epoch_ = 0;
        std::size_t rank_ = 0;
        std::vector<std::string> members_;
        std::string state_ = "joining";
    };

    boost::asio::awaitable<void> handle(StandinExchange &exchange);
    boost::asio::awaitable<void> run(StandinExchange &exchange);
    boost::asio::awaitable<void> stream(StandinExchange &exchange);
    boost::asio::awaitable<void> order(StandinExchange &exchange);
    unsigned join(const std::string &body);
    unsigned changeGroup(const std::string &body);
    boost::asio::awaitable<void> becomeReady(std::uint64_t epoch, bool wasStaged);
    boost::asio::awaitable<void> becomeOpen(std::uint64_t epoch);
    /// \brief Simulates a process crash with a later restart.
    [[nodiscard]] static bool hasDeadlyPart(StandinExchange &exchange);
    void crash();
    boost::asio::awaitable<void> restart();
    [[nodiscard]] bool isRefusing() const;
    boost::asio::awaitable<void> refuse(StandinExchange &exchange);
    [[nodiscard]] bool answersEndlessly(const StandinExchange &exchange) const;
    boost::asio::awaitable<void> answerEndlessly(StandinExchange &exchange);
    /// \brief Adds the header fields about the endpoint itself: rate limit and leaving.
    void addEndpointFields(StandinResponse &response) const;
    [[nodiscard]] bool isWhole() const;
    [[nodiscard]] bool isStalled() const;
    [[nodiscard]] std::string state() const;

    boost::asio::io_context &context_;
    EngineRegistry &registry_;
    std::string id_;
    std::string service_;
    std::string domain_;
    std::string staged_;
    std::optional<Group> group_;
    std::uint64_t startedAt_ = 1;
    std::uint64_t fence_ = 0;
    std::uint64_t highestEpoch_ = 0;
    bool isSilent_ = false;
    bool isDown_ = false;
    int crashCount_ = 0;
    bool isDraining_ = false;
    bool announcesLeaving_ = false;
    std::chrono::steady_clock::time_point refusesUntil_{};
    std::string cooldown_;    ///< Retry-After in refusals, seconds.
    std::string endlessKind_; ///< Empty if the engine answers.
    std::string limit_;       ///< Requests per second; empty if there is none.
    std::vector<std::chrono::steady_clock::time_point> arrivals_;
    std::uint16_t registeredPort_ = 0; ///< Registered in place of the actual port unless 0.
    StandinServer server_;
};

} // namespace cardamombay::support
