#include "support/fault_proxy_control.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <charconv>
#include <stdexcept>
#include <string_view>

namespace cardamombay::support {

namespace json = boost::json;

namespace {

constexpr std::string_view linksPath = "/test/links";

DirectionFaults decodeDirection(const json::object &object)
{
    DirectionFaults faults;
    for (const auto &entry : object) {
        const std::string_view name = entry.key();
        const auto &value = entry.value();
        if (name == "delay_ms")
            faults.delay_ = std::chrono::milliseconds(value.to_number<std::uint32_t>());
        else if (name == "partitioned")
            faults.isPartitioned_ = value.as_bool();
        else if (name == "drop")
            faults.drops_ = value.as_bool();
        else if (name == "cut_after")
            faults.cutAfter_ = value.to_number<std::uint64_t>();
        else if (name == "bytes_per_second")
            faults.bytesPerSecond_ = value.to_number<std::uint64_t>();
        else
            throw std::invalid_argument("unknown fault");
    }
    return faults;
}

LinkFaults decodeFaults(std::string_view body)
{
    LinkFaults faults;
    const json::value root = json::parse(body);
    for (const auto &entry : root.as_object()) {
        const std::string_view name = entry.key();
        const auto &value = entry.value();
        if (name == "to_server")
            faults.toServer_ = decodeDirection(value.as_object());
        else if (name == "to_client")
            faults.toClient_ = decodeDirection(value.as_object());
        else if (name == "refuse")
            faults.refusesConnections_ = value.as_bool();
        else if (name == "ignore")
            faults.ignoresConnections_ = value.as_bool();
        else if (name == "duplicate_answers")
            faults.duplicateAnswers_ = value.to_number<std::uint32_t>();
        else if (name == "replay_answers")
            faults.replayAnswers_ = value.to_number<std::uint32_t>();
        else if (name == "swap_answers")
            faults.swapAnswers_ = value.to_number<std::uint32_t>();
        else
            throw std::invalid_argument("unknown fault");
    }
    return faults;
}

Address decodeTarget(std::string_view body)
{
    const json::value root = json::parse(body);
    const auto &object = root.as_object();
    return {std::string(object.at("ip").as_string()), object.at("port").to_number<std::uint16_t>()};
}

json::object describe(std::size_t number, const FaultProxy &link)
{
    const auto counters = link.counters();
    return {{"link", number},
            {"ip", link.address().ip_},
            {"port", link.address().port_},
            {"connections", counters.connections_},
            {"open", counters.open_},
            {"bytes_to_server", counters.bytesToServer_},
            {"bytes_to_client", counters.bytesToClient_}};
}

} // namespace

std::size_t FaultProxyControl::add(const Address &target)
{
    links_.push_back(std::make_unique<FaultProxy>(context_, target));
    return links_.size() - 1;
}

net::HttpResponse FaultProxyControl::handle(const net::HttpRequest &request)
{
    constexpr std::uint32_t ok = 200;
    constexpr std::uint32_t badRequest = 400;
    try {
        return {ok, {}, dispatch(request)};
    } catch (const std::exception &failure) {
        return {badRequest, {}, json::serialize(json::object{{"problem", failure.what()}})};
    }
}

std::string FaultProxyControl::dispatch(const net::HttpRequest &request)
{
    std::string_view path = request.target_;
    if (!path.starts_with(linksPath))
        throw std::invalid_argument("unknown path");
    path.remove_prefix(linksPath.size());
    if (path.empty() && request.method_ == "GET")
        return listLinks();
    if (path.empty()) {
        const auto number = add(decodeTarget(request.body_));
        return json::serialize(describe(number, link(number)));
    }
    std::size_t number = 0;
    const auto parsed = std::from_chars(path.data() + 1, path.data() + path.size(), number);
    auto &link = *links_.at(number);
    const std::string_view action(parsed.ptr, path.data() + path.size());
    if (action == "/faults")
        link.setFaults(decodeFaults(request.body_));
    else if (action == "/cut")
        link.cutConnections();
    else if (action == "/half_open")
        link.leaveHalfOpen();
    else
        throw std::invalid_argument("unknown action");
    return json::serialize(describe(number, link));
}

std::string FaultProxyControl::listLinks() const
{
    json::array list;
    for (std::size_t number = 0; number < links_.size(); ++number)
        list.push_back(describe(number, *links_[number]));
    return json::serialize(json::object{{"links", std::move(list)}});
}

} // namespace cardamombay::support
