#include "limits/share_table.hpp"

#include <cardamombay/limits/fair_share.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace cardamombay::limits::impl {

namespace {

constexpr double minimumShare = 0.01;

/// Above the overshoot that lagging digests cause; see docs/measurements/routing.md.
constexpr double toleratedOvershoot = 1.1;

/// \brief One team's demand at each entry VM, in the order of entry identifiers.
struct TeamRow
{
    double weight_ = 1.0;
    double total_ = 0;
    std::vector<double> byEntry_;
};

/// \brief Demand of all teams at all entry VMs. Teams are ordered by name, so that every entry VM
/// sums the same numbers in the same order.
struct DemandMatrix
{
    std::size_t entryCount_ = 0;
    std::size_t self_ = 0; ///< Position of this entry VM.
    std::map<TeamName, TeamRow> teams_;

    void add(const TeamName &team, std::size_t entry, double demand)
    {
        TeamRow &row = teams_[team];
        row.byEntry_.resize(entryCount_, 0.0);
        row.byEntry_[entry] += demand;
        row.total_ += demand;
    }
};

[[nodiscard]] DemandMatrix buildDemandMatrix(const routing::RoutingSnapshot &snapshot,
                                             const ServiceName &service,
                                             std::span<const LocalDemand> localDemands)
{
    DemandMatrix matrix;
    matrix.entryCount_ = snapshot.peerDemand_.size() + 1;
    for (const routing::PeerDemand &peer : snapshot.peerDemand_) {
        if (peer.entry_ < snapshot.self_)
            ++matrix.self_;
    }
    std::size_t position = 0;
    for (const routing::PeerDemand &peer : snapshot.peerDemand_) {
        if (position == matrix.self_)
            ++position;
        for (const routing::DemandReport &report : peer.demand_) {
            if (report.service_ == service)
                matrix.add(report.team_, position, double(report.inFlight_) + report.waiting_);
        }
        ++position;
    }
    for (const LocalDemand &demand : localDemands) {
        if (demand.demand_ > 0)
            matrix.add(demand.team_, matrix.self_, demand.demand_);
    }
    for (auto &[name, row] : matrix.teams_) {
        const config::Team *team
            = snapshot.configuration_ ? snapshot.configuration_->team(name) : nullptr;
        row.weight_ = team ? team->weight_ : 1.0;
    }
    return matrix;
}

[[nodiscard]] std::vector<double> divideBetweenTeams(const DemandMatrix &matrix, double capacity)
{
    std::vector<WeightedDemand> demands;
    demands.reserve(matrix.teams_.size());
    for (const auto &[name, row] : matrix.teams_)
        demands.push_back({row.weight_, row.total_});
    return weightedMaxMin(capacity, demands);
}

} // namespace

std::uint32_t servingCapacity(const routing::RoutingSnapshot &snapshot,
                              const config::Service &service, TimePoint now)
{
    const routing::SnapshotService *groups = snapshot.service(service.name_);
    if (!groups)
        return 0;
    std::map<AvailabilityZone, std::uint32_t> serving;
    for (const routing::SnapshotGroup &group : groups->groups_) {
        // A prefill group passes its requests on to a decode group, which is the one that counts.
        if (group.isUsable(now) && group.role_ != endpoint::GroupRole::Prefill)
            serving[group.zone_] += group.capacity_;
    }
    for (const config::SiteCapacity &declared : service.capacity_) {
        const auto zone = serving.find(declared.zone_);
        if (zone != serving.end())
            zone->second = std::min(zone->second, declared.replicas_ * service.requestsPerReplica_);
    }
    std::uint32_t sum = 0;
    for (const auto &[zone, slots] : serving)
        sum += slots;
    return sum;
}

double ShareTable::shareOf(const TeamName &team) const
{
    const auto found = byTeam_.find(team);
    const double share
        = found == byTeam_.end() ? slotsPerWeight_ / double(entryCount_) : found->second;
    return std::max(share, minimumShare);
}

void ShareTable::scale(double factor)
{
    slots_ = std::min(slots_, static_cast<std::uint32_t>(std::ceil(factor * slots_)));
    slotsPerWeight_ *= factor;
    for (auto &[team, share] : byTeam_)
        share *= factor;
}

double reportedLoadAllowance(const routing::RoutingSnapshot &snapshot, const ServiceName &service,
                             TimePoint now)
{
    const routing::SnapshotService *groups = snapshot.service(service);
    if (!groups)
        return 1;
    double groupCapacity = 0;
    double inFlight = 0;
    for (const routing::SnapshotGroup &group : groups->groups_) {
        if (!group.isUsable(now))
            continue;
        groupCapacity += group.capacity_;
        inFlight += double(group.load_.running_) + double(group.load_.queued_);
    }
    const double bound = toleratedOvershoot * groupCapacity;
    return inFlight <= bound ? 1 : bound * bound / (inFlight * inFlight);
}

ShareTable divideCapacity(const routing::RoutingSnapshot &snapshot, const ServiceName &service,
                          std::uint32_t capacity, std::span<const LocalDemand> localDemands,
                          const LimitsPolicy &policy)
{
    const DemandMatrix matrix = buildDemandMatrix(snapshot, service, localDemands);
    const std::vector<double> shares = divideBetweenTeams(matrix, capacity);
    const auto entryCount = double(matrix.entryCount_);

    ShareTable table;
    table.capacity_ = capacity;
    table.entryCount_ = matrix.entryCount_;
    std::vector<double> entryShares(matrix.entryCount_, 0.0);
    std::vector<double> entryDemand(matrix.entryCount_, 0.0);
    double unclaimed = capacity;
    double demand = 0;
    std::size_t index = 0;
    for (const auto &[name, row] : matrix.teams_) {
        const double share = shares[index++];
        unclaimed -= share;
        demand += row.total_;
        for (std::size_t entry = 0; entry < matrix.entryCount_; ++entry) {
            entryShares[entry] += share * row.byEntry_[entry] / row.total_;
            entryDemand[entry] += row.byEntry_[entry];
        }
        table.slotsPerWeight_
            = std::max(table.slotsPerWeight_, share / std::max(row.weight_, minimumShare));
    }
    unclaimed = std::max(unclaimed, 0.0);
    table.slotsPerWeight_ += unclaimed / double(matrix.teams_.size() + 1);
    // A team with less demand than its weight allows may still use that share, so that a burst of a
    // small team is not limited to its average. Adding one smooths the counts of small teams.
    for (const auto &[name, row] : matrix.teams_) {
        const double fraction = (row.byEntry_[matrix.self_] + 1) / (row.total_ + entryCount);
        table.byTeam_[name] = table.slotsPerWeight_ * row.weight_ * fraction;
    }
    // Unclaimed capacity is divided by demand too; adding one gives idle entry VMs a share.
    for (std::size_t entry = 0; entry < matrix.entryCount_; ++entry)
        entryShares[entry] += unclaimed * (entryDemand[entry] + 1) / (demand + entryCount);
    table.slots_ = largestRemainder(capacity, entryShares)[matrix.self_];
    if (capacity > 0)
        table.slots_ = std::max(table.slots_, policy.minimumSlotsPerEntry_);
    return table;
}

} // namespace cardamombay::limits::impl
