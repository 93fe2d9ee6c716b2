#include <cardamombay/control/control_node.hpp>

#include <cardamombay/config/config_poller.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::control {

namespace {

/// Up to this many entry VMs, group boards refresh once a second; beyond it, the interval grows in
/// proportion, so that the fleet's total refresh rate stays constant.
constexpr std::size_t maxEntriesAtFullRefreshRate = 170;

/// Time after which a peer's report expires; digests arrive about once a second.
constexpr Duration reportLifetime = std::chrono::seconds(5);

/// Groups of other zones whose VMs are observed when the local zone has no usable group.
constexpr std::size_t maxRemoteGroups = 4;

membership::MemberEntry makeSelfEntry(const ControlSettings &settings)
{
    membership::MemberEntry self;
    self.id_ = settings.self_;
    self.address_ = settings.peerAddress_;
    self.zone_ = settings.zone_;
    self.region_ = settings.region_;
    self.incarnation_ = settings.incarnation_;
    return self;
}

platform::WriterTokens tokensOf(const ControlSettings &settings)
{
    return platform::WriterTokens(settings.self_, settings.incarnation_);
}

config::ConfigAgentOptions agentOptions(const ControlSettings &settings)
{
    config::ConfigAgentOptions options;
    options.pollInterval_ = settings.configPollEvery_;
    return options;
}

} // namespace

ControlNode::ControlNode(ControlLinks links, ControlSettings settings, const NodeCharts &charts)
    : settings_(std::move(settings))
    , clock_(links.clock_)
    , configPeers_(links.configPeers_)
    , random_(settings_.randomSeed_)
    , store_(links.table_, links.clock_, Random(random_.bits()))
    , membership_(links.clock_, links.peers_, Random(random_.bits()), settings_.membership_,
                  makeSelfEntry(settings_), charts.member_)
    , watcher_(links.clock_, links.orders_, settings_.watching_, settings_.self_)
    , groupCache_(links.clock_, store_, Random(random_.bits()))
    , configStore_(links.clock_, store_, links.objects_, random_, tokensOf(settings_))
    , config_(links.clock_, configStore_, random_, links.decisions_, charts.config_,
              agentOptions(settings_))
    , list_(links.clock_, links.directory_, Random(random_.bits()), settings_.vmListEvery_,
            settings_.idleVmListEvery_)
    , planner_(links.clock_, store_, links.orders_, links.decisions_, settings_, charts)
    , claims_({links.clock_, store_, links.objects_, random_, charts.claim_, settings_.self_,
               settings_.incarnation_})
    , claimExpiry_(links.clock_, store_, random_, tokensOf(settings_))
    , view_(watcher_)
    , liveness_(membership_)
    , snapshot_(std::make_shared<routing::RoutingSnapshot>())
{
    connect();
}

ControlNode::~ControlNode()
{
    clock_.cancel(snapshotTimer_);
    clock_.cancel(planTimer_);
}

void ControlNode::connect()
{
    membership_.setPayloadSource(
        [this](membership::Digest &digest, const EntryId &) { fillDigest(digest); });
    membership_.setPayloadSink([this](const membership::Digest &digest) { mergeDigest(digest); });
    membership_.onChange([this](const membership::MemberEntry &) { applyMembers(); });
    watcher_.onUrgent([this] { membership_.flushSoon(); });
    list_.onList([this] { applyVmList(); });
    config_.setOnChange([this](const config::ConfigurationPtr &) { applyConfiguration(); });
    config_.setPeerFetch([this](ConfigVersion atLeast, Callback<std::string> done) {
        fetchFromPeers(atLeast, std::move(done));
    });
    claims_.setLiveness(&liveness_);
}

void ControlNode::start()
{
    startedAt_ = clock_.now();
    applyMembers();
    membership_.start(settings_.seeds_);
    config_.start();
    list_.start();
    groupCache_.start();
    watcher_.start();
    claimExpiry_.start();
    tickSnapshot();
    tickPlan();
}

void ControlNode::drain()
{
    membership_.setDraining(true);
    planner_.release();
}

membership::Digest ControlNode::handle(const membership::Digest &incoming)
{
    return membership_.handle(incoming);
}

void ControlNode::setTraffic(std::vector<routing::DemandReport> demand,
                             std::vector<membership::InFlightEntry> inFlight)
{
    demand_ = std::move(demand);
    inFlight_ = std::move(inFlight);
}

// ---- change handlers -----------------------------------------------------------------------

void ControlNode::applyVmList()
{
    const auto &list = list_.list();
    vms_.clear();
    std::vector<Address> entries;
    for (const auto &record : list.vms_) {
        vms_.emplace(record.id_, record);
        if (record.role_ == platform::VmRole::Entry && record.address_ != settings_.peerAddress_)
            entries.push_back(record.address_);
    }
    watcher_.setVms(list.vms_, list_.age());
    membership_.addSeeds(entries);
}

void ControlNode::applyMembers()
{
    const auto alive = membership_.aliveMembers();
    watcher_.setWatchers(alive);
    store_.setFleetSize(alive.size());
    claims_.setEntryCount(static_cast<std::uint32_t>(std::max<std::size_t>(alive.size(), 1)));
    const bool polls = isPoller();
    list_.setPoller(polls);
    config_.setPoller(polls);
    const auto stretch
        = std::max(1.0, static_cast<double>(alive.size()) / maxEntriesAtFullRefreshRate);
    groupCache_.setRefreshInterval(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(1) * stretch));
}

void ControlNode::applyConfiguration()
{
    const auto current = config_.current();
    watcher_.setSites(current->sites_);
    membership_.setConfigVersion(current->version_);
    membership_.flushSoon();
    publish();
}

