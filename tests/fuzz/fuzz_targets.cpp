#include "fuzz_targets.hpp"

#include <platform/engine_orders.hpp>
#include <platform/store_client.hpp>
#include <platform/store_format.hpp>

#include <cardamombay/admin/admin_ack.hpp>
#include <cardamombay/admin/admin_config.hpp>
#include <cardamombay/admin/admin_event.hpp>
#include <cardamombay/admin/admin_group.hpp>
#include <cardamombay/admin/admin_status.hpp>
#include <cardamombay/admin/admin_vm.hpp>
#include <cardamombay/chart/chart.hpp>
#include <cardamombay/config/config_parser.hpp>
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/endpoint/endpoint_codec.hpp>
#include <cardamombay/groups/group_row.hpp>
#include <cardamombay/groups/vm_row.hpp>
#include <cardamombay/leases/lease_row.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>
#include <cardamombay/platform/http_vm_directory.hpp>
#include <cardamombay/rpc/digest_codec.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>
#include <cardamombay/serving/configuration_exchange.hpp>
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/peer_clocks.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>
#include <cardamombay/serving/return_coordinator.hpp>
#include <cardamombay/settings/settings.hpp>
#include <cardamombay/traffic/request_parser.hpp>

#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace cardamombay::fuzz {

namespace {

constexpr std::string_view fileMark = "\n%%%\n"; ///< Between the files of a configuration.
constexpr const char *exampleConfiguration = R"(
deployment = "fuzz"
[services.lm]
kind = "model"
model = { name = "m", version = "1" }
replicas = 1
[services.app]
kind = "plain"
path_prefix = "/app"
replicas = 1
[[services.app.routes]]
method = "POST"
path = "/app/orders"
idempotent = false
[teams.a]
weight = 1.0
token_sha256 = ["f51ca8ca9ec467d84346662c5b891a98abf13a8e0614735c5577fd2c3be7b899"]
)";
constexpr const char *exampleOverlay = "site = \"z1\"\nregion = \"r1\"\n";

void require(bool holds, const char *property)
{
    if (!holds)
        throw std::logic_error(property);
}

/// Calls \p take with each piece of \p text between marks.
template<typename Take>
void split(std::string_view text, std::string_view mark, Take take)
{
    for (;;) {
        const auto end = text.find(mark);
        take(text.substr(0, end));
        if (end == std::string_view::npos)
            return;
        text.remove_prefix(end + mark.size());
    }
}

config::ConfigSources toSources(std::string_view text)
{
    config::ConfigSources sources;
    split(text, fileMark, [&](std::string_view piece) {
        config::SourceFile file{"overlay-" + std::to_string(sources.overlays_.size()) + ".toml",
                                std::string(piece)};
        if (sources.base_.file_.empty())
            sources.base_ = {"base.toml", std::move(file.text_)};
        else
            sources.overlays_.push_back(std::move(file));
    });
    return sources;
}

void runConfiguration(std::string_view text)
{
    const auto sources = toSources(text);
    const auto result = config::parse(sources, ConfigVersion{1});
    require(isOk(result) == config::check(sources).empty(), "parse and check agree");
    (void)config::decodeSources(text);
    if (!isOk(result))
        return;
    const auto decoded = config::decodeSources(config::encode(sources));
    require(isOk(decoded), "encoded sources can be read");
    require(config::encode(valueOf(decoded)) == config::encode(sources), "sources are kept");
}

void runSettings(std::string_view text)
{
    const auto result = settings::parse(text, "cardamombayd.toml");
    require(isOk(result) == settings::check(text, "cardamombayd.toml").empty(),
            "parse and check agree");
}

void runChart(std::string_view text)
{
    const auto result = chart::parseChart(text, "fuzz.toml");
    if (!isOk(result))
        return;
    const auto &chart = valueOf(result);
    for (const auto &cell : chart.cells())
        require(cell.isIgnored_ || !cell.transitions_.empty(), "no cell is open");
}

void runDigest(std::string_view text)
{
    const auto digest = rpc::decodeDigest(text, "fuzz");
    if (!isOk(digest))
        return;
    const auto again = rpc::decodeDigest(rpc::encodeDigest(valueOf(digest)), "fuzz");
    require(isOk(again), "encoded digest can be read");
}

/// Answers every request with the same text.
class OneAnswerClient final : public net::HttpClient
{
public:
    explicit OneAnswerClient(std::string_view text)
        : text_(text)
    {
    }

