#include "support/gateway_fixture.hpp"

#include <stdexcept>

namespace cardamombay::support {

using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string fieldIn(std::span<const net::HttpField> fields, std::string_view name)
{
    for (const auto &field : fields) {
        if (field.name_ == name)
            return field.value_;
    }
    return {};
}

class FakeUpstreamCall final : public net::UpstreamCall
{
public:
    explicit FakeUpstreamCall(std::shared_ptr<FakeCall> call)
        : call_(std::move(call))
    {
    }
    ~FakeUpstreamCall() override { call_->listener_ = nullptr; }
    FakeUpstreamCall(const FakeUpstreamCall &) = delete;
    FakeUpstreamCall &operator=(const FakeUpstreamCall &) = delete;

    void consume(std::size_t /*size*/) override {}

private:
    std::shared_ptr<FakeCall> call_;
};

class FakeExchange final : public net::ServerExchange
{
public:
    explicit FakeExchange(std::shared_ptr<CallerView> view)
        : view_(std::move(view))
    {
    }

    void respond(net::HttpResponse response) override { view_->answer_ = std::move(response); }
    void startStream(net::HttpResponse head) override { view_->streamHead_ = std::move(head); }
    void write(std::span<const std::string_view> parts, std::function<void()> written) override
    {
        for (const auto part : parts)
            view_->streamed_ += part;
        written();
    }
    void finish(std::span<const net::HttpField> /*trailers*/) override
    {
        view_->isFinished_ = true;
    }
    void abort() override { view_->isAborted_ = true; }
    void onLost(std::function<void()> lost) override { view_->lost_ = std::move(lost); }

private:
    std::shared_ptr<CallerView> view_;
};

Route route(const std::string &prefix, RequestKind kind, const std::string &service)
{
    Route result;
    result.name_ = prefix;
    result.host_ = "h";
    result.prefix_ = prefix;
    result.kind_ = kind;
    result.timeout_ = seconds(5);
    result.latencyGoal_ = milliseconds(300);
    result.eventGapGoal_ = milliseconds(200);
    result.maxAttempts_ = 2;
    result.backends_ = {{ServiceName(service), 1}};
    return result;
}

EngineProfile profile()
{
    EngineProfile result;
    result.slots_ = 4;
    result.step_ = milliseconds(6);
    result.prefillTokensPerSecond_ = 50000;
    result.tokensPerEvent_ = 7;
    result.crossDomainFactor_ = 2.5;
    result.fullSpeedLoads_ = 6;
    result.models_ = {{ModelName("m"), 2, 0.5, 1, seconds(16), seconds(1)},
                      {ModelName("n"), 2, 0.5, 1, seconds(12), seconds(1)}};
    return result;
}

} // namespace

std::vector<RequestFingerprint> sharedParts(const std::string &parts)
{
    std::vector<RequestFingerprint> result;
    for (std::size_t begin = 0, comma = parts.find(','); comma != std::string::npos;
         begin = comma + 1, comma = parts.find(',', begin)) {
        const auto id = std::stoull(parts.substr(begin), nullptr, 16);
        result.emplace_back(id, FingerprintKind::PromptPart);
    }
    return result;
}

RequestHead FakeDialect::parseRequestHead(std::span<const net::HttpField> fields) const
{
    RequestHead head;
    head.request_ = RequestId(fieldIn(fields, "id"));
    head.host_ = fieldIn(fields, "host");
    head.key_ = fieldIn(fields, "key");
    head.model_ = ModelName(fieldIn(fields, "model"));
    head.promptTokens_ = 500;
    head.maxAnswerTokens_ = 100;
    if (const auto waits = fieldIn(fields, "waits"); !waits.empty())
        head.patience_ = milliseconds(std::stoll(waits));
    head.sharedParts_ = sharedParts(fieldIn(fields, "parts"));
    return head;
}

std::vector<net::HttpField> FakeDialect::attemptFields(std::span<const net::HttpField> fields,
                                                       const AttemptHead &attempt) const
{
    std::vector<net::HttpField> result(fields.begin(), fields.end());
    result.push_back({"endpoint", attempt.endpoint_.text()});
    result.push_back({"team", attempt.team_.text()});
    result.push_back({"patience", std::to_string(toMilliseconds(attempt.patience_))});
    if (attempt.lastEvent_)
        result.push_back({"last", std::to_string(*attempt.lastEvent_)});
    return result;
}

