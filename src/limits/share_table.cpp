#include "limits/share_table.hpp"

#include <cardamombay/limits/fair_share.hpp>

#include <algorithm>
#include <cmath>
#include <map>

namespace cardamombay::limits::impl {

namespace {

constexpr double smallestShare = 0.01;

/// \brief One team's demand at each entry VM, in the order of entry identifiers.
struct TeamRow
{
    double weight_ = 1.0;
    double total_ = 0;
    std::vector<double> byEntry_;
};

/// \brief Demand of all teams at all entry VMs. Teams are ordered by name, so that each entry VM
/// adds the same numbers in the same order.
struct DemandMatrix
{
    std::size_t entries_ = 0;
    std::size_t self_ = 0; ///< Position of this entry VM.
    std::map<TeamName, TeamRow> teams_;

    void add(const TeamName &team, std::size_t entry, double demand)
    {
        TeamRow &row = teams_[team];
        row.byEntry_.resize(entries_, 0.0);
        row.byEntry_[entry] += demand;
        row.total_ += demand;
    }
};

[[nodiscard]] DemandMatrix readDemand(const routing::RoutingSnapshot &snapshot,
                                      const ServiceName &service, std::span<const OwnDemand> own)
{
    DemandMatrix matrix;
    matrix.entries_ = snapshot.peerDemand_.size() + 1;
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
    for (const OwnDemand &demand : own) {
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

[[nodiscard]] std::vector<double> shareOfTeams(const DemandMatrix &matrix, double capacity)
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
        // A prefill group hands its requests over; the decode group carries them.
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

double ShareTable::of(const TeamName &team) const
{
    const auto found = byTeam_.find(team);
    const double share = found == byTeam_.end() ? level_ / double(entries_) : found->second;
    return std::max(share, smallestShare);
}

ShareTable divideCapacity(const routing::RoutingSnapshot &snapshot, const ServiceName &service,
                          std::uint32_t capacity, std::span<const OwnDemand> own,
                          const LimitsPolicy &policy)
{
    const DemandMatrix matrix = readDemand(snapshot, service, own);
    const std::vector<double> shares = shareOfTeams(matrix, capacity);
    const auto entries = double(matrix.entries_);

    ShareTable table;
    table.capacity_ = capacity;
    table.entries_ = matrix.entries_;
    std::vector<double> entryParts(matrix.entries_, 0.0);
    std::vector<double> entryDemand(matrix.entries_, 0.0);
    double spare = capacity;
    double demand = 0;
    std::size_t index = 0;
    for (const auto &[name, row] : matrix.teams_) {
        const double share = shares[index++];
        spare -= share;
        demand += row.total_;
        for (std::size_t entry = 0; entry < matrix.entries_; ++entry) {
            entryParts[entry] += share * row.byEntry_[entry] / row.total_;
            entryDemand[entry] += row.byEntry_[entry];
        }
        table.level_ = std::max(table.level_, share / std::max(row.weight_, smallestShare));
    }
    spare = std::max(spare, 0.0);
    table.level_ += spare / double(matrix.teams_.size() + 1);
    // A team that wants less than the level may still have up to it, so a burst of a small team
    // is not held to its average. The one added evens out the counts of small teams.
    for (const auto &[name, row] : matrix.teams_) {
        const double part = (row.byEntry_[matrix.self_] + 1) / (row.total_ + entries);
        table.byTeam_[name] = table.level_ * row.weight_ * part;
    }
    // What nobody asked for yet follows demand too; the one added lets an idle entry VM start.
    for (std::size_t entry = 0; entry < matrix.entries_; ++entry)
        entryParts[entry] += spare * (entryDemand[entry] + 1) / (demand + entries);
    table.slots_ = largestRemainder(capacity, entryParts)[matrix.self_];
    if (capacity > 0)
        table.slots_ = std::max(table.slots_, policy.entryFloor_);
    return table;
}

} // namespace cardamombay::limits::impl
