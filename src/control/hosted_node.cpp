#include <cardamombay/control/hosted_node.hpp>

#include "claim_adapter.hpp"
#include "peer_listener.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/control/admin_view.hpp>
#include <cardamombay/control/control_metrics.hpp>
#include <cardamombay/control/control_node.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>
#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>
#include <cardamombay/platform/http_vm_directory.hpp>
#include <cardamombay/rpc/json_rpc_dispatcher.hpp>
#include <cardamombay/rpc/json_rpc_peer_transport.hpp>
#include <cardamombay/traffic/snapshot_holder.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <utility>
#include <vector>

namespace cardamombay::control {

namespace {

constexpr const char *configMethod = "config";
constexpr const char *noParameter = "{}";
constexpr Duration metricsInterval = std::chrono::seconds(1);
constexpr Duration releasePollInterval = std::chrono::milliseconds(50);
constexpr int maxReleasePolls = 60;              ///< Three seconds; after that the leases expire.
constexpr std::size_t requestLogCapacity = 2048; ///< Retained for "explain request".
constexpr std::uint32_t maxPostedRecords = 512;  ///< Queued for the control thread.
constexpr std::size_t maxPeerBodyBytes = std::size_t{8} * 1024 * 1024;

/// Stores decision records and writes each as one log line.
class LoggingDecisionSink final : public DecisionSink
{
public:
    void record(DecisionRecord record) override
    {
        std::vector<Detail> details{{"subject", record.subject_}, {"choice", record.choice_}};
        details.insert(details.end(), record.inputs_.begin(), record.inputs_.end());
        log::write(log::Level::Info, record.event_, details);
        log_.record(std::move(record));
    }

    [[nodiscard]] const DecisionLog &log() const { return log_; }

private:
    DecisionLog log_;
};

/// Requests the configuration of peers over JSON-RPC.
class RpcConfigPeers final : public ConfigPeers
{
public:
    explicit RpcConfigPeers(rpc::JsonRpcPeerTransport &peers)
        : peers_(peers)
    {
    }

