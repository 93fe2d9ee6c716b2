// Thin control side: configuration from the platform, groups from the VM list in a fixed order.
// It stands in until the control node with membership, leases and the planner takes its place.
#include "control_side.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/config/config_store.hpp>
#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/endpoint/http_endpoint_orders.hpp>
#include <cardamombay/log/logging_sink.hpp>
#include <cardamombay/net/asio_http_client.hpp>
#include <cardamombay/platform/http_object_store.hpp>
#include <cardamombay/platform/http_table_store.hpp>
#include <cardamombay/platform/http_vm_directory.hpp>
#include <cardamombay/traffic/snapshot_holder.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace cardamombay::daemon {

namespace {

struct Observed
{
    endpoint::EndpointState state_;
    TimePoint when_{};
};

class ThinControl final : public traffic::ControlSide
{
public:
    explicit ThinControl(const ControlParts &parts)
        : parts_(parts)
        , client_(parts.context_)
        , tables_(client_, {parts.settings_.platform_.front()})
        , objects_(client_, {parts.settings_.platform_.front()})
        , directory_(client_, {parts.settings_.platform_.front()})
        , orders_(client_)
        , random_(parts.incarnation_.value())
        , store_(parts.clock_, tables_, objects_, random_,
                 platform::WriterTokens(parts.settings_.entry_, parts.incarnation_))
        , sink_(decisions_)
    {
        publish();
    }

    Result<Done> start(std::function<void()> ready) override;
    void tellPeers() override {}
    void returnLeases(std::function<void()> done) override
    {
        boost::asio::post(parts_.context_, std::move(done));
    }

    [[nodiscard]] routing::RoutingSnapshotPtr snapshot() const override
    {
        return holder_.snapshot();
    }
    void postTraffic(traffic::TrafficReport) override {}
    void claim(traffic::ClaimRequest, traffic::ClaimCallback done) override
    {
        boost::asio::post(parts_.context_, [done = std::move(done)] { done({}); });
    }
    void completeClaim(traffic::ClaimCompletion) override {}

private:
    using Members = std::vector<platform::VmRecord>;

    void turn();
    void probe(const platform::VmRecord &vm);
    void publish();
    void addModelGroups(const config::Service &service, routing::SnapshotService &entry);
    void addPlainGroups(const config::Service &service, routing::SnapshotService &entry) const;
    void addGroup(const config::Service &service, const Members &members, std::size_t slot,
                  routing::SnapshotService &entry);
    void assign(const config::Service &service, const Members &members, const GroupId &group,
                std::size_t rank);
    [[nodiscard]] const Observed *fresh(const VmId &vm) const;

