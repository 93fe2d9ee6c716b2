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
    for (const auto &session : sessions)
        session->check(now);
    retryHeld(sessions);
}

/// Requests that wait the longest go first; where one finds no room, those behind it don't either.
void Gateway::retryHeld(std::vector<std::shared_ptr<Session>> &sessions)
{
    std::erase_if(sessions, [](const auto &session) { return !session->isHeld(); });
    std::sort(sessions.begin(), sessions.end(), [](const auto &left, const auto &right) {
        return left->arrivedAt() < right->arrivedAt();
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
    budgets_.clear();
}

Duration Gateway::unconfirmedFor() const
{
    return parts_.clock_.now() - confirmedAt_;
}

void Gateway::setEntryCount(std::size_t count)
{
    if (count == entryCount_ || count == 0)
        return;
    entryCount_ = count;
    budgets_.clear();
}

/// Half of the reserve may be saved up and half flows in over a window, so that no window of any
/// place sees more than the whole.
retries::RetryBudgetPolicy Gateway::budgetPolicy() const
{
    const double reserve = bounds_.retryReserve_ * budgetMargin / static_cast<double>(entryCount_);
    retries::RetryBudgetPolicy policy;
    policy.share_ = bounds_.retryShare_ * budgetMargin;
    policy.floorPerSecond_ = reserve / 2 / toSeconds(bounds_.retryWindow_);
    policy.maximumBalance_ = reserve / 2;
    return policy;
}

retries::RetryBudget &Gateway::budgetOf(const ServiceName &service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    return budgets_.emplace(service, retries::RetryBudget(budgetPolicy())).first->second;
}

void Gateway::countRequest(const Service &service, const CallerHead &head)
{
    budgetOf(service.name_).deposit(parts_.clock_.now());
    if (!service.engine_)
        return;
    for (const auto &model : service.engine_->models_) {
        if (model.name_ == head.model_)
            demand_[model.name_] += toSeconds(EngineModel(*service.engine_, model).groupTime(
                head.promptTokens_, likelyAnswer(head)));
    }
}

bool Gateway::mayRepeat(const ServiceName &service)
{
    const bool may = budgetOf(service).withdraw(parts_.clock_.now());
    if (may)
        parts_.metrics_.repeats_.increment();
    return may;
}

} // namespace cardamombay::serving