    void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
    {
        net::HttpResponse response;
        response.status_ = status_;
        for (const auto &field : request.fields_) {
            if (field.name_ == net::requestIdField)
                response.fields_.push_back(field);
        }
        response.fields_.push_back({"Retry-After", std::string(text_.substr(0, 20))});
        response.body_ = text_;
        done(std::move(response));
    }

    std::uint32_t status_ = 200;

private:
    std::string_view text_;
};

void runJsonRpc(std::string_view text)
{
    rpc::JsonRpcDispatcher dispatcher;
    dispatcher.setExchangeHandler([](const membership::Digest &digest) { return digest; });
    (void)dispatcher.handle(std::string(text));
    OneAnswerClient client(text);
    rpc::JsonRpcPeerTransport transport(client);
    transport.exchange({"127.0.0.1", 1}, {}, [](const auto &) {});
}

const config::Configuration &configuration()
{
    static const auto parsed = config::parse(
        {{"base.toml", exampleConfiguration}, {{"z1.toml", exampleOverlay}}}, ConfigVersion{1});
    require(isOk(parsed), "the example is valid");
    return valueOf(parsed);
}

/// First line "METHOD target", then lines "Name: value", an empty line and the body.
net::ServerRequest toRequest(std::string_view text)
{
    net::ServerRequest request;
    const auto headEnd = text.find("\n\n");
    if (headEnd != std::string_view::npos)
        request.body_ = text.substr(headEnd + 2);
    split(text.substr(0, headEnd), "\n", [&](std::string_view line) {
        if (request.target_.empty()) {
            const auto space = line.find(' ');
            request.method_ = line.substr(0, space);
            request.target_ = space == std::string_view::npos ? "/" : line.substr(space + 1);
            return;
        }
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos)
            request.fields_.push_back(
                {std::string(line.substr(0, colon)), std::string(line.substr(colon + 2))});
    });
    return request;
}

void runHttpRequest(std::string_view text)
{
    const TimePoint now{std::chrono::hours(1)};
    const auto result
        = traffic::parseRequest(toRequest(text), RequestId("r-1"), configuration(), now);
    const auto *request = std::get_if<traffic::ParsedRequest>(&result);
    if (!request)
        return;
    require(configuration().service(request->service_) != nullptr, "the service is known");
    require(request->deadline_ >= now, "the deadline is not past");
    (void)traffic::contentHash(*request);
    (void)traffic::attemptBody(*request, 3);
}

void runEndpoint(std::string_view text)
{
    const auto state = endpoint::decodeState("fuzz", text);
    if (isOk(state)) {
        const auto again = endpoint::decodeState("fuzz", endpoint::encodeState(valueOf(state)));
        require(isOk(again), "encoded state can be read");
    }
    const auto order = endpoint::decodeOrder("fuzz", text);
    if (isOk(order)) {
        const auto again = endpoint::decodeOrder("fuzz", endpoint::encodeOrder(valueOf(order)));
        require(isOk(again), "encoded order can be read");
    }
    (void)endpoint::decodeRefusal(text);
}

void runPlatform(std::string_view text)
{
    OneAnswerClient client(text);
    platform::HttpTableStore tables(client, {});
    platform::HttpVmDirectory directory(client, {});
    platform::HttpObjectStore objects(client, {});
    for (const std::uint32_t status : {200U, 409U, 429U}) {
        client.status_ = status;
        tables.commit({}, [](const Result<platform::CommitReceipt> &result) {
            require(!isOk(result) || !valueOf(result).version_.isNone(), "a commit has a number");
        });
        tables.read({}, [](const auto &) {});
        tables.scan({}, [](const Result<platform::ScanPage> &result) {
            require(!isOk(result) || valueOf(result).isLast_ || !valueOf(result).rows_.empty(),
                    "paging ends");
        });
        directory.list([](const auto &) {});
        objects.fetch(std::string(text), [](const auto &) {});
    }
}

void runRows(std::string_view text)
{
    const std::string value(text);
    if (const auto row = groups::decodeVmRow(value); isOk(row))
        require(valueOf(groups::decodeVmRow(groups::encode(valueOf(row)))) == valueOf(row),
                "a VM row is kept");
    if (const auto row = groups::decodeGroupRow(value); isOk(row))
        require(valueOf(groups::decodeGroupRow(groups::encode(valueOf(row)))) == valueOf(row),
                "a group row is kept");
    if (const auto row = leases::decodeLeaseRow(value); isOk(row))
        require(valueOf(leases::decodeLeaseRow(leases::encode(valueOf(row)))) == valueOf(row),
                "a lease row is kept");
}

