#include <cardamombay/overload/demand_meter.hpp>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cardamombay::overload {

namespace {

/// Long enough that one digest period with many requests does not count as overload; short compared
/// with the 2 s after which callers without an event disconnect.
constexpr double smoothingSeconds = 0.4;

/// A rate below this rounds to zero in digests, which carry thousandths of a group.
constexpr double minGroups = 1e-4;

/// Weight of one request in the mean; about the last hundred requests count.
constexpr double meanWeight = 0.01;

std::map<TeamName, double> largestOf(std::vector<std::pair<TeamName, double>> teams,
                                     std::size_t maxTeams)
{
    std::sort(teams.begin(), teams.end(), [](const auto &left, const auto &right) {
        return std::pair(right.second, left.first) < std::pair(left.second, right.first);
    });
    teams.resize(std::min(teams.size(), maxTeams));
    return {teams.begin(), teams.end()};
}

} // namespace

void DemandMeter::count(const AdmissionRequest &request, double work)
{
    if (!std::isfinite(work) || work <= 0)
        return;
    auto &model = models_[request.model_];
    const Rank rank = std::min(request.rank_, maxRank);
    model.ranks_[rank].counted_ += work;
    model.teams_[rank][request.team_].counted_ += work;
    model.meanWork_
        = model.meanWork_ > 0 ? model.meanWork_ + (work - model.meanWork_) * meanWeight : work;
}

void DemandMeter::advance(Duration passed)
{
    if (passed <= Duration::zero())
        return;
    const double seconds = toSeconds(passed);
    const double weight = 1 - std::exp(-seconds / smoothingSeconds);
    const auto smooth = [&](auto &rates) {
        for (auto &[key, rate] : rates) {
            rate.groups_ += (rate.counted_ / seconds - rate.groups_) * weight;
            rate.counted_ = 0;
        }
        std::erase_if(rates, [](const auto &one) { return one.second.groups_ < minGroups; });
    };
    for (auto &[name, model] : models_) {
        smooth(model.ranks_);
        for (auto &[rank, teams] : model.teams_)
            smooth(teams);
        std::erase_if(model.teams_, [](const auto &one) { return one.second.empty(); });
    }
}

FleetDemand DemandMeter::demand(const std::map<ModelName, Rank> &dividedRanks,
                                std::size_t maxTeams) const
{
    FleetDemand result;
    for (const auto &[name, model] : models_) {
        ModelDemand demand;
        for (const auto &[rank, rate] : model.ranks_) {
            if (rate.groups_ > 0)
                demand.offered_.emplace(rank, rate.groups_);
        }
        if (const auto divided = dividedRanks.find(name); divided != dividedRanks.end())
            demand.teams_ = teamsOf(model, divided->second, maxTeams);
        if (!demand.isEmpty())
            result.emplace(name, std::move(demand));
    }
    return result;
}

std::map<TeamName, double> DemandMeter::teamsOf(const Model &model, Rank rank, std::size_t maxTeams)
{
    std::vector<std::pair<TeamName, double>> teams;
    if (const auto found = model.teams_.find(rank); found != model.teams_.end()) {
        for (const auto &[team, rate] : found->second) {
            if (rate.groups_ > 0)
                teams.emplace_back(team, rate.groups_);
        }
    }
    return largestOf(std::move(teams), maxTeams);
}

double DemandMeter::meanWork(const ModelName &model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second.meanWork_;
}

} // namespace cardamombay::overload
