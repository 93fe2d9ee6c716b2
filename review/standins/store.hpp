/// \file
/// \brief Stand-in of the platform's metadata store, with drills that restore an older copy.
#pragma once

#include "http.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <condition_variable>
#include <deque>
#include <memory>
#include <tuple>

namespace review {

namespace json = boost::json;

inline std::string encodeBase64(const std::string &text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string result(base64::encoded_size(text.size()), '\0');
    result.resize(base64::encode(result.data(), text.data(), text.size()));
    return result;
}

class Store
{
public:
    Store()
        : listener_([this](Channel &channel) { serve(channel); })
    {
    }

    [[nodiscard]] int port() const { return listener_.port(); }

    /// \brief Writes a row for the operator or an engine.
    /// \returns true if the store has acknowledged it.
    bool put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        if (table == "op")
            operator_[{table, "", key}] = value;
        if (isAway_)
            return false;
        set({table, "", key}, {encodeBase64(value), 0, false});
        changed_.notify_all();
        return true;
    }

    /// \brief Removes a row of an engine.
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        if (isAway_ || !rows_.contains({table, "", key}))
            return;
        set({table, "", key}, {"", 0, true});
        changed_.notify_all();
    }

    /// \brief A drill: the store is away, then back with a copy that is \p age old. What the
    /// operator wrote since is written again after \p rewrite; engines write their rows themselves.
    void drill(milliseconds away, milliseconds age, milliseconds rewrite)
    {
        {
            const std::lock_guard lock(mutex_);
            const auto now = Clock::now();
            while (copies_.size() > 1 && copies_.back().at_ > now + away - age)
                copies_.pop_back();
            rows_ = copies_.back().rows_;
            version_ = copies_.back().version_;
            isAway_ = true;
            ++era_;
            changed_.notify_all();
        }
        std::this_thread::sleep_for(away);
        {
            const std::lock_guard lock(mutex_);
            isAway_ = false;
        }
        std::thread([this, rewrite] {
            std::this_thread::sleep_for(rewrite);
            const std::lock_guard lock(mutex_);
            for (const auto &[key, value] : operator_) {
                const auto found = rows_.find(key);
                const auto text = encodeBase64(value);
                if (found == rows_.end() || found->second.value_ != text)
                    set(key, {text, 0, false});
            }
            changed_.notify_all();
        }).detach();
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value_;
        std::uint64_t version_ = 0;
        bool isRemoved_ = false;
    };
    struct Copy
    {
        Clock::time_point at_;
        std::map<Key, Row> rows_;
        std::uint64_t version_ = 0;
    };

    void set(const Key &key, Row row)
    {
        row.version_ = ++version_;
        rows_[key] = std::move(row);
        copy();
    }
    void copy()
    {
        copies_.push_back({Clock::now(), rows_, version_});
        while (copies_.size() > 2000)
            copies_.pop_front();
    }

    static std::string unescape(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> result;
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto pair = target.substr(at + 1, end - at - 1);
            const auto equals = pair.find('=');
            if (equals != std::string::npos)
                result[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
            at = end;
        }
        return result;
    }

    void serve(Channel &channel)
    {
        while (auto request = channel.receive(Clock::now() + std::chrono::minutes(5))) {
            std::unique_lock lock(mutex_);
            if (isAway_) {
                channel.reset();
                return;
            }
            const auto [status, body] = answer(*request, lock);
            if (isAway_) {
                channel.reset();
                return;
            }
            const auto text = answerText(
                status,
                "Content-Type: application/json\r\nStore-Era: " + std::to_string(era_) + "\r\n",
                body);
            lock.unlock();
            if (!channel.send(text))
                return;
        }
    }

    std::pair<int, std::string> answer(const Message &request, std::unique_lock<std::mutex> &lock)
    {
        const auto target = request.target();
        if (target.starts_with("/-/rows-tx"))
            return transact(json::parse(request.body_).as_object());
        auto query = queryOf(target);
        if (target.starts_with("/-/rows-get"))
            return {200, json::serialize(list(query))};
        if (target.starts_with("/-/rows-feed"))
            return feed(query, lock);
        return {404, "{}"};
    }

    [[nodiscard]] json::object rowText(const Key &key, const Row &row) const
    {
        json::object result{{"Table", std::get<0>(key)},
                            {"part", std::get<1>(key)},
                            {"Key", std::get<2>(key)},
                            {"Ver", row.version_}};
        if (row.isRemoved_)
            result["Removed"] = true;
        else
            result["Value"] = row.value_;
        return result;
    }
    [[nodiscard]] json::object withVersion(json::array rows) const
    {
        const auto now = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch());
        return {{"Rows", std::move(rows)}, {"Ver", version_}, {"NowMs", now.count()}};
    }

    [[nodiscard]] json::object list(std::map<std::string, std::string> &query) const
    {
        json::array rows;
        for (const auto &[key, row] : rows_) {
            const auto &[table, part, name] = key;
            if (!row.isRemoved_ && table == query["Table"] && part == query["part"]
                && name >= query["From"] && (query["Target"].empty() || name < query["Target"]))
                rows.push_back(rowText(key, row));
        }
        auto result = withVersion(std::move(rows));
        result["Truncated"] = false;
        return result;
    }

    std::pair<int, std::string> feed(std::map<std::string, std::string> &query,
                                     std::unique_lock<std::mutex> &lock)
    {
        const auto table = query["Table"];
        const auto after = std::stoull("0" + query["After"]);
        const auto until = Clock::now() + milliseconds(std::stoull("0" + query["WaitMs"]));
        const auto era = era_;
        std::map<std::uint64_t, json::object> found;
        while (true) {
            if (era != era_ || after > version_)
                return {410, "{}"};
            for (const auto &[key, row] : rows_) {
                if (std::get<0>(key) == table && row.version_ > after)
                    found.emplace(row.version_, rowText(key, row));
            }
            if (!found.empty() || Clock::now() >= until)
                break;
            changed_.wait_until(lock, until);
        }
        json::array rows;
        for (auto &[version, row] : found)
            rows.push_back(std::move(row));
        return {200, json::serialize(withVersion(std::move(rows)))};
    }

    static Key keyOf(const json::object &row)
    {
        const auto text = [&row](const char *name) {
            const auto *value = row.if_contains(name);
            return value == nullptr ? std::string() : json::value_to<std::string>(*value);
        };
        return {text("Table"), text("part"), text("Key")};
    }

    std::pair<int, std::string> transact(const json::object &request)
    {
        json::array present;
        bool isMet = true;
        for (const auto &value : request.at("Precondition").as_array()) {
            const auto &condition = value.as_object();
            const auto found = rows_.find(keyOf(condition));
            const bool exists = found != rows_.end() && !found->second.isRemoved_;
            const auto version = exists ? found->second.version_ : 0;
            isMet = isMet && version == condition.at("Ver").to_number<std::uint64_t>();
            if (exists)
                present.push_back(rowText(found->first, found->second));
        }
        if (!isMet)
            return {412, json::serialize(withVersion(std::move(present)))};
        ++version_;
        for (const auto &value : request.at("Writes").as_array()) {
            const auto &write = value.as_object();
            rows_[keyOf(write)] = {json::value_to<std::string>(write.at("Value")), version_, false};
        }
        for (const auto &value : request.at("Remove").as_array())
            rows_[keyOf(value.as_object())] = {"", version_, true};
        copy();
        changed_.notify_all();
        return {200, json::serialize(withVersion({}))};
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::map<Key, std::string> operator_;
    std::deque<Copy> copies_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1;
    bool isAway_ = false;
    Listener listener_;
};

} // namespace review
