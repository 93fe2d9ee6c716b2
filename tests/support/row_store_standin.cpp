#include "support/row_store_standin.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <utility>

namespace cardamombay::support {

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;

namespace {

using Query = std::map<std::string, std::string>;

constexpr auto feedPollInterval = std::chrono::milliseconds(5);

constexpr auto timelineField = "Store-Era";
constexpr auto backupPeriod = std::chrono::milliseconds(250);
constexpr auto backupRetention = std::chrono::seconds(10);
/// Time until operators and engines notice a restore and rewrite their rows.
constexpr auto rewriteDelay = std::chrono::milliseconds(1500);

std::string encoded(const std::string &text)
{
    std::string result(base64::encoded_size(text.size()), '\0');
    result.resize(base64::encode(result.data(), text.data(), text.size()));
    return result;
}

std::string unescaped(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            result += text[i];
            continue;
        }
        result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
    }
    return result;
}

Query parseQuery(const std::string &target)
{
    Query result;
    auto rest = target.substr(std::min(target.size(), target.find('?') + 1));
    while (!rest.empty()) {
        const auto end = std::min(rest.size(), rest.find('&'));
        const auto pair = rest.substr(0, end);
        const auto equals = std::min(pair.size(), pair.find('='));
        result[pair.substr(0, equals)] = unescaped(pair.substr(std::min(pair.size(), equals + 1)));
        rest = end == rest.size() ? "" : rest.substr(end + 1);
    }
    return result;
}

std::string valueIn(const Query &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? "" : found->second;
}

std::string textIn(const json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

} // namespace

void RowStoreStandin::put(const std::string &table, const std::string &key,
                          const std::string &value)
{
    rows_[{table, key}] = {encoded(value), ++version_, false};
    foreignRows_[{table, key}] = rows_[{table, key}];
}

void RowStoreStandin::remove(const std::string &table, const std::string &key)
{
    auto &row = rows_[{table, key}];
    if (!row.isRemoved_)
        row = {"", ++version_, true};
    foreignRows_[{table, key}] = row;
}

void RowStoreStandin::takeBackup()
{
    const auto now = std::chrono::steady_clock::now();
    if (!backups_.empty() && now - backups_.back().at_ < backupPeriod)
        return;
    backups_.push_back({now, rows_, version_});
    while (now - backups_.front().at_ > backupRetention)
        backups_.pop_front();
}

void RowStoreStandin::restore(std::chrono::milliseconds age)
{
    const auto now = std::chrono::steady_clock::now();
    while (backups_.size() > 1 && now - backups_.back().at_ < age)
        backups_.pop_back();
    if (backups_.empty())
        return;
    rows_ = backups_.back().rows_;
    version_ = backups_.back().version_;
    rewriteAt_ = now + rewriteDelay;
    ++timeline_;
}

void RowStoreStandin::rewriteForeignRows()
{
    if (!rewriteAt_ || std::chrono::steady_clock::now() < *rewriteAt_)
        return;
    rewriteAt_.reset();
    for (const auto &[key, newest] : foreignRows_) {
        auto &row = rows_[key];
        if (row.value_ != newest.value_ || row.isRemoved_ != newest.isRemoved_)
            row = {newest.value_, ++version_, newest.isRemoved_};
    }
}

std::uint64_t RowStoreStandin::versionOf(const Key &key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() || found->second.isRemoved_ ? 0 : found->second.version_;
}

std::string RowStoreStandin::listing(const Query &query) const
{
    const auto table = valueIn(query, "Table");
    const auto from = valueIn(query, "From");
    const auto target = valueIn(query, "Target");
    json::array rows;
    for (const auto &[key, row] : rows_) {
        if (key.first != table || key.second < from || row.isRemoved_
            || (!target.empty() && key.second >= target))
            continue;
        rows.push_back({{"Table", table},
                        {"part", ""},
                        {"Key", key.second},
                        {"Value", row.value_},
                        {"Ver", row.version_}});
    }
    return json::serialize(json::object{
        {"Rows", std::move(rows)}, {"Truncated", false}, {"Ver", version_}, {"NowMs", 1}});
}

