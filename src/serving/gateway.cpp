#include <cardamombay/serving/gateway.hpp>

#include "serving/log_events.hpp"
#include "serving/relay_fields.hpp"
#include "serving/session.hpp"

#include <cardamombay/log/log.hpp>
#include <cardamombay/net/http_status.hpp>
#include <cardamombay/serving/engine_model.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <vector>

namespace cardamombay::serving {

namespace {

/// Maximum number of requests listed in one log line.
constexpr std::size_t maxLoggedRequests = 16;

/// After a longer gap between two sweeps this process was paused itself, which does not count as
/// silence of the endpoints.
constexpr Duration maxSweepGap = std::chrono::milliseconds(120);

/// Retry delay of callers whose requests found no memory: answers under way free theirs meanwhile.
constexpr Duration inputRetryDelay = std::chrono::milliseconds(500);

/// Expected length of the answer: the caller's estimate, or else half of the limit that it set.
std::size_t expectedAnswerTokens(const RequestHead &head)
{
    return head.expectedAnswerTokens_ > 0 ? head.expectedAnswerTokens_ : head.maxAnswerTokens_ / 2;
}

} // namespace

Gateway::Gateway(GatewayParts parts, GatewayBounds bounds, Random random)
    : parts_(parts)
    , bounds_(bounds)
    , random_(random)
    , retries_(parts.clock_, parts.metrics_, Random(random_.bits()))
    , paths_(parts.upstream_, parts.loadTracker_)
    , crashDetector_(parts.clock_, parts.upstream_)
    , notices_(parts.metrics_)
    , coldEndpoints_(parts.clock_, parts.metrics_)
    , sendRates_({&notices_.limits(), &coldEndpoints_})
    , reservations_(parts.clock_, sendRates_, parts.metrics_, Random(random.bits()))
    , overload_(parts.clock_, parts.balancer_, parts.metrics_, Random(random.bits()))
    , gate_(parts.balancer_, notices_, reservations_, paths_)
    , ownCallerBuffers_(bounds.callerBufferBytes_, parts.metrics_)
    , answerBuffers_(bounds.answerBufferBytes_, parts.metrics_)
    , carriers_(parts.clock_, Random(random.bits()))
{
    paths_.onExonerated([this](const VmId &endpoint, const Address &address) {
        retractCrash(endpoint);
        parts_.loadTracker_.exonerate(endpoint);
        // Connections that were open during the loss may never transmit again.
        parts_.upstream_.dropUnused(address);
    });
    paths_.onHeardElsewhere([this](const VmId &endpoint) { retractCrash(endpoint); });
    paths_.setListingCheck(
        [this](const VmId &endpoint) { return !parts_.balancer_.hasLeft(endpoint); });
    crashDetector_.setPathCheck([this](const VmId &endpoint) { return trustInPath(endpoint); });
    crashDetector_.onCrash([this](const EndpointCrash &crash) { endpointCrashed(crash); });
    setBounds(bounds);
    poisonPills_.onVerdict([this](const PoisonVerdict &verdict) { requestQuarantined(verdict); });
}

Gateway::~Gateway() = default;

void Gateway::handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange)
{
    parts_.metrics_.requests_.increment();
    startSession(std::move(request), std::move(exchange), {});
}

void Gateway::handleRelayed(net::ServerRequest request,
                            std::shared_ptr<net::ServerExchange> exchange)
{
    parts_.metrics_.carried_.increment();
    const auto priorRuns = impl::takePriorRuns(request.fields_);
    startSession(std::move(request), std::move(exchange), {true, priorRuns});
}

void Gateway::startSession(net::ServerRequest request,
                           std::shared_ptr<net::ServerExchange> exchange, RequestOrigin origin)
{
    auto session = std::make_shared<Session>(*this, ++lastSession_, std::move(request),
                                             std::move(exchange), origin);
    sessions_.emplace(session->number(), session);
    session->start();
}

void Gateway::setLearning(bool isLearning)
{
    if (std::exchange(isLearning_, isLearning) == isLearning || isLearning)
        return;
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->resumeAfterStartup();
}

net::HttpResponse Gateway::refusal(net::ServerFault fault, std::string_view detail)
{
    const bool isTransient = fault == net::ServerFault::OutOfMemory;
    return parts_.dialect_.failure(net::statusOf(fault), detail,
                                   isTransient ? std::optional(inputRetryDelay) : std::nullopt);
}

void Gateway::release(Session &session)
{
    // Called from member functions of the session, so it is kept alive until the next sweep.
    if (auto node = sessions_.extract(session.number()))
        released_.push_back(std::move(node.mapped()));
}