std::vector<net::HttpField> FakeDialect::relayFields(std::span<const net::HttpField> fields,
                                                     const RelayHead &relay) const
{
    std::vector<net::HttpField> result;
    for (const auto &field : fields) {
        if (field.name_ != "waits")
            result.push_back(field);
    }
    result.push_back({"waits", std::to_string(toMilliseconds(relay.patience_))});
    if (relay.lastEvent_)
        result.push_back({"last", std::to_string(*relay.lastEvent_)});
    return result;
}

EndpointResponseHead FakeDialect::parseResponseHead(const net::HttpResponse &head) const
{
    EndpointResponseHead result;
    result.isRefused_ = !head.field("refused").empty();
    result.isSealed_ = !head.field("seal").empty();
    if (const auto limit = head.field("limit"); !limit.empty())
        result.notices_.requestsPerSecond_ = std::stod(limit);
    if (const auto cooldown = head.field("cooldown"); !cooldown.empty())
        result.notices_.cooldown_ = fromSeconds(std::stod(cooldown));
    result.notices_.isLeaving_ = !head.field("leaving").empty();
    return result;
}

std::vector<net::HttpField> FakeDialect::callerFields(const net::HttpResponse &head) const
{
    return head.fields_;
}

net::HttpResponse FakeDialect::failure(std::uint32_t status, std::string_view reason,
                                       std::optional<Duration> suggestedRetryDelay) const
{
    net::HttpResponse response;
    response.status_ = status;
    response.body_ = reason;
    if (suggestedRetryDelay)
        response.fields_.push_back(
            {"come-back", std::to_string(toMilliseconds(*suggestedRetryDelay))});
    return response;
}

std::string FakeCall::field(std::string_view name) const
{
    return fieldIn(request_.fields_, name);
}

bool FakeCall::connect() const
{
    return listener_->onConnected();
}

void FakeCall::head(std::uint32_t status, std::vector<net::HttpField> fields) const
{
    net::HttpResponse head;
    head.status_ = status;
    head.fields_ = std::move(fields);
    listener_->onHead(std::move(head));
}

void FakeCall::data(std::string_view text) const
{
    listener_->onData(text);
}

void FakeCall::end(std::string_view rest) const
{
    listener_->onEnd(rest);
}

void FakeCall::fail(bool mayHaveLeft) const
{
    listener_->onFailure({mayHaveLeft, false, "the connection broke"});
}

std::unique_ptr<net::UpstreamCall> FakeUpstream::start(net::UpstreamRequest request,
                                                       net::UpstreamListener &listener)
{
    auto call = std::make_shared<FakeCall>();
    call->request_ = std::move(request);
    call->listener_ = &listener;
    calls_.push_back(call);
    return std::make_unique<FakeUpstreamCall>(std::move(call));
}

std::unique_ptr<net::UpstreamCall> FakeUpstream::probe(const Address &address, Duration /*timeout*/,
                                                       net::UpstreamListener &listener)
{
    ++probes_;
    if (silent_.contains(address))
        return nullptr;
    const auto reset = resets_.find(address);
    if (reset != resets_.end() && reset->second > 0) {
        --reset->second;
        listener.onFailure({false, false, "Connection reset by peer", false});
    } else if (ended_.contains(address))
        listener.onFailure({false, false, "Connection refused", true});
    else
        listener.onConnected();
    return nullptr;
}

Configuration gatewayConfiguration()
{
    Configuration result;
    result.version_ = ConfigVersion(3);
    result.routes_ = {route("/once/", RequestKind::NonIdempotent, "plain"),
                      route("/again/", RequestKind::Idempotent, "plain"),
                      route("/stream/", RequestKind::Stream, "engines"),
                      route("/raw/", RequestKind::Stream, "engines")};
    result.routes_[2].isResumable_ = true;
    Service engines;
    engines.name_ = ServiceName("engines");
    engines.engine_ = profile();
    Service plainService;
    plainService.name_ = ServiceName("plain");
    result.services_ = {engines, plainService};
    result.teams_ = {{TeamName("team-a"), {"key-a"}, {}}, {TeamName("team-b"), {"key-b"}, {}}};
    return result;
}