    void fetch(Address address, Callback<std::string> done) override
    {
        peers_.call(std::move(address), configMethod, noParameter, std::move(done));
    }

private:
    rpc::JsonRpcPeerTransport &peers_;
};

ControlSettings controlSettings(const HostedNodeDependencies &parts)
{
    const settings::Settings &given = parts.settings_;
    ControlSettings settings;
    settings.self_ = given.entry_;
    settings.incarnation_ = parts.incarnation_;
    settings.peerAddress_ = given.advertised_;
    settings.zone_ = given.zone_;
    settings.region_ = given.region_;
    settings.seeds_ = given.seeds_;
    settings.randomSeed_ = parts.incarnation_.value();
    settings.planEvery_ = given.intervals_.plan_;
    settings.vmListEvery_ = given.intervals_.vmList_;
    settings.configPollEvery_ = given.intervals_.configPoll_;
    settings.membership_.exchangePeriod_ = given.intervals_.exchange_;
    settings.watching_.probePeriod_ = given.intervals_.probe_;
    settings.watching_.freshnessWindow_ = given.intervals_.freshness_;
    settings.leases_.duration_ = given.intervals_.leaseTerm_;
    settings.leases_.renewEvery_ = given.intervals_.leaseTerm_ / 3;
    return settings;
}

platform::HttpEndpoint platformOf(const settings::Settings &settings)
{
    platform::HttpEndpoint endpoint;
    endpoint.address_ = settings.platform_.front();
    return endpoint;
}

} // namespace

/// Components of the hosted node; used on the control thread only, except the snapshot holder and
/// the posting functions.
class HostedNode::Impl
{
public:
    explicit Impl(HostedNodeDependencies parts)
        : parts_(std::move(parts))
        , http_(parts_.context_)
        , table_(http_, platformOf(parts_.settings_))
        , objects_(http_, platformOf(parts_.settings_))
        , directory_(http_, platformOf(parts_.settings_))
        , orders_(http_)
        , peers_(http_)
        , configPeers_(peers_)
        , metrics_(parts_.registry_, parts_.settings_.zone_)
    {
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl() { parts_.clock_.cancel(metricsTimer_); }

    Result<Done> start(std::function<void()> ready);
    void tellPeers();
    void returnLeases(std::function<void()> done);
    void post(std::function<void()> action);
    void postDecision(const DecisionRecord &record);

    [[nodiscard]] traffic::SnapshotHolder &holder() { return holder_; }
    [[nodiscard]] ControlNode *node() { return node_.get(); }
    /// \brief Wraps \p done so that the verdict is counted in the metrics.
    [[nodiscard]] traffic::ClaimCallback counted(traffic::ClaimCallback done)
    {
        return [this, done = std::move(done)](traffic::ClaimAnswer answer) {
            metrics_.claimAnswered(answer.verdict_);
            done(std::move(answer));
        };
    }
    [[nodiscard]] impl::ClaimAdapter *claims() { return claims_.get(); }

private:
    void connect(std::function<void()> ready);
    Result<Done> listen();
    void waitForRelease(int pollsLeft, std::function<void()> done);
    void logSiteWarning(const routing::RoutingSnapshot &snapshot);
    void tickMetrics();

    HostedNodeDependencies parts_;
    net::AsioHttpClient http_;
    platform::HttpTableStore table_;
    platform::HttpObjectStore objects_;
    platform::HttpVmDirectory directory_;
    endpoint::HttpEndpointOrders orders_;
    rpc::JsonRpcPeerTransport peers_;
    RpcConfigPeers configPeers_;
    LoggingDecisionSink decisions_;
    // A separate log, so that request decisions do not evict group decisions.
    DecisionLog requestDecisions_{requestLogCapacity};
    std::atomic<std::uint32_t> postedDecisions_ = 0;
    rpc::JsonRpcDispatcher dispatcher_;
    traffic::SnapshotHolder holder_;
    ConfigVersion siteCheckedVersion_;
    ControlMetrics metrics_;
    TimerId metricsTimer_ = TimerId::None;
    // Declared after the links above, which the node uses, so that it is destroyed first.
    std::unique_ptr<ControlNode> node_;
    std::unique_ptr<impl::ClaimAdapter> claims_;
    std::unique_ptr<impl::PeerListener> listener_;
    std::unique_ptr<net::HttpServer> server_;
};

Result<Done> HostedNode::Impl::start(std::function<void()> ready)
{
    const auto charts = loadCharts(chart::ChartFolder(parts_.settings_.chartsFolder_));
    if (!isOk(charts))
        return errorOf(charts);
    ControlLinks links{parts_.clock_, peers_,     configPeers_, table_,
                       objects_,      directory_, orders_,      decisions_};
    node_ = std::make_unique<ControlNode>(links, controlSettings(parts_), valueOf(charts));
    claims_ = std::make_unique<impl::ClaimAdapter>(node_->claims());
    connect(std::move(ready));
    auto listening = listen();
    if (!isOk(listening))
        return listening;
    node_->start();
    tickMetrics();
    return Done{};
}

void HostedNode::Impl::connect(std::function<void()> ready)
{
    dispatcher_.setExchangeHandler(
        [this](const membership::Digest &incoming) { return node_->handle(incoming); });
    dispatcher_.registerMethod(configMethod, [this](const std::string &) -> Result<std::string> {
        auto text = node_->configuration().encodedCurrent();
        if (!text)
            return Error(NotFound{"configuration"});
        return std::move(*text);
    });
    node_->onSnapshot(
        [this, ready = std::move(ready)](routing::RoutingSnapshotPtr snapshot) mutable {
            logSiteWarning(*snapshot);
            const bool isConfigured = snapshot->configuration_ != nullptr;
            holder_.publish(std::move(snapshot));
            if (isConfigured && ready)
                std::exchange(ready, nullptr)();
        });
}

/// Checks once per configuration version, not for each snapshot.
void HostedNode::Impl::logSiteWarning(const routing::RoutingSnapshot &snapshot)
{
    const auto &configuration = snapshot.configuration_;
    if (!configuration || configuration->version_ == siteCheckedVersion_)
        return;
    siteCheckedVersion_ = configuration->version_;
    const settings::Settings &own = parts_.settings_;
    const auto warning = siteWarning(own.zone_, own.region_, *configuration);
    if (!warning.empty())
        log::warning(log::event::siteUnknown, {{"entry", own.entry_.text()}, {"problem", warning}});
}

void HostedNode::Impl::tickMetrics()
{
    metricsTimer_ = parts_.clock_.schedule(metricsInterval, [this] { tickMetrics(); });
    metrics_.update(*node_);
}

Result<Done> HostedNode::Impl::listen()
{
    listener_ = std::make_unique<impl::PeerListener>(impl::PeerListenerDependencies{
        *node_, dispatcher_, decisions_.log(), requestDecisions_, parts_.registry_,
        parts_.lifecycleState_, parts_.requestStop_});
    net::HttpServerLimits limits;
    limits.bodyBytes_ = maxPeerBodyBytes;
    server_ = std::make_unique<net::HttpServer>(
        std::vector<net::ServerWorker>{{&parts_.context_, listener_.get()}}, limits);
    const auto bound = server_->listen(parts_.settings_.peers_);
    if (!isOk(bound))
        return errorOf(bound);
    return Done{};
}

void HostedNode::Impl::tellPeers()
{
    node_->drain();
}

void HostedNode::Impl::returnLeases(std::function<void()> done)
{
    node_->drain();
    waitForRelease(maxReleasePolls, std::move(done));
}

void HostedNode::Impl::waitForRelease(int pollsLeft, std::function<void()> done)
{
    if (node_->isDrained() || pollsLeft == 0) {
        node_->leave();
        done();
        return;
    }
    parts_.clock_.schedule(releasePollInterval,
                           [this, pollsLeft, done = std::move(done)]() mutable {
                               waitForRelease(pollsLeft - 1, std::move(done));
                           });
}

void HostedNode::Impl::post(std::function<void()> action)
{
    boost::asio::post(parts_.context_, std::move(action));
}

void HostedNode::Impl::postDecision(const DecisionRecord &record)
{
    if (postedDecisions_.fetch_add(1) >= maxPostedRecords) {
        postedDecisions_.fetch_sub(1);
        return;
    }
    post([this, record = DecisionRecord(record)]() mutable {
        postedDecisions_.fetch_sub(1);
        requestDecisions_.record(std::move(record));
    });
}

HostedNode::HostedNode(const HostedNodeDependencies &parts)
    : impl_(std::make_unique<Impl>(parts))
{
}

HostedNode::~HostedNode() = default;

Result<Done> HostedNode::start(std::function<void()> ready)
{
    return impl_->start(std::move(ready));
}

void HostedNode::tellPeers()
{
    impl_->tellPeers();
}

void HostedNode::returnLeases(std::function<void()> done)
{
    impl_->returnLeases(std::move(done));
}

routing::RoutingSnapshotPtr HostedNode::snapshot() const
{
    return impl_->holder().snapshot();
}

void HostedNode::postTraffic(traffic::TrafficReport report)
{
    impl_->post([impl = impl_.get(), report = std::move(report)]() mutable {
        if (auto *node = impl->node())
            node->setTraffic(std::move(report.demand_), std::move(report.inFlight_));
    });
}

void HostedNode::claim(traffic::ClaimRequest request, traffic::ClaimCallback done)
{
    impl_->post([impl = impl_.get(), request = std::move(request), done = std::move(done)] {
        if (auto *claims = impl->claims())
            claims->claim(request, impl->counted(done));
        else
            done({});
    });
}

void HostedNode::completeClaim(traffic::ClaimCompletion completion)
{
    impl_->post([impl = impl_.get(), completion = std::move(completion)] {
        if (auto *claims = impl->claims())
            claims->complete(completion);
    });
}

void HostedNode::recordDecision(const DecisionRecord &record)
{
    impl_->postDecision(record);
}

} // namespace cardamombay::control