void Gateway::sweep()
{
    released_.clear();
    std::vector<std::shared_ptr<Session>> sessions;
    sessions.reserve(sessions_.size());
    for (const auto &[key, session] : sessions_)
        sessions.push_back(session);
    const auto now = parts_.clock_.now();
    const auto gap = now - std::exchange(lastSweepAt_, now);
    for (const auto &session : sessions) {
        // Data that arrived during a pause has not been read yet. One period counts, so that stalls
        // are also detected by a process that is paused before each sweep.
        if (gap > maxSweepGap)
            session->excludePause(gap - sweepPeriod, now);
        session->check(now);
    }
    for (const auto &endpoint : crashDetector_.refusing())
        paths_.connectRefused(endpoint, now);
    paths_.sweep(now);
    updatePathMetrics();
    crashDetector_.sweep();
    poisonPills_.review(now);
    notices_.expire(now);
    coldEndpoints_.expire();
    reservations_.sweep();
    overload_.returns().sweep();
    retries_.sweep();
    retryHeld(sessions);
}

void Gateway::onAttemptBroken(const Target &target, RequestAtCrash request,
                              std::span<const RequestFingerprint> parts)
{
    crashDetector_.onAttemptBroken(target.incarnation(), target.address_, request, parts);
}

bool Gateway::blamesEndpoint(std::span<const RequestFingerprint> fingerprints, const VmId &endpoint)
{
    const auto now = parts_.clock_.now();
    const auto suspects = poisonPills_.unanswered(fingerprints, now);
    return failureBlame_.blamesEndpoint(suspects, endpoint, now);
}

bool Gateway::blamesEndpointForBreak(std::span<const RequestFingerprint> fingerprints,
                                     const VmId &endpoint)
{
    const auto now = parts_.clock_.now();
    const auto suspects = poisonPills_.unanswered(fingerprints, now);
    return breakBlame_.blamesEndpoint(suspects, endpoint, now);
}

void Gateway::updatePathMetrics()
{
    const bool isPartitioned = paths_.isPartitionedFromAny();
    if (!isPartitioned && !wasPartitioned_)
        return;
    wasPartitioned_ = isPartitioned;
    parts_.metrics_.partitioned_.set(isPartitioned ? 1 : 0);
    parts_.metrics_.lostPaths_.set(isPartitioned ? static_cast<double>(paths_.counts().confirmed_)
                                                 : 0);
}

/// Peers may have been told that the endpoint has crashed.
void Gateway::retractCrash(const VmId &endpoint)
{
    const auto crashed = parts_.loadTracker_.observedCrash(endpoint);
    if (!crashed)
        return;
    log::info(event::endpointCrashRetracted, {{"endpoint", crashed->text()}});
    poisonPills_.retract(*crashed, parts_.clock_.now());
    parts_.loadTracker_.retractCrash(endpoint);
}

PathTrust Gateway::trustInPath(const VmId &endpoint) const
{
    if (!paths_.isReachable(endpoint))
        return PathTrust::Lost;
    return paths_.isAwaitingReports() ? PathTrust::Undecided : PathTrust::Trusted;
}

void Gateway::endpointCrashed(const EndpointCrash &crash)
{
    parts_.metrics_.endpointCrashes_.increment();
    std::string waiting;
    std::string begun;
    std::size_t named = 0;
    std::size_t withEvents = 0;
    const auto name = [&](const RequestAtCrash &one) {
        const auto text = one.fingerprint_.text();
        waiting += (waiting.empty() ? "" : ",") + text;
        if (one.hadBegun())
            begun += (begun.empty() ? "" : ",") + text;
    };
    for (const auto &request : crash.requests_) {
        if (request.hadEvents_)
            ++withEvents;
        else if (named++ < maxLoggedRequests)
            name(request);
    }
    for (const auto &part : crash.parts_) {
        if (!part.hadEvents_ && named++ < maxLoggedRequests)
            name(part);
    }
    log::warning(event::endpointCrashed, {{"endpoint", crash.endpoint_.text()},
                                          {"under-way", std::to_string(crash.requests_.size())},
                                          {"had-events", std::to_string(withEvents)},
                                          {"without-events", waiting},
                                          {"had-head-only", begun}});
    parts_.loadTracker_.crashed(crash.endpoint_, parts_.clock_.now());
    poisonPills_.endpointCrashed(crash, parts_.clock_.now());
    if (crashCallback_)
        crashCallback_();
}

void Gateway::takePoisonUpdate(const PoisonUpdate &update)
{
    const auto now = parts_.clock_.now();
    for (const auto &[endpoint, requests] : update.crashes_) {
        if (!parts_.loadTracker_.hasCrashed(endpoint.id_, endpoint.startedAt_))
            logToldCrash(endpoint, now);
        parts_.loadTracker_.reportedCrashed(endpoint, now);
    }
    for (const auto &endpoint : update.retracted_)
        parts_.loadTracker_.crashRetracted(endpoint);
    poisonPills_.take(update, now);
}

void Gateway::logToldCrash(const EndpointIncarnation &endpoint, TimePoint now) const
{
    const auto &loadTracker = parts_.loadTracker_;
    const auto heardAt = loadTracker.lastProgressAt(endpoint.id_);
    log::info(event::endpointCrashTold,
              {{"endpoint", endpoint.text()},
               {"under-way", std::to_string(loadTracker.ownRequests(endpoint.id_))},
               {"heard-ms",
                heardAt == TimePoint{} ? "never" : std::to_string(toMilliseconds(now - heardAt))}});
}