bool ControlNode::isPoller() const
{
    std::vector<EntryId> own;
    for (const auto &member : membership_.aliveMembers()) {
        if (member.zone_ == settings_.zone_)
            own.push_back(member.id_);
    }
    return config::isConfigPoller(settings_.self_, settings_.zone_, own);
}

void ControlNode::fetchFromPeers(ConfigVersion atLeast, Callback<std::string> done)
{
    const auto addresses = selectConfigPeers(membership_.aliveMembers(), settings_.self_);
    fetchHighestVersion(configPeers_, clock_, addresses, atLeast, std::move(done));
}

// ---- digests -------------------------------------------------------------------------------

void ControlNode::fillDigest(membership::Digest &digest)
{
    watcher_.appendTo(digest);
    digest.demand_ = demand_;
    digest.inFlight_ = inFlight_;
}

void ControlNode::mergeDigest(const membership::Digest &digest)
{
    watcher_.merge(digest);
    reports_.update(digest, clock_.now());
    config_.offer(membership_.highestConfigVersion());
}

// ---- periodic work -------------------------------------------------------------------------

void ControlNode::tickSnapshot()
{
    snapshotTimer_ = clock_.schedule(settings_.snapshotEvery_, [this] { tickSnapshot(); });
    reports_.removeExpired(membership_.aliveMembers(), clock_.now(), reportLifetime);
    config_.offer(membership_.highestConfigVersion());
    requestDemandedVms();
    publish();
}

void ControlNode::tickPlan()
{
    planTimer_ = clock_.schedule(settings_.planEvery_, [this] { tickPlan(); });
    if (isMissingVm())
        list_.fetchSoon();
    if (!membership_.isTrusted() || !list_.hasList())
        return;
    const auto alive = membership_.aliveMembers();
    planner_.tick({config_.current(), list_.list().vms_, alive, &view_, &groupCache_});
}

void ControlNode::publish()
{
    auto snapshot = std::make_shared<routing::RoutingSnapshot>();
    snapshot->sequence_ = ++sequence_;
    snapshot->self_ = settings_.self_;
    snapshot->zone_ = settings_.zone_;
    snapshot->configuration_ = config_.current();
    const PeerLoad peerLoad = reports_.load();
    snapshot->services_
        = buildServices({snapshot->configuration_, groupCache_, watcher_, vms_, peerLoad});
    snapshot->peerDemand_ = reports_.demand();
    snapshot->isStoreReachable_ = isStoreReachable();
    snapshot_ = std::move(snapshot);
    if (sink_)
        sink_(snapshot_);
}

/// Requests observations of the VMs of services with demand: this node probes a VM of which it
/// hears nothing before it treats it as unusable.
void ControlNode::requestDemandedVms()
{
    for (const auto &service : snapshot_->services_) {
        if (!isDemanded(service.service_))
            continue;
        requestOwnZoneVms(service);
        requestRemoteZoneVms(service);
    }
    std::vector<EntryId> scope = membership_.scopePeers();
    membership_.setExtraPeers(watcher_.neededPeers(scope));
}

void ControlNode::requestOwnZoneVms(const routing::SnapshotService &service)
{
    for (const auto &group : service.groups_) {
        if (group.zone_ != settings_.zone_)
            continue;
        for (const VmId &member : group.members_)
            watcher_.need(member);
    }
}

/// Requests observations of a few groups of other zones if the local zone has no usable group.
void ControlNode::requestRemoteZoneVms(const routing::SnapshotService &service)
{
    const TimePoint now = clock_.now();
    std::vector<const routing::SnapshotGroup *> others;
    for (const auto &group : service.groups_) {
        if (group.zone_ == settings_.zone_ && group.isUsable(now))
            return;
        if (group.zone_ != settings_.zone_ && !group.isVetoed_)
            others.push_back(&group);
    }
    const auto weight = [&](const routing::SnapshotGroup *group) {
        return rendezvousWeight(group->group_.text(), settings_.self_.text());
    };
    std::sort(others.begin(), others.end(),
              [&](auto *left, auto *right) { return weight(left) > weight(right); });
    if (others.size() > maxRemoteGroups)
        others.resize(maxRemoteGroups);
    for (const auto *group : others) {
        for (const VmId &member : group->members_)
            watcher_.need(member);
    }
}

bool ControlNode::isDemanded(const ServiceName &service) const
{
    return std::any_of(demand_.begin(), demand_.end(), [&](const routing::DemandReport &report) {
        return report.service_ == service && report.inFlight_ + report.waiting_ > 0;
    });
}

/// True if an active group has a member that is not in the VM list.
bool ControlNode::isMissingVm() const
{
    for (const auto &[id, group] : groupCache_.groups()) {
        if (!group.content_.isActive())
            continue;
        for (const VmId &member : group.content_.members_) {
            if (!vms_.contains(member))
                return true;
        }
    }
    return false;
}

// ---- views ---------------------------------------------------------------------------------

groups::VmObservation ControlNode::WatcherView::observe(const VmId &vm) const
{
    groups::VmObservation seen;
    seen.isLeaving_ = watcher_.isLeaving(vm);
    const auto *observation = watcher_.observation(vm);
    if (!observation)
        return seen;
    seen.state_ = observation->state_;
    seen.heardAt_ = observation->observedAt_;
    seen.isFresh_ = watcher_.isFresh(vm);
    seen.isStraggler_ = observation->isStraggler_;
    return seen;
}

bool ControlNode::MemberLiveness::isAlive(const EntryId &entry, Incarnation incarnation) const
{
    const auto alive = membership_.aliveMembers();
    return std::any_of(alive.begin(), alive.end(), [&](const membership::MemberEntry &member) {
        return member.id_ == entry && member.incarnation_ == incarnation;
    });
}

} // namespace cardamombay::control
