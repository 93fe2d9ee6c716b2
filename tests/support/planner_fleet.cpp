#include "support/planner_fleet.hpp"

#include <stdexcept>
#include <utility>

namespace cardamombay::support {

namespace {

constexpr Duration pollInterval = std::chrono::seconds(1);
constexpr Duration freshFor = std::chrono::milliseconds(2500);
constexpr Duration tickInterval = std::chrono::milliseconds(500);

template<typename Value>
Value require(Result<Value> result)
{
    if (!isOk(result))
        throw std::runtime_error(messageOf(errorOf(result)));
    return valueOf(std::move(result));
}

} // namespace

config::Service modelService(std::uint32_t replicas, std::uint32_t vmsPerReplica,
                             const std::string &name, std::uint32_t priority)
{
    config::Service service;
    service.name_ = ServiceName(name);
    service.model_ = {ModelName(name + "-model"), ModelVersion("1"), {}};
    service.vmsPerReplica_ = vmsPerReplica;
    service.priority_ = priority;
    service.loadTime_ = std::chrono::seconds(10);
    service.capacity_.push_back({AvailabilityZone("zone"), replicas});
    return service;
}

PollingView::PollingView(Clock &clock, endpoint::EndpointOrders &orders,
                         const std::vector<platform::VmRecord> &vms, const std::set<VmId> &leaving)
    : clock_(clock)
    , orders_(orders)
    , vms_(vms)
    , leaving_(leaving)
{
    clock_.schedule(Duration::zero(), [this] { poll(); });
}

void PollingView::poll()
{
    for (const auto &vm : vms_) {
        auto onState = [this, id = vm.id_,
                        askedAt = clock_.now()](const Result<endpoint::EndpointState> &result) {
            if (isOk(result))
                observations_[id] = {valueOf(result), askedAt, true, false, false};
        };
        orders_.probe(vm.id_, vm.address_, std::move(onState));
    }
    clock_.schedule(pollInterval, [this] { poll(); });
}

groups::VmObservation PollingView::observe(const VmId &vm) const
{
    const auto found = observations_.find(vm);
    groups::VmObservation observation;
    if (found != observations_.end())
        observation = found->second;
    observation.isFresh_ = observation.state_ && clock_.now() < observation.heardAt_ + freshFor;
    observation.isLeaving_ = leaving_.contains(vm);
    return observation;
}

PlannerNode::PlannerNode(PlannerFleet &fleet, EntryId self, planning::Planner planner)
    : fleet_(fleet)
    , self_(std::move(self))
    , clock_(fleet.clock_)
    , store_(fleet.platform_)
    , orders_(fleet.endpoints_, self_)
    , nodeStore_(clock_, store_)
    , nodeOrders_(clock_, orders_)
    , view_(clock_, nodeOrders_, fleet.vms_, fleet.leaving_)
    , groupCache_(clock_, nodeStore_, Random(7))
    , log_(100000)
{
    const Incarnation incarnation(1);
    for (std::uint32_t number = 0; number < fleet.shape_.domains_; ++number) {
        leases_.push_back(std::make_unique<leases::LeaseKeeper>(
            clock_, nodeStore_, Random(number + 1), leases::LeaseSettings{}, self_, incarnation,
            PlannerFleet::domain(number), fleet.leaseProgram_));
        managers_.push_back(std::make_unique<groups::GroupManager>(
            clock_, nodeStore_, nodeOrders_, *leases_.back(), log_, groups::ManagerSettings{},
            self_, incarnation, fleet.groupProgram_, planner));
    }
    groupCache_.start();
    clock_.schedule(tickInterval, [this] { tick(); });
}

void PlannerNode::tick()
{
    const groups::PlanInput input{fleet_.configuration_, fleet_.shape_.zone_, fleet_.vms_, &view_,
                                  &groupCache_};
    for (auto &manager : managers_)
        manager->tick(input);
    clock_.schedule(tickInterval, [this] { tick(); });
}

PlannerFleet::PlannerFleet(FleetShape shape)
    : shape_(std::move(shape))
    , platform_(clock_)
    , endpoints_(clock_)
    , leaseProgram_(require(leases::LeaseKeeper::bind(
          require(chart::loadChart(shape_.chartFolder_ + "/lease.toml")))))
    , groupProgram_(require(groups::GroupStateMachine::bind(
          require(chart::loadChart(shape_.chartFolder_ + "/group.toml")))))
{
    for (auto &service : shape_.services_)
        service.checksFencing_ = shape_.checksFencing_;
    setServices(shape_.services_);
    std::uint16_t port = 10000;
    for (std::uint32_t number = 0; number < shape_.domains_; ++number) {
        for (std::uint32_t each = 0; each < shape_.vmsPerDomain_; ++each) {
            platform::VmRecord record;
            record.id_ = vm(each, number);
            record.address_ = Address{"10.0.0.1", port++};
            record.zone_ = shape_.zone_;
            record.domain_ = domain(number);
            endpoints_.addVm(record.id_, record.address_, shape_.checksFencing_);
            vms_.push_back(std::move(record));
        }
    }
}

PlannerNode &PlannerFleet::addNode(std::uint32_t rank, planning::Planner planner)
{
    const EntryId self("entry-" + std::to_string(nodes_.size()));
    nodes_.push_back(std::make_unique<PlannerNode>(*this, self, std::move(planner)));
    PlannerNode &node = *nodes_.back();
    for (std::uint32_t number = 0; number < shape_.domains_; ++number) {
        node.lease(number).setCandidateRank(rank);
        node.lease(number).start();
    }
    return node;
}

VmId PlannerFleet::vm(std::uint32_t number, std::uint32_t domain)
{
    const std::string text = std::to_string(number);
    return VmId("vm-" + std::to_string(domain) + "-" + std::string(3 - text.size(), '0') + text);
}

FabricDomain PlannerFleet::domain(std::uint32_t number)
{
    return FabricDomain("fabric-" + std::to_string(number));
}

std::vector<VmId> PlannerFleet::vmsOf(std::uint32_t domain) const
{
    std::vector<VmId> found;
    for (std::uint32_t each = 0; each < shape_.vmsPerDomain_; ++each)
        found.push_back(vm(each, domain));
    return found;
}

bool PlannerFleet::advanceUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = clock_.now() + limit;
    while (!condition()) {
        if (clock_.now() >= end)
            return false;
        advance(std::chrono::milliseconds(100));
    }
    return true;
}