/// Requests of this kind in an endpoint's queue would crash it once they start, so they are
/// cancelled.
void Gateway::requestQuarantined(const PoisonVerdict &verdict)
{
    const auto all = poisonPills_.quarantined(parts_.clock_.now());
    std::string endpoints;
    for (const auto &endpoint : all.at(verdict.fingerprint_))
        endpoints += (endpoints.empty() ? "" : ",") + endpoint.text();
    log::warning(event::requestQuarantined,
                 {{"fingerprint", verdict.fingerprint_.text()},
                  {"for-ms", std::to_string(toMilliseconds(verdict.left_))},
                  {"endpoints", endpoints.empty() ? "told-by-a-peer" : endpoints}});
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->endIfQuarantined();
}

/// Retries by priority, returned callers before new ones, then by arrival. Once a request finds no
/// capacity, later ones of the same service and model are skipped unless they hold a reservation.
void Gateway::retryHeld(std::vector<std::shared_ptr<Session>> &sessions)
{
    std::erase_if(sessions, [](const auto &session) { return !session->isHeld(); });
    const auto key = [](const Session &session) {
        const bool hasReturned = session.isControlled() && session.controlled().hasReturned_;
        return std::tuple(session.priority(), !hasReturned, session.number());
    };
    std::sort(sessions.begin(), sessions.end(),
              [&key](const auto &left, const auto &right) { return key(*left) < key(*right); });
    std::set<std::pair<ServiceName, ModelName>> full;
    for (const auto &session : sessions) {
        // An earlier one may have displaced it, after which it must not be sent.
        if (!session->isHeld())
            continue;
        const std::pair needed(session->service(), session->model());
        const bool mayFindRoom = !full.contains(needed) || session->hasOpenReservation();
        if (mayFindRoom && !session->retryHeld())
            full.insert(needed);
    }
}

void Gateway::terminateAll()
{
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->terminate();
}

void Gateway::endpointRestarted(const EndpointIncarnation &endpoint, const Address &address)
{
    parts_.upstream_.dropUnused(address);
    parts_.loadTracker_.restarted(endpoint.id_, parts_.clock_.now());
    paths_.forget(endpoint.id_);
    const auto sessions = sessions_;
    for (const auto &[key, session] : sessions)
        session->endpointRestarted(endpoint.id_);
    crashDetector_.endpointRestarted(endpoint);
}

void Gateway::setBounds(const GatewayBounds &bounds)
{
    bounds_ = bounds;
    retries_.setBound({bounds.retryShare_, bounds.retryReserve_, bounds.retryWindow_});
    ownCallerBuffers_.setBound(bounds.callerBufferBytes_);
    answerBuffers_.setBound(bounds.answerBufferBytes_);
}

Duration Gateway::unconfirmedFor() const
{
    return parts_.clock_.now() - confirmedAt_;
}

void Gateway::countRequest(const Service &service, const RequestHead &head)
{
    retries_.countRequest(service.name_);
    if (!service.engine_)
        return;
    if (const auto *model = service.engine_->model(head.model_))
        demand_[model->name_] += toSeconds(workOf(service, head));
}

Duration Gateway::workOf(const Service &service, const RequestHead &head) const
{
    const auto *model = service.engine_->model(head.model_);
    if (model == nullptr)
        return Duration::zero();
    return EngineModel(*service.engine_, *model)
        .amortizedGroupTime(head.promptTokens_, expectedAnswerTokens(head));
}

void Gateway::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    routes_ = std::move(routes);
    overload_.setRoutes(routes_);
    if (!routes_)
        return;
    for (const auto &service : routes_->configuration().services_)
        retries_.addService(service.name_);
}

std::vector<overload::HeldRequest> Gateway::heldRequests(const ModelName &model) const
{
    std::vector<overload::HeldRequest> result;
    for (const auto &[number, session] : sessions_) {
        if (session->isHeld() && session->isControlled() && session->model() == model)
            result.push_back(session->heldRequest());
    }
    return result;
}

void Gateway::displaceHeld(Session &arrival)
{
    std::vector<std::shared_ptr<Session>> others;
    std::vector<overload::HeldRequest> queue;
    for (const auto &[number, session] : sessions_) {
        if (session.get() == &arrival || !session->isHeld() || !session->isControlled()
            || session->model() != arrival.model())
            continue;
        others.push_back(session);
        queue.push_back(session->heldRequest());
    }
    const auto request = arrival.heldRequest();
    if (const auto index = overload::displacedBy(queue, request))
        others[*index]->displace();
    else if (overload::isRefusedByFullQueue(queue, request))
        arrival.displace();
}

overload::FleetDemand Gateway::overloadDemand(bool withTeams) const
{
    std::vector<overload::AdmissionRequest> held;
    std::vector<double> work;
    for (const auto &[number, session] : sessions_) {
        if (!session->isHeld() || !session->isControlled())
            continue;
        held.push_back(session->controlled().admission_);
        work.push_back(session->controlled().work_);
    }
    return overload_.ownDemand(held, work, withTeams);
}

} // namespace cardamombay::serving
