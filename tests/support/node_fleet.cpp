#include "support/node_fleet.hpp"

#include <cardamombay/core/hash.hpp>
#include <cardamombay/serving/planner_lease.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cardamombay::support {

using namespace serving;

namespace {

/// Polling interval of a waiting call for changes.
constexpr Duration feedPoll = std::chrono::milliseconds(20);

/// Timeout of a call that gets no answer, beyond the time for which the store may wait.
constexpr Duration callTimeout = std::chrono::milliseconds(900);

/// The users' bounds for a deployment with 7 entry VMs, and for those with 65 and more.
constexpr Duration smallFleetNewsBound = std::chrono::seconds(2);
constexpr Duration largeFleetNewsBound = std::chrono::seconds(3);
constexpr std::size_t maxSmallFleetSize = 16;

constexpr EntryCapacity largeCores = 0.5;
constexpr EntryCapacity smallCores = 0.12;
constexpr double largeLink = 200;
constexpr double smallLink = 20;

leases::LeaseProgramPtr leaseProgram()
{
    static const auto program = [] {
        const auto chart = chart::ChartFolder(SOURCE_FOLDER "/charts").load("lease");
        return valueOf(leases::LeaseKeeper::bind(valueOf(chart)));
    }();
    return program;
}

} // namespace

TimerId NodeClock::schedule(Duration delay, std::function<void()> action)
{
    return clock_.schedule(
        delay, [this, action = std::move(action)]() mutable { run(std::move(action)); });
}

void NodeClock::run(std::function<void()> action)
{
    if (isPaused_)
        deferred_.push_back(std::move(action));
    else
        action();
}

void NodeClock::setPaused(bool isPaused)
{
    isPaused_ = isPaused;
    if (isPaused)
        return;
    for (auto &action : std::exchange(deferred_, {}))
        action();
}

Result<Configuration> FleetFormat::configuration(std::string_view text) const
{
    std::istringstream words{std::string(text)};
    std::uint64_t version = 0;
    Configuration result = gatewayConfiguration();
    Team team{TeamName("team"), {}, {}};
    words >> version;
    for (std::string key; words >> key;)
        team.keys_.push_back(key);
    result.version_ = ConfigVersion(version);
    result.teams_ = {team};
    result.services_.front().coldRequestsPerSecond_ = coldRate;
    result.services_.front().coldStart_ = std::chrono::seconds(3);
    if (version == 0)
        return Error(MalformedMessage{"configuration", "no version"});
    return result;
}

Result<Endpoint> FleetFormat::endpoint(const VmId &id, std::string_view text) const
{
    if (text.empty())
        return Error(MalformedMessage{"entry of " + id.text(), "empty"});
    std::istringstream words{std::string(text)};
    std::string domain;
    std::string group;
    std::uint32_t rank = 0;
    words >> domain;
    if (domain == FleetFormat::plainMark) {
        auto result = plainEndpoint(id.text());
        result.address_ = engineAddress(id.text());
        return result;
    }
    const bool isDraining = domain == FleetFormat::drainingMark;
    if (isDraining)
        words >> domain;
    std::int64_t coldFor = 0;
    words >> group >> rank >> coldFor;
    const auto state = rank == 0 ? MemberState::Open : MemberState::Ready;
    auto result = group.empty() ? spareEngine(id.text(), domain, "m")
                                : engineIn(id.text(), domain, GroupName(group), 1, rank, state);
    result.address_ = engineAddress(id.text());
    result.zone_ = AvailabilityZone(domain);
    result.isDraining_ = isDraining;
    result.coldFor_ = std::chrono::milliseconds(coldFor);
    return result;
}

std::optional<AvailabilityZone> FleetFormat::evacuatedZone(std::string_view key) const
{
    if (!key.starts_with(evacuationMark))
        return std::nullopt;
    return AvailabilityZone(key.substr(evacuationMark.size()));
}

Address engineAddress(const std::string &endpoint)
{
    const auto hash = stableHash(endpoint);
    return {"10.9." + std::to_string(hash % 251) + "." + std::to_string(hash / 251 % 251),
            static_cast<std::uint16_t>(1024 + hash / 63001 % 60000)};
}

