#include <cardamombay/serving/gateway.hpp>

#include "serving/log_events.hpp"
#include "serving/session.hpp"

#include <cardamombay/log/log.hpp>
#include <cardamombay/net/http_status.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace cardamombay::serving {

namespace {

/// Share of the fleet's budget that is spent at most: entry VMs count their peers a little late.
constexpr double budgetMargin = 0.7;

/// Share of the fleet's budget beyond which an entry VM leaves its own part untouched as well: the
/// others may have taken it as left over, one after the other.
constexpr double fleetMargin = 0.82;

/// Even parts of what the fleet has left that one entry VM may take until it hears of the others
/// again. Few of them need repeats at the same moment; if all did, the margin above covers the
/// rest.
constexpr double mostExtraShare = 3;

/// Requests that one log line names.
constexpr std::size_t mostNamed = 16;

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
    , crashDetector_(parts.clock_, parts.upstream_)
    , notices_(parts.metrics_)
    , coldEndpoints_(parts.clock_, parts.metrics_)
    , sendRates_({&notices_.limits(), &coldEndpoints_})
    , reservations_(parts.clock_, sendRates_, parts.metrics_, Random(random.bits()))
    , gate_(parts.balancer_, notices_, reservations_)
{
    crashDetector_.onCrash([this](const EndpointCrash &crash) { endpointCrashed(crash); });
    poisonPills_.onVerdict([this](const PoisonVerdict &verdict) { requestQuarantined(verdict); });
}

Gateway::~Gateway() = default;

void Gateway::handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange)
{
    parts_.metrics_.requests_.increment();
    auto session = std::make_shared<Session>(*this, std::move(request), std::move(exchange));
    sessions_.emplace(session.get(), session);
    session->start();
}

void Gateway::setLearning(bool isLearning)
{
    if (std::exchange(isLearning_, isLearning) == isLearning || isLearning)
        return;
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->beginWaiting();
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
    crashDetector_.sweep();
    notices_.expire(now);
    coldEndpoints_.expire();
    reservations_.sweep();
    retryHeld(sessions);
}

void Gateway::attemptBroke(const Target &target, RequestAtCrash request)
{
    crashDetector_.attemptBroke(target.incarnation(), target.address_, request);
}

bool Gateway::blamesEndpoint(const RequestFingerprint &request, const VmId &endpoint)
{
    return failureBlame_.blamesEndpoint(request, endpoint, parts_.clock_.now());
}

void Gateway::endpointCrashed(const EndpointCrash &crash)
{
    parts_.metrics_.endpointCrashes_.increment();
    std::string waiting;
    std::size_t named = 0;
    std::size_t begun = 0;
    for (const auto &request : crash.requests_) {
        if (request.hadEvents_)
            ++begun;
        else if (named++ < mostNamed)
            waiting += (waiting.empty() ? "" : ",") + request.fingerprint_.text();
    }
    log::warning(event::endpointCrashed, {{"endpoint", crash.endpoint_.text()},
                                          {"under-way", std::to_string(crash.requests_.size())},
                                          {"had-events", std::to_string(begun)},
                                          {"without-events", waiting}});
    parts_.loadTracker_.crashed(crash.endpoint_, parts_.clock_.now());
    poisonPills_.endpointCrashed(crash, parts_.clock_.now());
    if (crashSeen_)
        crashSeen_();
}

void Gateway::takePoisonNews(const PoisonNews &news)
{
    const auto now = parts_.clock_.now();
    for (const auto &[endpoint, requests] : news.crashes_)
        parts_.loadTracker_.crashed(endpoint, now);
    poisonPills_.take(news, now);
}

