/// \file
/// \brief Stand-in of the users' metadata store: rows, conditional transactions and feeds.
#pragma once

#include "support/standin_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace cardamombay::support {

/// \brief Rows by table and key, with one rising version; speaks the platform's published protocol.
class RowStoreStandin
{
public:
    /// \name Rows of others: operators and engines
    /// \{
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    /// \}

    /// \brief Answers a call; false if the path is none of the store's.
    boost::asio::awaitable<bool> handle(StandinExchange &exchange);

    /// \brief While set, every call gets this status.
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

    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
};

} // namespace cardamombay::support