std::string RowStoreStandin::changes(const std::string &table, std::uint64_t after) const
{
    std::map<std::uint64_t, json::object> ordered;
    for (const auto &[key, row] : rows_) {
        if (key.first != table || row.version_ <= after)
            continue;
        json::object one{
            {"Table", table}, {"part", ""}, {"Key", key.second}, {"Ver", row.version_}};
        if (row.isRemoved_)
            one["Removed"] = true;
        else
            one["Value"] = row.value_;
        ordered.emplace(row.version_, std::move(one));
    }
    json::array rows;
    for (auto &[version, row] : ordered)
        rows.push_back(std::move(row));
    return json::serialize(
        json::object{{"Rows", std::move(rows)}, {"Ver", version_}, {"NowMs", 1}});
}

boost::asio::awaitable<void> RowStoreStandin::feed(StandinExchange &exchange, Query query)
{
    const auto table = valueIn(query, "Table");
    const auto after = std::stoull("0" + valueIn(query, "After"));
    const auto end = std::chrono::steady_clock::now()
                     + std::chrono::milliseconds(std::stoull("0" + valueIn(query, "WaitMs")));
    const auto hasChanged = [&] {
        for (const auto &[key, row] : rows_) {
            if (key.first == table && row.version_ > after)
                return true;
        }
        return false;
    };
    const auto timeline = timeline_;
    while (timeline == timeline_ && !hasChanged() && std::chrono::steady_clock::now() < end)
        co_await pauseFor(feedPollInterval);
    const bool isGone = timeline != timeline_ || after > version_;
    auto response = isGone ? jsonResponse(410, "") : jsonResponse(200, changes(table, after));
    response.set(timelineField, std::to_string(timeline_));
    co_await exchange.respond(std::move(response));
}

StandinResponse RowStoreStandin::transact(const std::string &body)
{
    const auto request = json::parse(body).as_object();
    for (const auto &value : request.at("Precondition").as_array()) {
        const auto &condition = value.as_object();
        const Key key{textIn(condition, "Table"), textIn(condition, "Key")};
        if (versionOf(key) != condition.at("Ver").to_number<std::uint64_t>())
            return jsonResponse(412, listing({{"Table", key.first}}));
    }
    ++version_;
    for (const auto &value : request.at("Writes").as_array()) {
        const auto &write = value.as_object();
        rows_[{textIn(write, "Table"), textIn(write, "Key")}]
            = {textIn(write, "Value"), version_, false};
    }
    for (const auto &value : request.at("Remove").as_array()) {
        const auto &write = value.as_object();
        rows_[{textIn(write, "Table"), textIn(write, "Key")}] = {"", version_, true};
    }
    return jsonResponse(200, json::serialize(json::object{{"Ver", version_}, {"NowMs", 1}}));
}

StandinResponse RowStoreStandin::answerTo(const std::string &target, const std::string &body)
{
    if (outage_ != 0)
        return jsonResponse(outage_, "");
    if (target.starts_with("/-/rows-tx"))
        return transact(body);
    return jsonResponse(200, listing(parseQuery(target)));
}

boost::asio::awaitable<bool> RowStoreStandin::handle(StandinExchange &exchange)
{
    const std::string target(exchange.request().target());
    if (!target.starts_with("/-/rows-"))
        co_return false;
    takeBackup();
    rewriteForeignRows();
    if (outage_ == 0 && target.starts_with("/-/rows-feed")) {
        co_await feed(exchange, parseQuery(target));
        co_return true;
    }
    auto response = answerTo(target, exchange.request().body());
    response.set(timelineField, std::to_string(timeline_));
    co_await exchange.respond(std::move(response));
    co_return true;
}

} // namespace cardamombay::support
