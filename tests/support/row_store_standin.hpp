/// \file
/// \brief Test double of the users' metadata store: rows, conditional transactions and feeds.
#pragma once

#include "support/standin_server.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cardamombay::support {

/// \brief Rows by table and key with a single increasing version, served over the platform's
/// published protocol.
class RowStoreStandin
{
public:
    /// \name Rows written by operators and engines
    /// \{
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// \}

    /// \brief Handles a request.
    /// \returns false if the path does not belong to the store.
    boost::asio::awaitable<bool> handle(StandinExchange &exchange);

    /// \brief Restores a backup that is at least \p age old and starts a new timeline. Some time
    /// later the lost rows of operators and engines are rewritten.
    void restore(std::chrono::milliseconds age);

    /// \brief While not 0, every request gets this status.
    unsigned outage_ = 0;

private:
    struct Row
    {
        std::string value_; ///< base64
        std::uint64_t version_ = 0;
        bool isRemoved_ = false;
    };
    using Key = std::pair<std::string, std::string>;

    [[nodiscard]] std::string listing(const std::map<std::string, std::string> &query) const;
    [[nodiscard]] std::string changes(const std::string &table, std::uint64_t after) const;
    [[nodiscard]] std::uint64_t versionOf(const Key &key) const;
    boost::asio::awaitable<void> feed(StandinExchange &exchange,
                                      std::map<std::string, std::string> query);
    StandinResponse transact(const std::string &body);
    StandinResponse answerTo(const std::string &target, const std::string &body);

    using Time = std::chrono::steady_clock::time_point;
    struct Backup
    {
        Time at_;
        std::map<Key, Row> rows_;
        std::uint64_t version_ = 0;
    };
    void takeBackup();
    void rewriteForeignRows();

    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t timeline_ = 1;
    std::deque<Backup> backups_;
    std::map<Key, Row> foreignRows_; ///< Latest rows written by operators and engines.
    std::optional<Time> rewriteAt_;
};

} // namespace cardamombay::support