std::optional<groups::GroupRow> PlannerFleet::row(std::uint32_t slot,
                                                  const std::string &service) const
{
    const auto id = groups::slotId(ServiceName(service), shape_.zone_, slot);
    const platform::Row *found = platform_.row(groups::groupKey(id));
    if (found == nullptr)
        return std::nullopt;
    return require(groups::decodeGroupRow(found->value_));
}

std::optional<groups::VmRow> PlannerFleet::vmRow(const VmId &vm) const
{
    const platform::Row *found = platform_.row(groups::vmKey(vm));
    if (found == nullptr)
        return std::nullopt;
    return require(groups::decodeVmRow(found->value_));
}

bool PlannerFleet::isServing(std::uint32_t slot, const std::string &service) const
{
    const auto group = row(slot, service);
    if (!group || !group->isActive())
        return false;
    for (const VmId &member : group->members_) {
        if (dead_.contains(member) || !group->isMatchedBy(endpoints_.state(member)))
            return false;
    }
    return true;
}

std::uint32_t PlannerFleet::servingCount() const
{
    std::uint32_t serving = 0;
    for (const auto &[key, stored] : platform_.rows()) {
        if (key.table_ != groups::groupTable)
            continue;
        const auto group = require(groups::decodeGroupRow(stored.value_));
        const auto slot = groups::slotNumber(group.group_);
        serving += slot && isServing(*slot, group.service_.text()) ? 1 : 0;
    }
    return serving;
}

bool PlannerFleet::isExclusive() const
{
    std::set<VmId> seen;
    for (const auto &[key, stored] : platform_.rows()) {
        if (key.table_ != groups::groupTable)
            continue;
        const auto group = require(groups::decodeGroupRow(stored.value_));
        for (const VmId &member : group.members_) {
            const auto assigned = vmRow(member);
            const bool isNamed = assigned && assigned->group_ == group.group_
                                 && assigned->generation_ == group.generation_;
            if (!isNamed || !seen.insert(member).second)
                return false;
        }
    }
    return true;
}

void PlannerFleet::kill(const VmId &vm)
{
    dead_.insert(vm);
    endpoints_.kill(vm);
}

void PlannerFleet::restart(const VmId &vm)
{
    dead_.erase(vm);
    endpoints_.restart(vm);
}

void PlannerFleet::pauseVm(const VmId &vm)
{
    dead_.insert(vm);
    endpoints_.pause(vm);
}

void PlannerFleet::resumeVm(const VmId &vm)
{
    dead_.erase(vm);
    endpoints_.resume(vm);
}

void PlannerFleet::setServices(std::vector<config::Service> services)
{
    auto configuration = std::make_shared<config::Configuration>();
    configuration->version_ = configuration_ ? configuration_->version_.next() : ConfigVersion(1);
    configuration->sites_.push_back({shape_.zone_, RegionName("region")});
    configuration->services_ = std::move(services);
    configuration->planner_ = shape_.policy_;
    configuration_ = std::move(configuration);
}

} // namespace cardamombay::support
