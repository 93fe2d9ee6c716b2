#include <cardamombay/serving/gateway.hpp>

#include "serving/session.hpp"

#include <cardamombay/net/http_status.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace cardamombay::serving {

namespace {

/// Share of the fleet's budget that is spent at most: entry VMs count their peers a little late.
constexpr double budgetMargin = 0.7;

/// A gap between two sweeps beyond which endpoints are not blamed for the silence.
constexpr Duration longestSweepGap = std::chrono::milliseconds(120);

/// Tokens that the answer will have: the caller's guess, else half of what it allows.
std::size_t likelyAnswer(const CallerHead &head)
{
    return head.likelyAnswerTokens_ > 0 ? head.likelyAnswerTokens_ : head.mostAnswerTokens_ / 2;
}

} // namespace

Gateway::Gateway(GatewayParts parts, GatewayBounds bounds, Random random)
    : parts_(parts)
    , bounds_(bounds)
    , random_(random)
{
}

Gateway::~Gateway() = default;

void Gateway::handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange)
{
    parts_.metrics_.requests_.increment();
    auto session = std::make_shared<Session>(*this, std::move(request), std::move(exchange));
    sessions_.emplace(session.get(), session);
    session->start();
}

net::HttpResponse Gateway::refusal(net::ServerFault fault, std::string_view detail)
{
    return parts_.dialect_.failure(net::statusOf(fault), detail, std::nullopt);
}

void Gateway::release(Session &session)
{
    // It is released from inside its own functions, so it lives on until the next sweep.
    if (auto node = sessions_.extract(&session))
        ended_.push_back(std::move(node.mapped()));
}

void Gateway::sweep()
{
    ended_.clear();
    std::vector<std::shared_ptr<Session>> sessions;
    sessions.reserve(sessions_.size());
    for (const auto &[key, session] : sessions_)
        sessions.push_back(session);
    const auto now = parts_.clock_.now();
    const bool stoodStill = now - std::exchange(sweptAt_, now) > longestSweepGap;
    for (const auto &session : sessions) {
        // What came while the process stood still is not read yet.
        if (stoodStill)
            session->restartPatience(now);
        session->check(now);
    }
    retryHeld(sessions);
}

/// The most urgent requests go first, then those that wait the longest; where one finds no room,
/// those behind it don't either.
void Gateway::retryHeld(std::vector<std::shared_ptr<Session>> &sessions)
{
    std::erase_if(sessions, [](const auto &session) { return !session->isHeld(); });
    std::sort(sessions.begin(), sessions.end(), [](const auto &left, const auto &right) {
        return std::pair(left->priority(), left->arrivedAt())
               < std::pair(right->priority(), right->arrivedAt());
    });
    std::set<ModelName> full;
    for (const auto &session : sessions) {
        if (!full.contains(session->model()) && !session->retryHeld())
            full.insert(session->model());
    }
}

void Gateway::cutAll()
{
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->cut();
}

void Gateway::setBounds(const GatewayBounds &bounds)
{
    bounds_ = bounds;
}

Duration Gateway::unconfirmedFor() const
{
    return parts_.clock_.now() - confirmedAt_;
}

void Gateway::setEntryCount(std::size_t count)
{
    entryCount_ = std::max<std::size_t>(1, count);
}

/// The entry VMs share the fleet's reserve evenly; each earns its own share of its requests.
RepeatBound Gateway::repeatBound() const
{
    RepeatBound bound;
    bound.share_ = bounds_.retryShare_ * budgetMargin;
    bound.reserve_ = bounds_.retryReserve_ * budgetMargin / static_cast<double>(entryCount_);
    bound.window_ = bounds_.retryWindow_;
    return bound;
}

void Gateway::countRequest(const Service &service, const CallerHead &head)
{
    repeats_[service.name_].countRequest(repeatBound(), parts_.clock_.now());
    if (!service.engine_)
        return;
    for (const auto &model : service.engine_->models_) {
        if (model.name_ == head.model_)
            demand_[model.name_]
                += toSeconds(EngineModel(*service.engine_, model)
                                 .groupTime(head.promptTokens_, likelyAnswer(head)));
    }
}

bool Gateway::mayRepeat(const ServiceName &service)
{
    const bool may = repeats_[service].take(repeatBound(), parts_.clock_.now());
    if (may)
        parts_.metrics_.repeats_.increment();
    return may;
}

} // namespace cardamombay::serving
