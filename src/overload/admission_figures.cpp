#include <cardamombay/overload/admission_figures.hpp>

#include <algorithm>

namespace cardamombay::overload {

namespace {

template<typename Key>
void addFigures(std::map<Key, double> &into, const std::map<Key, double> &figures)
{
    for (const auto &[key, figure] : figures)
        into[key] += figure;
}

template<typename Key>
void subtractFigures(std::map<Key, double> &from, const std::map<Key, double> &figures)
{
    for (const auto &[key, figure] : figures) {
        const auto found = from.find(key);
        if (found != from.end())
            found->second = std::max(0.0, found->second - figure);
    }
}

} // namespace

bool ModelDemand::isEmpty() const
{
    return offered_.empty() && waiting_.empty() && teams_.empty() && promised_ <= 0;
}

ModelDemand &ModelDemand::operator+=(const ModelDemand &other)
{
    addFigures(offered_, other.offered_);
    addFigures(waiting_, other.waiting_);
    addFigures(teams_, other.teams_);
    promised_ += other.promised_;
    return *this;
}

ModelDemand &ModelDemand::operator-=(const ModelDemand &part)
{
    subtractFigures(offered_, part.offered_);
    subtractFigures(waiting_, part.waiting_);
    subtractFigures(teams_, part.teams_);
    promised_ = std::max(0.0, promised_ - part.promised_);
    return *this;
}

void keepTeams(FleetDemand &demand, const FleetDemand &before)
{
    for (auto &[model, one] : demand) {
        const auto known = before.find(model);
        if (one.teams_.empty() && known != before.end())
            one.teams_ = known->second.teams_;
    }
}

void dropTeams(FleetDemand &demand)
{
    for (auto &[model, one] : demand)
        one.teams_.clear();
}

} // namespace cardamombay::overload