void runAdmin(std::string_view text)
{
    (void)admin::decodeAck(text);
    (void)admin::decodeConfig(text);
    (void)admin::decodeEvents(text);
    (void)admin::decodeGroups(text);
    (void)admin::decodeStatus(text);
    (void)admin::decodeVms(text);
}

/// What stands in the users' platform's store, and what engines answer.
void runStoreEntries(std::string_view text)
{
    const adapter::PlatformFormat format;
    if (const auto entry = format.endpoint(VmId("i"), text); isOk(entry)) {
        require(valueOf(entry).slots_ > 0, "an endpoint has a slot");
        require(!valueOf(entry).service_.isEmpty(), "an endpoint has a service");
    }
    if (const auto configuration = format.configuration(text); isOk(configuration))
        require(!valueOf(configuration).version_.isNone(), "a configuration has a version");
    OneAnswerClient client(text);
    adapter::EngineOrders orders(client, std::chrono::seconds(1), std::chrono::seconds(1));
    orders.state({}, [](const auto &) {});
    adapter::StoreClient store(client, {});
    store.scan({}, [](const auto &) {});
    store.changes({}, [](const auto &) {});
}

void runReservations(std::string_view text)
{
    using namespace serving;
    if (const auto request = decodeReservationRequest(text)) {
        require(decodeReservationRequest(encode(*request)) == request, "requests are read again");
        ReservationScheduler book;
        (void)book.book(request->endpoint_, request->perSecond_, request->within_, TimePoint{});
    }
    if (const auto answer = decodeReservationAnswer(text))
        require(decodeReservationAnswer(encode(*answer)) == answer, "answers are read again");
    if (const auto back = decodeReservationReturn(text))
        require(decodeReservationReturn(encode(*back)) == back, "returns are read again");
    ManualClock clock;
    EndpointLimits limits;
    metrics::Registry registry;
    GatewayMetrics metrics(registry);
    ReservationCoordinator desk(clock, limits, metrics, Random(1));
    (void)desk.take(text);
}

void runReturns(std::string_view text)
{
    using namespace serving;
    if (const auto promised = decodeReturnPromised(text))
        require(decodeReturnPromised(encode(*promised)) == promised, "promises are read again");
    if (const auto claimed = decodeReturnClaimed(text))
        require(decodeReturnClaimed(encode(*claimed)) == claimed, "claims are read again");
    if (const auto answer = decodeReturnAnswer(text))
        require(decodeReturnAnswer(encode(*answer)) == answer, "answers are read again");
    ManualClock clock;
    metrics::Registry registry;
    GatewayMetrics metrics(registry);
    ReturnCoordinator coordinator(clock, metrics, Random(1));
    coordinator.setSelf(EntryId("e-1"));
    coordinator.setPeers({{EntryId("e-2"), {"10.0.0.2", 7340}}});
    require(coordinator.take(text) == isReturnMessage(text), "messages about returns are taken");
    for (const auto &[model, work] : coordinator.promisedWork())
        require(work > 0 && work <= 60 && !model.isEmpty(), "promised work is plausible");
    clock.advance(maxReturnAhead);
    coordinator.sweep();
    require(coordinator.promisedWork().empty(), "promised work expires");
}

/// What entry VMs tell each other.
void runDatagrams(std::string_view text)
{
    using namespace serving;
    if (const auto digest = decodeLoadDigest(text)) {
        const auto again = decodeLoadDigest(encode(*digest));
        require(again.has_value(), "an encoded digest can be read");
        require(again->poison_ == digest->poison_, "news of poison pills are read as they were");
        PoisonPills pills;
        pills.take(digest->poison_, TimePoint{});
        pills.expire(TimePoint{} + std::chrono::hours(1));
        DigestHub hub({EntryId("self"), {}, AvailabilityZone("z")}, Incarnation(1));
        hub.take(*digest, TimePoint{});
        (void)hub.fleetSummary(TimePoint{});
        require(again->limits_ == digest->limits_, "news of limits are read as they were");
        require(again->cooldowns_ == digest->cooldowns_, "news of cooldowns are read as they were");
        metrics::Registry registry;
        GatewayMetrics metrics(registry);
        EndpointNotices notices(metrics);
        notices.take(digest->cooldowns_, TimePoint{} + std::chrono::hours(1));
        notices.expire(TimePoint{} + std::chrono::hours(2));
        EndpointLimits limits;
        limits.take(digest->limits_, TimePoint{} + std::chrono::hours(1));
        limits.expire(TimePoint{} + std::chrono::hours(2));
    }
    runReservations(text);
    if (const auto summary = decodeLoadSummary(text))
        require(decodeLoadSummary(encode(*summary)).has_value(), "an encoded sum can be read");
    if (const auto relay = decodeEndpointRelay(text))
        require(decodeEndpointRelay(encode(*relay)).has_value(), "encoded changes can be read");
    if (const auto answer = decodeClockAnswer(text)) {
        PeerClocks clocks;
        (void)clocks.isQuestionDue(answer->from_, answer->stamp_.since_, TimePoint{});
        clocks.take(*answer, TimePoint{} + std::chrono::hours(1));
        (void)clocks.maxAge(answer->from_, answer->stamp_, TimePoint{} + std::chrono::hours(1));
    }
    (void)decodeClockQuestion(text);
    (void)decodeSilenceAlarm(text);
    (void)decodeConfigurationRequest(text);
    (void)decodeConfigurationPart(text);
}

