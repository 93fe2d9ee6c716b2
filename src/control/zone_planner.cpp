#include <cardamombay/control/zone_planner.hpp>

#include <cardamombay/leases/candidate_rank.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace cardamombay::control {

namespace {

constexpr std::size_t minOwnEntries = 2;

} // namespace

std::vector<EntryId> planningEntries(const AvailabilityZone &zone,
                                     const config::Configuration &configuration,
                                     std::span<const membership::MemberEntry> alive)
{
    std::vector<EntryId> own;
    std::vector<EntryId> region;
    const config::Site *site = configuration.site(zone);
    for (const auto &member : alive) {
        if (member.isDraining_)
            continue;
        if (member.zone_ == zone)
            own.push_back(member.id_);
        if (site && member.region_ == site->region_)
            region.push_back(member.id_);
    }
    return own.size() < minOwnEntries ? region : own;
}

ZonePlanner::ZonePlanner(Clock &clock, platform::TableStore &store,
                         endpoint::EndpointOrders &orders, DecisionSink &decisions,
                         const ControlSettings &settings, const NodeCharts &charts)
    : clock_(clock)
    , store_(store)
    , orders_(orders)
    , decisions_(decisions)
    , settings_(settings)
    , charts_(charts)
    , random_(settings.randomSeed_)
{
}

ZonePlanner::~ZonePlanner() = default;

void ZonePlanner::tick(const PlanTickInput &tickInput)
{
    if (isReleasing_ || !tickInput.configuration_)
        return;
    ZoneEntries entries;
    addDomains(tickInput, entries);
    for (auto &[name, domain] : domains_) {
        rank(name, domain, entriesOf(domain.zone_, tickInput, entries));
        if (domain.lease_->isHeld())
            plan(domain, tickInput);
    }
}

const std::vector<EntryId> &ZonePlanner::entriesOf(const AvailabilityZone &zone,
                                                   const PlanTickInput &tickInput,
                                                   ZoneEntries &entries)
{
    const auto known = entries.find(zone);
    if (known != entries.end())
        return known->second;
    auto found = planningEntries(zone, *tickInput.configuration_, tickInput.alive_);
    return entries.emplace(zone, std::move(found)).first->second;
}

/// Checks each fabric domain once, regardless of its number of VMs.
void ZonePlanner::addDomains(const PlanTickInput &tickInput, ZoneEntries &entries)
{
    std::unordered_set<std::string_view> seen;
    for (const auto &record : tickInput.vms_) {
        const bool isEngine = record.role_ == platform::VmRole::Engine;
        if (!isEngine || record.domain_.isEmpty() || !seen.insert(record.domain_.text()).second)
            continue;
        if (domains_.contains(record.domain_))
            continue;
        const auto &candidates = entriesOf(record.zone_, tickInput, entries);
        const bool isCandidate
            = std::find(candidates.begin(), candidates.end(), settings_.self_) != candidates.end()
              && leases::candidateRank(record.domain_, settings_.self_, candidates).has_value();
        if (isCandidate)
            domains_.emplace(record.domain_, makeDomain(record));
    }
}

ZonePlanner::Domain ZonePlanner::makeDomain(const platform::VmRecord &record)
{
    Domain domain;
    domain.zone_ = record.zone_;
    domain.lease_ = std::make_unique<leases::LeaseKeeper>(
        clock_, store_, Random(random_.bits()), settings_.leases_, settings_.self_,
        settings_.incarnation_, record.domain_, charts_.lease_);
    domain.manager_ = std::make_unique<groups::GroupManager>(
        clock_, store_, orders_, *domain.lease_, decisions_, settings_.groups_, settings_.self_,
        settings_.incarnation_, charts_.group_);
    domain.lease_->start();
    return domain;
}

void ZonePlanner::rank(const FabricDomain &name, Domain &domain, std::span<const EntryId> entries)
{
    const bool mayPlan
        = std::find(entries.begin(), entries.end(), settings_.self_) != entries.end();
    domain.lease_->setCandidateRank(mayPlan ? leases::candidateRank(name, settings_.self_, entries)
                                            : std::nullopt);
}

void ZonePlanner::plan(Domain &domain, const PlanTickInput &tickInput)
{
    groups::PlanInput input;
    input.configuration_ = tickInput.configuration_;
    input.zone_ = domain.zone_;
    input.view_ = tickInput.view_;
    input.groupCache_ = tickInput.groupCache_;
    std::copy_if(tickInput.vms_.begin(), tickInput.vms_.end(), std::back_inserter(input.vms_),
                 [&](const platform::VmRecord &record) {
                     return record.role_ == platform::VmRole::Engine
                            && record.zone_ == domain.zone_;
                 });
    domain.manager_->tick(input);
}

void ZonePlanner::release()
{
    isReleasing_ = true;
    for (auto &[name, domain] : domains_)
        domain.lease_->release();
}

bool ZonePlanner::isReleased() const
{
    return std::all_of(domains_.begin(), domains_.end(),
                       [](const auto &item) { return item.second.lease_->isReleased(); });
}

std::vector<groups::GroupStatus> ZonePlanner::groups() const
{
    std::vector<groups::GroupStatus> all;
    for (const auto &[name, domain] : domains_) {
        auto part = domain.manager_->groups();
        std::move(part.begin(), part.end(), std::back_inserter(all));
    }
    return all;
}

std::vector<const leases::LeaseKeeper *> ZonePlanner::heldLeases() const
{
    std::vector<const leases::LeaseKeeper *> held;
    for (const auto &[name, domain] : domains_) {
        if (domain.lease_->isHeld())
            held.push_back(domain.lease_.get());
    }
    return held;
}

const leases::LeaseKeeper *ZonePlanner::lease(const FabricDomain &domain) const
{
    const auto found = domains_.find(domain);
    return found == domains_.end() ? nullptr : found->second.lease_.get();
}

} // namespace cardamombay::control