class FleetNode::NoOrders final : public ReplicaOrders
{
public:
    void send(const Endpoint & /*engine*/, const Order & /*order*/, std::uint64_t /*fence*/,
              Callback<OrderAnswer> /*done*/) override
    {
    }
    void state(const Endpoint & /*engine*/, Callback<Endpoint> /*done*/) override {}
};

FleetNode::FleetNode(NodeFleet &fleet, std::size_t index, std::string zone, bool isLarge)
    : fleet_(fleet)
    , isLarge_(isLarge)
    , address_{"10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1), 7340}
    , clock_(fleet.clock_, std::chrono::hours(index * 7 % 50))
    , store_(fleet.platform_)
    , balancer_(endpointRegistry_, loadTracker_, upstream_, Random(index))
    , metrics_(registry_)
    , gateway_({clock_, upstream_, dialect_, loadTracker_, balancer_, metrics_}, GatewayBounds{},
               Random(index))
    , entry_("entry-" + zone + "-" + std::to_string(index))
    , zone_(std::move(zone))
    , orders_(std::make_unique<NoOrders>())
{
}

void FleetNode::start(bool isFirstStart)
{
    const Incarnation incarnation(1000 + fleet_.random_.below(1000));
    lease_ = std::make_unique<leases::LeaseKeeper>(clock_, *this, Random(incarnation.value()),
                                                   plannerLeaseTimes(), entry_, incarnation,
                                                   FabricDomain("fleet"), leaseProgram());
    manager_ = std::make_unique<ReplicaManager>(
        ManagerParts{clock_, *lease_, *orders_, endpointRegistry_, loadTracker_});
    node_ = std::make_unique<Node>(NodeParts{clock_, *this, *this, fleet_.format_, *this, *lease_,
                                             endpointRegistry_, loadTracker_, gateway_, *manager_},
                                   NodeSettings{entry_, zone_, incarnation, address_, isFirstStart,
                                                isLarge_ ? largeCores : smallCores,
                                                isLarge_ ? largeLink : smallLink,
                                                fleet_.propagationBound()});
    node_->start();
}

ConfigVersion FleetNode::configuration() const
{
    return gateway_.routes() ? gateway_.routes()->version() : ConfigVersion();
}

bool FleetNode::acceptsKey(const std::string &key) const
{
    return gateway_.routes() && gateway_.unconfirmedFor() <= gateway_.bounds().longestUnconfirmed_
           && gateway_.routes()->team(key) != nullptr;
}

void FleetNode::send(const Address &to, std::string_view text)
{
    fleet_.deliver(*this, to, std::string(text));
}

void FleetNode::onReceived(std::function<void(std::string_view)> handler)
{
    handler_ = std::move(handler);
}

void FleetNode::receive(std::string text)
{
    clock_.schedule(receiveDelay_, [this, text = std::move(text)] {
        if (handler_)
            handler_(text);
    });
}

template<typename Answer>
bool FleetNode::timesOut(Duration wait, const Callback<Answer> &done)
{
    if (!isStoreSilent_)
        return false;
    clock_.schedule(wait + callTimeout, [done] {
        done(Error(StoreUnavailable{"call", "no answer in time"}));
    });
    return true;
}

void FleetNode::commit(platform::Transaction transaction, Callback<platform::CommitReceipt> done)
{
    ++storeCalls_;
    if (timesOut(Duration::zero(), done))
        return;
    store_.commit(std::move(transaction), [this, done = std::move(done)](const auto &result) {
        clock_.run([done, result] { done(result); });
    });
}

void FleetNode::read(std::vector<platform::RowKey> keys, Callback<std::vector<platform::Row>> done)
{
    ++storeCalls_;
    if (timesOut(Duration::zero(), done))
        return;
    store_.read(std::move(keys), [this, done = std::move(done)](const auto &result) {
        clock_.run([done, result] { done(result); });
    });
}

void FleetNode::scan(platform::Scan scan, Callback<platform::ScanPage> done)
{
    ++storeCalls_;
    if (timesOut(Duration::zero(), done))
        return;
    const auto later = scanDelays_[scan.table_];
    store_.scan(std::move(scan), [this, later, done = std::move(done)](const auto &result) {
        clock_.schedule(later, [done, result] { done(result); });
    });
}

void FleetNode::changes(platform::ChangeQuery query, Callback<platform::ChangePage> done)
{
    ++storeCalls_;
    const auto until = fleet_.clock_.now() + query.wait_;
    fleet_.clock_.schedule(std::chrono::milliseconds(4),
                           [this, query = std::move(query), until, done = std::move(done)] {
                               poll(query, until, done);
                           });
}

void FleetNode::poll(const platform::ChangeQuery &query, TimePoint until,
                     const Callback<platform::ChangePage> &done)
{
    // Applies also to an answer that was already on its way.
    if (timesOut(std::max(Duration::zero(), until - fleet_.clock_.now()), done))
        return;
    if (store_.isCutOff_ || isFeedDown_ || fleet_.platform_.faults_.isDown_) {
        clock_.run([done] { done(Error(StoreUnavailable{"changes", "cut off"})); });
        return;
    }
    const bool isOfOtherTimeline = query.after_.timeline() != fleet_.platform_.version().timeline();
    if (query.after_ < fleet_.historyStart_ || isOfOtherTimeline) {
        clock_.run([done] { done(Error(NotFound{"history"})); });
        return;
    }
    platform::ChangePage page;
    page.version_ = fleet_.platform_.version();
    for (const auto &[key, row] : fleet_.platform_.rows()) {
        if (key.table_ == query.table_ && row.version_ > query.after_)
            page.changes_.push_back({row, false});
    }
    for (const auto &[endpoint, version] : fleet_.removedEndpoints_) {
        if (query.table_ == fleet_.format_.endpointTable() && version > query.after_)
            page.changes_.push_back({{{query.table_, endpoint}, {}, version, {}}, true});
    }
    for (const auto &[key, version] : fleet_.revokedEvacuations_) {
        if (query.table_ == fleet_.format_.configurationTable() && version > query.after_)
            page.changes_.push_back({{{query.table_, key}, {}, version, {}}, true});
    }
    std::sort(page.changes_.begin(), page.changes_.end(), [](const auto &left, const auto &right) {
        return left.row_.version_ < right.row_.version_;
    });
    if (!page.changes_.empty() || fleet_.clock_.now() >= until) {
        clock_.run([done, page] { done(page); });
        return;
    }
    fleet_.clock_.schedule(feedPoll, [this, query, until, done] { poll(query, until, done); });
}

NodeFleet::NodeFleet(std::size_t entries, std::size_t zones, std::size_t large, std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t index = 0; index < entries; ++index) {
        const std::string zone(1, static_cast<char>('a' + index % zones));
        nodes_.push_back(std::make_unique<FleetNode>(*this, index, zone, index / zones < large));
        byAddress_.emplace(nodes_.back()->address_, nodes_.back().get());
    }
}

