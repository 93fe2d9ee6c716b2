#include "serving/demand_json.hpp"

#include "serving/notification.hpp"

#include <cmath>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

/// No fleet has as many groups, or as many seconds of work waiting.
constexpr double maxFigure = 1e6;

/// Figures are written to a thousandth, which keeps them short.
constexpr double figuresPerUnit = 1000;

using RankFigures = std::map<overload::Rank, double> overload::ModelDemand::*;

double shortened(double figure)
{
    return std::round(figure * figuresPerUnit) / figuresPerUnit;
}

std::optional<double> plausible(const json::value &value)
{
    const auto figure = figureIn(value);
    return figure && *figure <= maxFigure ? figure : std::nullopt;
}

json::object rankFigures(const overload::FleetDemand &demand, RankFigures member)
{
    json::object result;
    for (const auto &[model, figures] : demand) {
        json::array ranks;
        for (const auto &[rank, figure] : figures.*member) {
            if (const double rounded = shortened(figure); rounded > 0)
                ranks.push_back(json::array{rank, rounded});
        }
        if (!ranks.empty())
            result[model.text()] = std::move(ranks);
    }
    return result;
}

json::object teamFigures(const overload::FleetDemand &demand)
{
    json::object result;
    for (const auto &[model, figures] : demand) {
        json::object teams;
        for (const auto &[team, figure] : figures.teams_) {
            if (const double rounded = shortened(figure); rounded > 0)
                teams[team.text()] = rounded;
        }
        if (!teams.empty())
            result[model.text()] = std::move(teams);
    }
    return result;
}

json::object promisedFigures(const overload::FleetDemand &demand)
{
    json::object result;
    for (const auto &[model, figures] : demand) {
        if (const double rounded = shortened(figures.promised_); rounded > 0)
            result[model.text()] = rounded;
    }
    return result;
}

void write(json::object &params, std::string_view name, json::object field)
{
    if (!field.empty())
        params[name] = std::move(field);
}

/// Calls \p read with each model's demand and value in the field \p name.
template<typename Read>
void readModels(const json::object &params, std::string_view name, overload::FleetDemand &demand,
                Read read)
{
    const auto *field = params.if_contains(name);
    const auto *models = field == nullptr ? nullptr : field->if_object();
    if (models == nullptr)
        return;
    for (const auto &member : *models)
        read(demand[ModelName(std::string_view(member.key().data(), member.key().size()))],
             member.value());
}

void readRanks(const json::value &value, std::map<overload::Rank, double> &figures)
{
    const auto *ranks = value.if_array();
    if (ranks == nullptr)
        return;
    for (const auto &one : *ranks) {
        const auto *pair = one.if_array();
        if (pair == nullptr || pair->size() != 2)
            continue;
        const auto rank = countIn(pair->at(0));
        const auto figure = plausible(pair->at(1));
        if (rank && *rank <= overload::maxRank && figure)
            figures.emplace(static_cast<overload::Rank>(*rank), *figure);
    }
}

void readTeams(const json::value &value, std::map<TeamName, double> &figures)
{
    const auto *teams = value.if_object();
    if (teams == nullptr)
        return;
    for (const auto &member : *teams) {
        if (const auto figure = plausible(member.value()))
            figures.emplace(std::string_view(member.key().data(), member.key().size()), *figure);
    }
}

} // namespace

void writeDemand(json::object &params, const overload::FleetDemand &demand)
{
    write(params, "offered", rankFigures(demand, &overload::ModelDemand::offered_));
    write(params, "waiting", rankFigures(demand, &overload::ModelDemand::waiting_));
    write(params, "teams", teamFigures(demand));
    write(params, "promised", promisedFigures(demand));
}

overload::FleetDemand readDemandFields(const json::object &params)
{
    overload::FleetDemand result;
    readModels(params, "offered", result,
               [](auto &demand, const json::value &value) { readRanks(value, demand.offered_); });
    readModels(params, "waiting", result,
               [](auto &demand, const json::value &value) { readRanks(value, demand.waiting_); });
    readModels(params, "teams", result,
               [](auto &demand, const json::value &value) { readTeams(value, demand.teams_); });
    readModels(params, "promised", result, [](auto &demand, const json::value &value) {
        demand.promised_ = plausible(value).value_or(0);
    });
    std::erase_if(result, [](const auto &one) { return one.second.isEmpty(); });
    return result;
}

} // namespace cardamombay::serving::impl