    ControlParts parts_;
    net::AsioHttpClient client_;
    platform::HttpTableStore tables_;
    platform::HttpObjectStore objects_;
    platform::HttpVmDirectory directory_;
    endpoint::HttpEndpointOrders orders_;
    Random random_;
    config::ConfigStore store_;
    DecisionLog decisions_;
    log::LoggingSink sink_;
    std::unique_ptr<config::ConfigAgent> agent_;
    std::vector<platform::VmRecord> vms_;
    std::map<VmId, Observed> observed_;
    traffic::SnapshotHolder holder_;
    std::uint64_t sequence_ = 0;
};

Result<Done> ThinControl::start(std::function<void()> ready)
{
    const auto chart = chart::ChartFolder(parts_.settings_.chartsFolder_).load("config");
    if (!isOk(chart))
        return errorOf(chart);
    auto program = config::ConfigAgent::bind(valueOf(chart));
    if (!isOk(program))
        return errorOf(program);
    agent_ = std::make_unique<config::ConfigAgent>(parts_.clock_, store_, random_, sink_,
                                                   valueOf(std::move(program)));
    agent_->setPoller(true);
    agent_->setOnChange([this, ready = std::move(ready)](const config::ConfigurationPtr &) {
        publish();
        ready();
    });
    agent_->start();
    turn();
    return Done{};
}

void ThinControl::turn()
{
    directory_.list([this](Result<platform::VmList> list) {
        if (isOk(list))
            vms_ = valueOf(std::move(list)).vms_;
    });
    for (const auto &vm : vms_)
        probe(vm);
    publish();
    parts_.clock_.schedule(std::chrono::milliseconds(100), [this] { turn(); });
}

void ThinControl::probe(const platform::VmRecord &vm)
{
    if (vm.role_ == platform::VmRole::Entry)
        return;
    const auto sentAt = parts_.clock_.now();
    orders_.probe(vm.id_, vm.address_,
                  [this, sentAt, id = vm.id_](Result<endpoint::EndpointState> state) {
                      if (isOk(state))
                          observed_[id] = {valueOf(std::move(state)), sentAt};
                  });
}

const Observed *ThinControl::fresh(const VmId &vm) const
{
    const auto found = observed_.find(vm);
    if (found == observed_.end())
        return nullptr;
    const bool isFresh
        = parts_.clock_.now() < found->second.when_ + parts_.settings_.intervals_.freshness_;
    return isFresh ? &found->second : nullptr;
}

void ThinControl::publish()
{
    auto snapshot = std::make_shared<routing::RoutingSnapshot>();
    snapshot->sequence_ = ++sequence_;
    snapshot->self_ = parts_.settings_.entry_;
    snapshot->zone_ = parts_.settings_.zone_;
    if (agent_)
        snapshot->configuration_ = agent_->current();
    if (snapshot->configuration_) {
        for (const auto &service : snapshot->configuration_->services_) {
            routing::SnapshotService entry{service.name_, {}};
            if (service.kind_ == config::ServiceKind::Model)
                addModelGroups(service, entry);
            else
                addPlainGroups(service, entry);
            snapshot->services_.push_back(std::move(entry));
        }
    }
    holder_.publish(std::move(snapshot));
}

void ThinControl::addPlainGroups(const config::Service &service,
                                 routing::SnapshotService &entry) const
{
    for (const auto &vm : vms_) {
        const auto *observed = fresh(vm.id_);
        if (vm.role_ != platform::VmRole::Plain || vm.service_ != service.name_
            || observed == nullptr)
            continue;
        routing::SnapshotGroup group;
        group.group_ = GroupId(vm.id_.text());
        group.zone_ = vm.zone_;
        group.leader_ = vm.id_;
        group.address_ = vm.address_;
        group.members_ = {vm.id_};
        group.freshUntil_ = observed->when_ + parts_.settings_.intervals_.freshness_;
        group.isVetoed_ = vm.status_ == platform::VmStatus::Leaving;
        group.capacity_ = service.requestsPerReplica_;
        entry.groups_.push_back(std::move(group));
    }
}

/// Every entry VM sees the same list and so forms the same groups, with the same order ids.
void ThinControl::addModelGroups(const config::Service &service, routing::SnapshotService &entry)
{
    std::map<std::pair<std::string, std::string>, Members> domains;
    for (const auto &vm : vms_) {
        if (vm.role_ == platform::VmRole::Engine)
            domains[{vm.zone_.text(), vm.domain_.text()}].push_back(vm);
    }
    std::size_t slot = 0;
    for (auto &[place, vms] : domains) {
        std::sort(vms.begin(), vms.end(),
                  [](const auto &a, const auto &b) { return a.id_ < b.id_; });
        const std::size_t size = std::max(service.vmsPerReplica_, 1U);
        for (std::size_t first = 0; first + size <= vms.size(); first += size) {
            const auto begin = vms.begin() + static_cast<std::ptrdiff_t>(first);
            const Members members(begin, begin + static_cast<std::ptrdiff_t>(size));
            addGroup(service, members, slot++, entry);
        }
    }
}

void ThinControl::addGroup(const config::Service &service, const Members &members, std::size_t slot,
                           routing::SnapshotService &entry)
{
    routing::SnapshotGroup group;
    group.group_ = GroupId(service.name_.text() + "/" + members.front().zone_.text() + "/"
                           + std::to_string(slot));
    group.generation_ = Generation(1);
    group.zone_ = members.front().zone_;
    group.domain_ = members.front().domain_;
    group.model_ = service.model_;
    group.leader_ = members.front().id_;
    group.address_ = members.front().address_;
    group.freshUntil_ = TimePoint::max();
    group.capacity_ = service.requestsPerReplica_;
    bool isWhole = true;
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
        const auto *observed = fresh(members[rank].id_);
        group.members_.push_back(members[rank].id_);
        group.isVetoed_ = group.isVetoed_ || members[rank].status_ == platform::VmStatus::Leaving;
        if (observed == nullptr) {
            isWhole = false;
            continue;
        }
        if (observed->state_.phase_ == endpoint::EnginePhase::Idle)
            assign(service, members, group.group_, rank);
        isWhole = isWhole && observed->state_.phase_ == endpoint::EnginePhase::Ready;
        group.freshUntil_
            = std::min(group.freshUntil_, observed->when_ + parts_.settings_.intervals_.freshness_);
    }
    if (isWhole)
        entry.groups_.push_back(std::move(group));
}

void ThinControl::assign(const config::Service &service, const Members &members,
                         const GroupId &group, std::size_t rank)
{
    endpoint::EndpointOrder order;
    order.vm_ = members[rank].id_;
    order.id_ = OrderId("thin/" + group.text() + "/" + order.vm_.text());
    order.fencing_ = Epoch(1);
    order.assignment_ = {group, Generation(1), static_cast<std::uint32_t>(rank)};
    order.model_ = service.model_;
    for (const auto &member : members)
        order.members_.push_back(member.id_);
    orders_.send(members[rank].address_, std::move(order),
                 [](const Result<endpoint::EndpointState> &) {});
}

} // namespace

std::unique_ptr<traffic::ControlSide> makeControlSide(const ControlParts &parts)
{
    return std::make_unique<ThinControl>(parts);
}

} // namespace cardamombay::daemon
