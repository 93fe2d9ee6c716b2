/// \file
/// \brief Stand-in of the users' engines, which form groups by orders, and of their plain services.
#pragma once

#include "support/row_store_standin.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cardamombay::support {

class GroupEngineStandin;

/// \brief Engines by id, and what they saw go wrong.
struct EngineHall
{
    RowStoreStandin &store_;
    std::map<std::string, std::shared_ptr<GroupEngineStandin>> engines_;
    std::map<std::string, int> runs_; ///< Starts of a run by request id.
    std::vector<std::string> violations_;
    int crashes_ = 0; ///< Engines that ended under a poison pill.
};

/// \brief One engine, or one endpoint of a plain service if it has no domain.
/// \details A group streams only while all its members listen; a request that begins in an
/// incomplete group, and a join while the head of the engine's group serves, are written down as
/// violations. A request for a path that ends with "/pill" ends the engine as it begins to run; it
/// is back after a second and a half, under its id and without a group.
class GroupEngineStandin
{
public:
    GroupEngineStandin(boost::asio::io_context &context, EngineHall &hall, std::string id,
                       std::string service, std::string domain);

    /// \brief Registers the engine, and again after each change.
    void list();
    /// \brief Stops answering; the entry stays until expire().
    void fallSilent() { isSilent_ = true; }
    [[nodiscard]] bool isSilent() const { return isSilent_; }
    /// \brief Says that it is leaving.
    void drain();
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// \brief Names \p perSecond as its limit in each answer from now on, or none if it is empty,
    /// and counts what arrives anew.
    void limit(std::string perSecond);
    /// \brief Refuses all for \p need, names \p cooldown in each refusal, and counts what arrives
    /// anew.
    void refuseFor(std::chrono::milliseconds need, std::string cooldown);
    /// \brief Says in its answers that it leaves, and not in its entry; counts anew.
    void sayLeaving();
    /// \brief When requests arrived since the limit, the need or the leaving was set.
    [[nodiscard]] const std::vector<std::chrono::steady_clock::time_point> &arrivals() const
    {
        return arrivals_;
    }
    /// \brief Lists another port of this machine, which leads here.
    void listAt(std::uint16_t port);

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
    unsigned change(const std::string &body);
    boost::asio::awaitable<void> becomeReady(std::uint64_t epoch, bool wasStaged);
    boost::asio::awaitable<void> becomeOpen(std::uint64_t epoch);
    /// \brief Ends as a process does, and starts again after a while.
    void crash();
    boost::asio::awaitable<void> startAgain();
    [[nodiscard]] bool isRefusing() const;
    boost::asio::awaitable<void> refuse(StandinExchange &exchange);
    /// \brief Says in an answer what there is to say of the endpoint itself.
    void name(StandinResponse &response) const;
    [[nodiscard]] bool isWhole() const;
    [[nodiscard]] bool isStalled() const;
    [[nodiscard]] std::string state() const;

    boost::asio::io_context &context_;
    EngineHall &hall_;
    std::string id_;
    std::string service_;
    std::string domain_;
    std::string staged_;
    std::optional<Group> group_;
    std::uint64_t startedAt_ = 1;
    std::uint64_t fence_ = 0;
    std::uint64_t epochSeen_ = 0;
    bool isSilent_ = false;
    bool isDown_ = false;
    bool isDraining_ = false;
    bool saysLeaving_ = false;
    std::chrono::steady_clock::time_point refusesUntil_{};
    std::string cooldown_; ///< Seconds, named in refusals until then.
    std::string limit_;    ///< Requests a second; empty if there is none.
    std::vector<std::chrono::steady_clock::time_point> arrivals_;
    std::uint16_t listedPort_ = 0; ///< In place of its own, unless zero.
    StandinServer server_;
};

} // namespace cardamombay::support