NodeFleet::~NodeFleet() = default;

void NodeFleet::start(bool isFirstStart)
{
    for (const auto &node : nodes_) {
        pass(std::chrono::milliseconds(1));
        node->start(isFirstStart);
    }
}

void NodeFleet::kill(std::size_t index)
{
    auto &node = *nodes_[index];
    node.isRunning_ = false;
    node.clock_.setPaused(true);
    byAddress_.erase(node.address_);
}

FleetNode &NodeFleet::restart(std::size_t index)
{
    const auto zone = nodes_[index]->zone().text();
    const bool isLarge = nodes_[index]->isLarge_;
    ended_.push_back(std::move(nodes_[index]));
    nodes_[index] = std::make_unique<FleetNode>(*this, index, zone, isLarge);
    auto &node = *nodes_[index];
    byAddress_.emplace(node.address_, &node);
    node.start(false);
    return node;
}

FleetNode &NodeFleet::add(const std::string &zone)
{
    nodes_.push_back(std::make_unique<FleetNode>(*this, nodes_.size(), zone, false));
    auto &node = *nodes_.back();
    byAddress_.emplace(node.address_, &node);
    node.start(false);
    return node;
}

void NodeFleet::list(const std::string &endpoint, const std::string &domain)
{
    platform::Transaction transaction;
    transaction.writes_.push_back(
        {{"endpoints", endpoint}, domain.empty() ? std::nullopt : std::optional(domain)});
    (void)platform_.apply(transaction);
    removedEndpoints_.erase(endpoint);
    if (domain.empty())
        removedEndpoints_.emplace(endpoint, platform_.version());
}

