#include <cardamombay/limits/fair_share.hpp>
#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/overload/demand_meter.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace cardamombay::overload {

namespace {

/// Occupancy that the room aims at. The rest absorbs the variation of arrivals between two digests.
constexpr double targetOccupancy = 0.95;
/// Room lost per unit of occupancy above the target, as a fraction of the groups.
constexpr double occupancyGain = 2;
/// Keeps some work flowing so that a wrong occupancy cannot close a model.
constexpr double minRoomFactor = 0.1;
/// Bounds the work admitted before an idle model fills up, which is seen 0.1 to 0.2 s later.
constexpr double maxRoomFactor = 1.5;

bool isUsable(double figure)
{
    return std::isfinite(figure) && figure > 0;
}

/// Named teams of the divided rank, scaled down where they exceed the work of the rank: names are
/// up to 0.5 s older than the work of ranks.
struct NamedTeams
{
    std::vector<TeamName> names_;
    std::vector<limits::WeightedDemand> demands_;
    double total_ = 0;
    double smallest_ = 0;
};

NamedTeams namedTeams(const std::map<TeamName, double> &teams, double offered)
{
    NamedTeams result;
    for (const auto &[team, figure] : teams) {
        if (!isUsable(figure))
            continue;
        result.names_.push_back(team);
        result.demands_.push_back({1, figure});
        result.total_ += figure;
        result.smallest_ = result.names_.size() == 1 ? figure : std::min(result.smallest_, figure);
    }
    if (result.total_ <= offered)
        return result;
    const double scale = offered / result.total_;
    for (auto &demand : result.demands_)
        demand.demand_ *= scale;
    result.smallest_ *= scale;
    result.total_ = offered;
    return result;
}

/// Part of the room that is kept for work without a name. Such work may also be that of named teams
/// since names were last told; all room kept for it left 97% of the capacity unused in a trial in
/// which only a fifth of the names arrived.
constexpr double maxUnnamedPart = 0.5;

/// Work of the divided rank that no name accounts for. If names may have been left out, it counts
/// as that many teams as large as the smallest named one; otherwise as one team that is not named
/// yet.
limits::WeightedDemand otherTeams(const NamedTeams &named, double unnamed, double room)
{
    if (!isUsable(unnamed))
        return {};
    const bool areAllNamed = named.names_.size() < maxNamedTeams;
    return {areAllNamed ? 1 : std::max(1.0, unnamed / named.smallest_),
            std::min(unnamed, room * maxUnnamedPart)};
}

double shareOf(double granted, double demand)
{
    return demand > 0 ? std::clamp(granted / demand, 0.0, 1.0) : 1;
}

void divideTeams(AdmissionLevel &level, const std::map<TeamName, double> &teams, double offered,
                 double room)
{
    auto named = namedTeams(teams, offered);
    if (named.names_.empty()) {
        level.otherTeamsShare_ = level.dividedShare_;
        return;
    }
    auto &demands = named.demands_;
    const double unnamed = offered - named.total_;
    demands.push_back(otherTeams(named, unnamed, room));
    const auto granted = limits::weightedMaxMin(room, demands);
    for (std::size_t i = 0; i < named.names_.size(); ++i)
        level.teamShares_.emplace(named.names_[i], shareOf(granted[i], demands[i].demand_));
    level.otherTeamsShare_ = shareOf(granted.back(), unnamed);
}

} // namespace

std::string_view nameOf(FigureSource source)
{
    switch (source) {
    case FigureSource::Fleet:
        return "fleet";
    case FigureSource::Own:
        return "own";
    case FigureSource::Start:
        break;
    }
    return "start";
}

double AdmissionLevel::share(Rank rank, const TeamName &team) const
{
    const Rank bounded = std::min(rank, maxRank);
    if (!dividedRank_ || bounded < *dividedRank_)
        return 1;
    if (bounded > *dividedRank_)
        return 0;
    const auto found = teamShares_.find(team);
    return found == teamShares_.end() ? otherTeamsShare_ : found->second;
}

AdmissionLevel RankedAdmission::level(const ModelDemand &demand,
                                      const ModelCapacity &capacity) const
{
    auto result = divide(demand, room(capacity));
    result.occupancy_ = capacity.occupancy_;
    return result;
}

AdmissionLevel RankedAdmission::divide(const ModelDemand &demand, double room) const
{
    AdmissionLevel level;
    level.room_ = isUsable(room) ? room : 0;
    double left = level.room_;
    for (const auto &[rank, offered] : demand.offered_) {
        if (!isUsable(offered) || rank > maxRank)
            continue;
        level.offered_ += offered;
        if (level.dividedRank_)
            continue;
        if (offered <= left) {
            left -= offered;
            continue;
        }
        level.dividedRank_ = rank;
        level.dividedShare_ = left / offered;
        divideTeams(level, demand.teams_, offered, left);
    }
    return level;
}

double RankedAdmission::room(const ModelCapacity &capacity)
{
    if (!isUsable(capacity.groups_))
        return 0;
    const double occupancy
        = std::isfinite(capacity.occupancy_) ? std::max(0.0, capacity.occupancy_) : 1;
    return capacity.groups_
           * std::clamp(1 + occupancyGain * (targetOccupancy - occupancy), minRoomFactor,
                        maxRoomFactor);
}

} // namespace cardamombay::overload