Endpoint engineIn(const std::string &id, const std::string &domain, const GroupName &group,
                  std::uint64_t epoch, std::uint32_t rank, MemberState state)
{
    auto result = spareEngine(id, domain, modelOf(group).text());
    result.model_ = modelOf(group);
    result.membership_ = Membership{group, epoch, rank, state};
    return result;
}

Endpoint plainEndpoint(const std::string &id)
{
    Endpoint result;
    result.id_ = VmId(id);
    result.service_ = ServiceName("plain");
    result.address_ = {"10.0.0.1", 80};
    result.slots_ = 2;
    return result;
}

Endpoint spareEngine(const std::string &id, const std::string &domain, const std::string &staged)
{
    Endpoint result;
    result.id_ = VmId(id);
    result.service_ = ServiceName("engines");
    result.address_ = {"10.0.0.2", 80};
    result.domain_ = FabricDomain(domain);
    result.slots_ = 4;
    if (!staged.empty())
        result.staged_ = {ModelName(staged)};
    return result;
}

GatewayFixture::GatewayFixture()
    : balancer_(endpointRegistry_, loadTracker_, upstream_, Random(1))
    , metrics_(registry_)
    , gateway_({clock_, upstream_, dialect_, loadTracker_, balancer_, metrics_}, GatewayBounds{},
               Random(2))
{
    gateway_.setRoutes(std::make_shared<RouteTable>(gatewayConfiguration()));
    gateway_.confirm(clock_.now());
    endpointRegistry_.put(plainEndpoint("p-0"));
    endpointRegistry_.put(plainEndpoint("p-1"));
}

void GatewayFixture::addGroup(const std::string &head, const std::string &model)
{
    const GroupName group(model + "." + head);
    endpointRegistry_.put(engineIn(head, "d", group, 1, 0, MemberState::Open));
    endpointRegistry_.put(engineIn(head + "-member", "d", group, 1, 1, MemberState::Ready));
}

std::shared_ptr<CallerView> GatewayFixture::ask(const std::string &path, const std::string &model,
                                                const std::string &key)
{
    return askAt(gateway_, path, model, key);
}

namespace {

net::ServerRequest requestFor(const std::string &path, const std::string &model,
                              const std::string &key)
{
    net::ServerRequest request;
    request.method_ = "POST";
    request.target_ = path;
    request.fields_ = {{"id", "r-1"}, {"host", "h"}, {"key", key}, {"model", model}};
    return request;
}

} // namespace

std::shared_ptr<CallerView> askAt(Gateway &gateway, const std::string &path,
                                  const std::string &model, const std::string &key,
                                  Duration patience)
{
    auto view = std::make_shared<CallerView>();
    auto request = requestFor(path, model, key);
    if (patience > Duration::zero())
        request.fields_.push_back({"waits", std::to_string(toMilliseconds(patience))});
    gateway.handle(std::move(request), std::make_shared<FakeExchange>(view));
    return view;
}

std::shared_ptr<CallerView> askWithParts(Gateway &gateway, const std::string &path,
                                         const std::string &model, const std::string &key,
                                         const std::string &parts)
{
    auto view = std::make_shared<CallerView>();
    auto request = requestFor(path, model, key);
    if (!parts.empty())
        request.fields_.push_back({"parts", parts});
    gateway.handle(std::move(request), std::make_shared<FakeExchange>(view));
    return view;
}

std::shared_ptr<CallerView> askRelayed(Gateway &gateway, const std::string &path,
                                       const std::string &model, const std::string &key,
                                       const std::vector<net::HttpField> &fields)
{
    auto view = std::make_shared<CallerView>();
    auto request = requestFor(path, model, key);
    request.fields_.insert(request.fields_.end(), fields.begin(), fields.end());
    gateway.handleRelayed(std::move(request), std::make_shared<FakeExchange>(view));
    return view;
}

void GatewayFixture::pass(Duration time)
{
    const auto end = clock_.now() + time;
    while (clock_.now() < end) {
        clock_.advance(Gateway::sweepPeriod);
        gateway_.confirm(clock_.now());
        gateway_.sweep();
    }
}

std::shared_ptr<FakeCall> GatewayFixture::lastCall() const
{
    if (upstream_.calls_.empty())
        throw std::logic_error("the gateway made no call");
    return upstream_.calls_.back();
}

} // namespace cardamombay::support