void NodeFleet::drain(const std::string &endpoint)
{
    const auto *row = platform_.row({std::string(format_.endpointTable()), endpoint});
    list(endpoint, std::string(FleetFormat::drainingMark) + ' ' + row->value_);
}

void NodeFleet::listGroup(const std::string &head, const std::string &domain, Duration coldFor)
{
    const auto group = domain + " m." + head;
    list(head, group + " 0 " + std::to_string(toMilliseconds(coldFor)));
    list(head + "-member", group + " 1");
}

void NodeFleet::listPlain(const std::string &endpoint)
{
    list(endpoint, std::string(FleetFormat::plainMark));
}

void NodeFleet::evacuate(const std::string &zone)
{
    const auto key = std::string(FleetFormat::evacuationMark) + zone;
    platform::Transaction transaction;
    transaction.writes_.push_back({{std::string(format_.configurationTable()), key}, "{}"});
    (void)platform_.apply(transaction);
    revokedEvacuations_.erase(key);
}

void NodeFleet::revokeEvacuation(const std::string &zone)
{
    const auto key = std::string(FleetFormat::evacuationMark) + zone;
    platform::Transaction transaction;
    transaction.writes_.push_back({{std::string(format_.configurationTable()), key}, std::nullopt});
    (void)platform_.apply(transaction);
    revokedEvacuations_.insert_or_assign(key, platform_.version());
}

void NodeFleet::configure(std::uint64_t version, const std::vector<std::string> &keys)
{
    std::string text = std::to_string(version);
    for (const auto &key : keys)
        text += ' ' + key;
    platform::Transaction transaction;
    transaction.writes_.push_back({{"config", "newest"}, text});
    (void)platform_.apply(transaction);
}

void NodeFleet::deliver(const FleetNode &from, const Address &to, std::string text)
{
    ++datagramsSent_;
    bytesSent_ += text.size();
    const auto found = byAddress_.find(to);
    if (found == byAddress_.end() || random_.unit() < faults_.lossShare_)
        return;
    if (isCut_ && isCut_(from, *found->second))
        return;
    if (corrupt_)
        corrupt_(text);
    const Duration way = std::chrono::microseconds(200)
                         + fromSeconds(toSeconds(faults_.maxDelay_) * random_.unit());
    clock_.schedule(way, [node = found->second, text = std::move(text)] { node->receive(text); });
}

Duration NodeFleet::propagationBound() const
{
    return nodes_.size() > maxSmallFleetSize ? largeFleetNewsBound : smallFleetNewsBound;
}

std::size_t NodeFleet::storeCalls() const
{
    std::size_t result = 0;
    for (const auto &node : nodes_)
        result += node->storeCalls_;
    return result;
}

std::pair<std::size_t, std::size_t> NodeFleet::peerCounts(std::size_t first)
{
    std::pair<std::size_t, std::size_t> result{nodes_.size(), 0};
    for (std::size_t i = first; i < nodes_.size(); ++i) {
        const auto known = nodes_[i]->node_->peerCount();
        result = {std::min(result.first, known), std::max(result.second, known)};
    }
    return result;
}

FleetNode *NodeFleet::planner()
{
    for (const auto &node : nodes_) {
        if (node->lease_ && node->lease_->isHeld())
            return node.get();
    }
    return nullptr;
}

} // namespace cardamombay::support