/// Those that wait in an endpoint's queue would end it when they begin.
void Gateway::requestQuarantined(const PoisonVerdict &verdict)
{
    const auto all = poisonPills_.quarantined(parts_.clock_.now());
    std::string endpoints;
    for (const auto &endpoint : all.at(verdict.request_))
        endpoints += (endpoints.empty() ? "" : ",") + endpoint.text();
    log::warning(event::requestQuarantined,
                 {{"fingerprint", verdict.request_.text()},
                  {"for-ms", std::to_string(toMilliseconds(verdict.left_))},
                  {"endpoints", endpoints.empty() ? "told-by-a-peer" : endpoints}});
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->quarantined(verdict);
}

/// The most urgent requests go first, then those that wait the longest; where one finds no room,
/// those behind it don't either, unless they have a send reserved.
void Gateway::retryHeld(std::vector<std::shared_ptr<Session>> &sessions)
{
    std::erase_if(sessions, [](const auto &session) { return !session->isHeld(); });
    std::sort(sessions.begin(), sessions.end(), [](const auto &left, const auto &right) {
        return std::pair(left->priority(), left->arrivedAt())
               < std::pair(right->priority(), right->arrivedAt());
    });
    std::set<std::pair<ServiceName, ModelName>> full;
    for (const auto &session : sessions) {
        const std::pair needed(session->service(), session->model());
        const bool isWorthTrying = !full.contains(needed) || session->hasTurn();
        if (isWorthTrying && !session->retryHeld())
            full.insert(needed);
    }
}

void Gateway::cutAll()
{
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->cut();
}

void Gateway::endpointRestarted(const EndpointIncarnation &endpoint, const Address &address)
{
    parts_.upstream_.dropUnused(address);
    parts_.loadTracker_.restarted(endpoint.id_);
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->endpointRestarted(endpoint.id_);
    crashDetector_.endpointRestarted(endpoint);
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
    if (const auto *model = service.engine_->model(head.model_))
        demand_[model->name_] += toSeconds(EngineModel(*service.engine_, *model)
                                               .groupTime(head.promptTokens_, likelyAnswer(head)));
}

void Gateway::setOthersRepeats(std::map<ServiceName, RepeatCounts> counts)
{
    othersRepeats_ = std::move(counts);
    extraRepeats_.clear();
}

std::map<ServiceName, RepeatCounts> Gateway::repeatCounts(TimePoint now)
{
    std::map<ServiceName, RepeatCounts> result;
    for (auto &[service, window] : repeats_)
        result.emplace(service, window.counts(repeatBound(), now));
    return result;
}

/// Repeats that the fleet may still send within \p margin of its budget, as far as is known;
/// nothing if the others' counts are not.
std::optional<double> Gateway::fleetLeft(const ServiceName &service, double margin, TimePoint now)
{
    const auto others = othersRepeats_.find(service);
    if (others == othersRepeats_.end())
        return std::nullopt;
    const auto own = repeats_[service].counts(repeatBound(), now);
    const auto requests = own.requests_ + others->second.requests_;
    const auto repeats = own.repeats_ + others->second.repeats_;
    return (requests * bounds_.retryShare_ + bounds_.retryReserve_) * margin - repeats;
}

/// What the fleet has left is shared by those that need it now: the streams of a lost group are
/// spread unevenly, and an entry VM's own part is three repeats and one for seven requests.
bool Gateway::othersLeaveRepeats(const ServiceName &service, TimePoint now)
{
    const auto left = fleetLeft(service, budgetMargin, now);
    if (!left)
        return false;
    const auto part = *left * mostExtraShare / static_cast<double>(entryCount_);
    return extraRepeats_[service] + 1 <= part;
}

bool Gateway::mayRepeat(const ServiceName &service)
{
    const auto now = parts_.clock_.now();
    const auto left = fleetLeft(service, fleetMargin, now);
    if (left && *left < 1)
        return false;
    bool may = repeats_[service].take(repeatBound(), now);
    if (!may && othersLeaveRepeats(service, now)) {
        repeats_[service].takeExtra(repeatBound(), now);
        extraRepeats_[service] += 1;
        may = true;
    }
    if (may)
        parts_.metrics_.repeats_.increment();
    return may;
}

} // namespace cardamombay::serving