bool isPlausible(double figure)
{
    return std::isfinite(figure) && figure >= 0;
}

void requirePlausible(const overload::ModelDemand &demand)
{
    for (const auto &[rank, figure] : demand.offered_)
        require(rank <= overload::maxRank && isPlausible(figure), "offered work is plausible");
    for (const auto &[rank, figure] : demand.waiting_)
        require(rank <= overload::maxRank && isPlausible(figure), "waiting work is plausible");
    for (const auto &[team, figure] : demand.teams_)
        require(isPlausible(figure), "work of teams is plausible");
    require(isPlausible(demand.promised_), "promised work is plausible");
}

/// Figures of a digest never admit more than the room, nor more of the fleet's own work than
/// without them.
void requireBounded(const overload::ModelDemand &told)
{
    constexpr double margin = 1e-6;
    constexpr double room = 10;
    const overload::RankedAdmission policy;
    overload::ModelDemand fleet;
    fleet.offered_ = {{0, 4}, {3, 12}};
    const auto before = policy.divide(fleet, room);
    auto all = fleet;
    all += told;
    const auto level = policy.divide(all, room);
    double admitted = 0;
    for (const auto &[rank, offered] : all.offered_) {
        const bool isDivided = level.dividedRank_ == rank;
        admitted += offered * (isDivided ? level.dividedShare_ : level.share(rank, {}));
        require(level.share(rank, {}) >= 0 && level.share(rank, {}) <= 1,
                "a share is within 0 and 1");
    }
    require(admitted <= room * (1 + margin), "no more is admitted than the room");
    for (const auto &[team, share] : level.teamShares_)
        require(share >= 0 && share <= 1, "the share of a team is within 0 and 1");
    for (const auto &[rank, offered] : fleet.offered_) {
        const double admittedBefore = before.share(rank, {});
        if (level.teamShares_.empty())
            require(level.share(rank, {}) <= admittedBefore + margin, "figures admit no more");
    }
    all -= told;
    requirePlausible(all);
}

/// Digest fields of overload control.
void runOverload(std::string_view text)
{
    using namespace serving;
    std::optional<LoadDigest> digest = decodeLoadDigest(text);
    if (const auto summary = decodeLoadSummary(text))
        digest = summary->sum_;
    if (!digest)
        return;
    for (const auto &[model, demand] : digest->overload_) {
        requirePlausible(demand);
        requireBounded(demand);
    }
    const auto once = decodeLoadDigest(encode(*digest));
    require(once.has_value(), "an encoded digest can be read");
    const auto twice = decodeLoadDigest(encode(*once));
    require(twice && twice->overload_ == once->overload_, "figures are kept once shortened");
    require(once->failing_ == digest->failing_, "failing endpoints are kept");
    DigestHub hub({EntryId("self"), {}, AvailabilityZone("z")}, Incarnation(1));
    hub.take(*digest, TimePoint{});
    for (const auto &[model, demand] : hub.fleetSummary(TimePoint{}).sum_.overload_)
        requirePlausible(demand);
}

constexpr std::array<FuzzTarget, 14> allTargets{{
    {"configuration", runConfiguration},
    {"settings", runSettings},
    {"chart", runChart},
    {"digest", runDigest},
    {"json_rpc", runJsonRpc},
    {"http_request", runHttpRequest},
    {"endpoint", runEndpoint},
    {"platform", runPlatform},
    {"rows", runRows},
    {"admin", runAdmin},
    {"store_entries", runStoreEntries},
    {"datagrams", runDatagrams},
    {"returns", runReturns},
    {"overload", runOverload},
}};

} // namespace

std::span<const FuzzTarget> targets()
{
    return allTargets;
}

const FuzzTarget *findTarget(std::string_view name)
{
    for (const auto &target : allTargets) {
        if (target.name_ == name)
            return &target;
    }
    return nullptr;
}

} // namespace cardamombay::fuzz
