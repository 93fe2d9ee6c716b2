#include "support/group_engine_standin.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <cstdio>

namespace cardamombay::support {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto coldLoadTime = std::chrono::milliseconds(150);
constexpr auto warmLoadTime = std::chrono::milliseconds(20);
constexpr auto openTime = std::chrono::milliseconds(20);
constexpr auto eventInterval = std::chrono::milliseconds(20);
constexpr auto plainServiceTime = std::chrono::milliseconds(20);
constexpr auto restartDelay = std::chrono::milliseconds(1500);
constexpr int eventsPerStream = 20;
constexpr std::string_view controlPrefix = "control-";

/// Three for each gateway that may run within one refusal period, including restarted gateways.
constexpr std::size_t maxRefusals = 24;

StandinResponse refusal(unsigned status, const std::string &id)
{
    auto response = jsonResponse(status, "");
    response.set("X-Not-Executed", "1");
    response.set("X-Instance-Id", id);
    return response;
}

std::uint64_t numberIn(const json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

/// Lets a test find the attempt of a gateway that crashed the engine.
void reportCrash(const std::string &engine, std::string_view request,
                 std::chrono::system_clock::time_point arrivedAt)
{
    const auto milliseconds = [](std::chrono::system_clock::time_point time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch())
            .count();
    };
    std::printf("event=crash engine=%s request=%.*s arrived-ms=%lld now-ms=%lld\n", engine.c_str(),
                static_cast<int>(request.size()), request.data(),
                static_cast<long long>(milliseconds(arrivedAt)),
                static_cast<long long>(milliseconds(std::chrono::system_clock::now())));
    std::fflush(stdout);
}

std::string textIn(const json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

} // namespace

GroupEngineStandin::GroupEngineStandin(asio::io_context &context, EngineRegistry &registry,
                                       std::string id, std::string service, std::string domain)
    : context_(context)
    , registry_(registry)
    , id_(std::move(id))
    , service_(std::move(service))
    , domain_(std::move(domain))
    , server_(context, 0, [this](StandinExchange &exchange) { return handle(exchange); })
{
}

std::string GroupEngineStandin::state() const
{
    const auto listed = registeredPort_ == 0 ? port() : registeredPort_;
    json::object entry{{"Service", service_}, {"Address", "127.0.0.1:" + std::to_string(listed)},
                       {"Zone", "z"},         {"Slots", 8},
                       {"born", startedAt_},  {"State", isDraining_ ? "draining" : "ready"}};
    if (domain_.empty())
        return json::serialize(entry);
    entry["Domain"] = domain_;
    entry["Staged"] = staged_.empty() ? json::array() : json::array{staged_};
    entry["Models"] = json::array();
    if (group_)
        entry["group"] = {{"Name", group_->name_},
                          {"epoch", group_->epoch_},
                          {"rank", group_->rank_},
                          {"State", group_->state_}};
    return json::serialize(entry);
}

void GroupEngineStandin::registerEntry()
{
    registry_.store_.put("servers", id_, state());
}

void GroupEngineStandin::registerAt(std::uint16_t port)
{
    registeredPort_ = port;
    registerEntry();
}

void GroupEngineStandin::setRateLimit(std::string perSecond)
{
    limit_ = std::move(perSecond);
    arrivals_.clear();
}

void GroupEngineStandin::addEndpointFields(StandinResponse &response) const
{
    if (!limit_.empty())
        response.set("Server-Limit", limit_);
    if (isDraining_ || announcesLeaving_)
        response.set("Server-Leaving", "1");
}

void GroupEngineStandin::startCooldown(std::chrono::milliseconds refusalPeriod,
                                       std::string cooldown)
{
    refusesUntil_ = std::chrono::steady_clock::now() + refusalPeriod;
    cooldown_ = std::move(cooldown);
    arrivals_.clear();
}

void GroupEngineStandin::announceLeaving()
{
    announcesLeaving_ = true;
    arrivals_.clear();
}

bool GroupEngineStandin::isRefusing() const
{
    return std::chrono::steady_clock::now() < refusesUntil_;
}

asio::awaitable<void> GroupEngineStandin::refuse(StandinExchange &exchange)
{
    arrivals_.push_back(std::chrono::steady_clock::now());
    if (arrivals_.size() == maxRefusals)
        registry_.violations_.push_back(id_ + " received too many requests during its cooldown");
    auto response = refusal(503, id_);
    response.set("Retry-After", cooldown_);
    addEndpointFields(response);
    co_await exchange.respond(std::move(response));
}

void GroupEngineStandin::drain()
{
    isDraining_ = true;
    registerEntry();
}

asio::awaitable<void> GroupEngineStandin::handle(StandinExchange &exchange)
{
    // A silent engine keeps its connections open but never responds.
    while (isSilent_)
        co_await pauseFor(std::chrono::milliseconds(50));
    const auto expected = headerOf(exchange.request(), "X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        auto response = refusal(421, id_);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (isRefusing()) {
        co_await refuse(exchange);
        co_return;
    }
    if (answersEndlessly(exchange)) {
        co_await answerEndlessly(exchange);
        co_return;
    }
    if (exchange.request().target() == "/-/order") {
        co_await order(exchange);
        co_return;
    }
    if (exchange.request().target() != "/-/report") {
        co_await run(exchange);
        co_return;
    }
    auto report = jsonResponse(200, state());
    co_await exchange.respond(std::move(report));
}

/// Members of a group that do not serve refuse requests as usual.
bool GroupEngineStandin::answersEndlessly(const StandinExchange &exchange) const
{
    if (endlessKind_.empty())
        return false;
    const bool isControl = exchange.request().target().starts_with("/-/");
    if (isControl || endlessKind_.starts_with(controlPrefix))
        return isControl && endlessKind_.starts_with(controlPrefix);
    return domain_.empty() || (group_ && group_->state_ == "open" && group_->rank_ == 0);
}

asio::awaitable<void> GroupEngineStandin::answerEndlessly(StandinExchange &exchange)
{
    std::string_view kind = endlessKind_;
    if (kind.starts_with(controlPrefix))
        kind.remove_prefix(controlPrefix.size());
    auto answer = endlessAnswer(kind, headerOf(exchange.request(), "X-Request-Id"), id_);
    co_await sendEndlessly(exchange, std::move(answer), registry_.endlessAnswers_);
}

asio::awaitable<void> GroupEngineStandin::run(StandinExchange &exchange)
{
    const auto request = headerOf(exchange.request(), "X-Request-Id");
    const std::string_view target(exchange.request().target().data(),
                                  exchange.request().target().size());
    const bool isOpen = !group_ || (group_->state_ == "open" && group_->rank_ == 0);
    if (target.ends_with("/pill") && isOpen) {
        const auto arrivedAt = std::chrono::system_clock::now();
        co_await pauseFor(eventInterval);
        reportCrash(id_, request, arrivedAt);
        exchange.drop();
        crash();
        co_return;
    }
    if (!headerOf(exchange.request(), "Authorization").empty())
        registry_.violations_.push_back("the API key reached " + id_);
    arrivals_.push_back(std::chrono::steady_clock::now());
    if (domain_.empty()) {
        ++registry_.runs_[request];
        co_await pauseFor(plainServiceTime);
        auto response = jsonResponse(200, headerOf(exchange.request(), "X-Tenant"));
        response.set("X-Response-Seal", id_);
        addEndpointFields(response);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (!group_ || group_->state_ != "open" || group_->rank_ != 0) {
        auto response = refusal(503, id_);
        addEndpointFields(response);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    co_await stream(exchange);
}

/// The last part belongs to the request itself.
bool GroupEngineStandin::hasDeadlyPart(StandinExchange &exchange)
{
    const auto parts = "," + headerOf(exchange.request(), "X-Prompt-Prefix");
    const auto found = parts.find(",dead:");
    return found != std::string::npos && parts.find(',', found + 1) != std::string::npos;
}

asio::awaitable<void> GroupEngineStandin::stream(StandinExchange &exchange)
{
    const auto request = headerOf(exchange.request(), "X-Request-Id");
    const auto last = headerOf(exchange.request(), "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    StandinResponse head(boost::beast::http::status::ok, 11);
    head.set("Content-Type", "text/event-stream");
    head.set("X-Request-Id", request);
    head.set("X-Response-Seal", id_);
    addEndpointFields(head);
    const auto epoch = group_->epoch_;
    bool hasBegun = false;
    for (int event = first; event <= eventsPerStream; ++event) {
        while (isStalled())
            co_await pauseFor(eventInterval);
        if (!group_ || group_->epoch_ != epoch) {
            exchange.drop();
            co_return;
        }
        if (!hasBegun) {
            ++registry_.runs_[request];
            if (!isWhole())
                registry_.violations_.push_back("a request started in an incomplete group at "
                                                + id_);
            co_await exchange.startStream(head);
            hasBegun = true;
        }
        if (hasDeadlyPart(exchange)) {
            const auto arrivedAt = std::chrono::system_clock::now();
            co_await pauseFor(eventInterval);
            reportCrash(id_, request, arrivedAt);
            exchange.drop();
            crash();
            co_return;
        }
        std::string text = "id: " + std::to_string(event) + "\ndata: " + request + "\n\n";
        co_await exchange.write(std::move(text));
        co_await pauseFor(eventInterval);
    }
    co_await exchange.finishStream();
}

void GroupEngineStandin::crash()
{
    if (std::exchange(isDown_, true))
        return;
    ++registry_.crashes_;
    ++crashCount_;
    server_.stop();
    group_.reset();
    fence_ = 0;
    highestEpoch_ = 0;
    asio::co_spawn(context_, restart(), asio::detached);
}

asio::awaitable<void> GroupEngineStandin::restart()
{
    co_await pauseFor(restartDelay);
    ++startedAt_;
    isDown_ = false;
    server_.listenAgain();
    registerEntry();
}

bool GroupEngineStandin::isWhole() const
{
    for (const auto &member : group_->members_) {
        const auto found = registry_.engines_.find(member);
        if (found == registry_.engines_.end() || !found->second->group_
            || found->second->group_->epoch_ != group_->epoch_)
            return false;
    }
    return true;
}

/// A group with a missing or silent member makes no progress.
bool GroupEngineStandin::isStalled() const
{
    if (!group_)
        return false;
    for (const auto &member : group_->members_) {
        const auto found = registry_.engines_.find(member);
        if (found == registry_.engines_.end() || found->second->isSilent())
            return true;
    }
    return !isWhole();
}

asio::awaitable<void> GroupEngineStandin::order(StandinExchange &exchange)
{
    const auto body = exchange.request().body();
    const auto object = json::parse(body).as_object();
    if (numberIn(object, "Fence") < fence_) {
        auto response = jsonResponse(412, "");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    fence_ = numberIn(object, "Fence");
    const auto status = textIn(object, "Op") == "join" ? join(body) : changeGroup(body);
    auto response = jsonResponse(status, "");
    co_await exchange.respond(std::move(response));
}

unsigned GroupEngineStandin::join(const std::string &body)
{
    const auto object = json::parse(body).as_object();
    const auto epoch = numberIn(object, "epoch");
    if (epoch < highestEpoch_)
        return 412;
    highestEpoch_ = epoch;
    if (group_ && group_->epoch_ != epoch) {
        const auto head = registry_.engines_.find(group_->members_.front());
        const bool serves = head != registry_.engines_.end() && head->second->group_
                            && head->second->group_->epoch_ == group_->epoch_
                            && head->second->group_->state_ == "open";
        if (serves)
            registry_.violations_.push_back(id_
                                            + " was ordered to join while its group was serving");
    }
    Group group;
    group.name_ = textIn(object, "group");
    group.epoch_ = epoch;
    for (const auto &member : object.at("Members").as_array()) {
        const auto name = json::value_to<std::string>(member);
        if (name == id_)
            group.rank_ = group.members_.size();
        group.members_.push_back(name);
    }
    const auto model = textIn(object, "Model");
    const bool wasStaged = std::exchange(staged_, model) == model;
    group_ = std::move(group);
    registerEntry();
    asio::co_spawn(context_, becomeReady(epoch, wasStaged), asio::detached);
    return 202;
}

asio::awaitable<void> GroupEngineStandin::becomeReady(std::uint64_t epoch, bool wasStaged)
{
    co_await pauseFor(wasStaged ? warmLoadTime : coldLoadTime);
    if (group_ && group_->epoch_ == epoch) {
        group_->state_ = "ready";
        registerEntry();
    }
}

asio::awaitable<void> GroupEngineStandin::becomeOpen(std::uint64_t epoch)
{
    co_await pauseFor(openTime);
    if (group_ && group_->epoch_ == epoch) {
        group_->state_ = "open";
        registerEntry();
    }
}

unsigned GroupEngineStandin::changeGroup(const std::string &body)
{
    const auto object = json::parse(body).as_object();
    const auto operation = textIn(object, "Op");
    if (operation == "Stage") {
        staged_ = textIn(object, "Model");
        registerEntry();
        return 202;
    }
    if (!group_ || group_->epoch_ != numberIn(object, "epoch"))
        return 409;
    if (operation == "leave") {
        group_.reset();
        registerEntry();
        return 200;
    }
    if (operation == "close") {
        group_->state_ = "ready";
        registerEntry();
        return 202;
    }
    if (operation != "open" || group_->state_ != "ready")
        return 409;
    asio::co_spawn(context_, becomeOpen(group_->epoch_), asio::detached);
    return 202;
}

} // namespace cardamombay::support
