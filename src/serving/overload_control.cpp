#include <cardamombay/serving/overload_control.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Teams named in one digest; more would not fit into a datagram beside the other fields.
constexpr std::size_t maxTeams = 32;

} // namespace

OverloadControl::OverloadControl(Clock &clock, Balancer &balancer, GatewayMetrics &metrics,
                                 Random random)
    : clock_(clock)
    , balancer_(balancer)
    , metrics_(metrics)
    , startedAt_(clock.now())
    , seed_(random.bits())
    , controller_(policy_, clock.now())
    , returns_(clock, metrics, Random(random.bits()))
{
}

bool OverloadControl::controls(const Service &service) const
{
    return routes_ && routes_->hasRanks(service.name_);
}

void OverloadControl::advance(Duration passed)
{
    meter_.advance(passed);
}

overload::FleetDemand
OverloadControl::ownDemand(const std::vector<overload::AdmissionRequest> &held,
                           const std::vector<double> &work, bool withTeams) const
{
    const auto now = clock_.now();
    std::map<ModelName, overload::Rank> divided;
    for (const auto &[model, demand] : demand_) {
        if (const auto rank = controller_.level(model, now).dividedRank_; rank && withTeams)
            divided.emplace(model, *rank);
    }
    auto result = meter_.demand(divided, maxTeams);
    for (std::size_t i = 0; i < held.size(); ++i)
        result[held[i].model_].waiting_[held[i].rank_] += work[i];
    for (const auto &[model, promised] : returns_.promisedWork())
        result[model].promised_ = promised;
    std::erase_if(result, [](const auto &one) { return one.second.isEmpty(); });
    return result;
}

void OverloadControl::update(const overload::FleetDemand &own, const overload::FleetDemand &others,
                             std::optional<TimePoint> receivedAt, std::size_t entries)
{
    others_ = others;
    demand_ = others;
    if (receivedAt)
        receivedAt_ = receivedAt;
    for (const auto &[model, demand] : own)
        demand_[model] += demand;
    std::vector<ModelName> models;
    for (const auto &service :
         routes_ ? routes_->configuration().services_ : std::vector<Service>()) {
        if (!controls(service))
            continue;
        for (const auto &model : service.engine_->models_) {
            models.push_back(model.name_);
            updateModel(service, model.name_, own, receivedAt, entries);
        }
    }
    controller_.retain(models);
    metrics_.overload_.retain(models);
    std::erase_if(ownRooms_, [&](const auto &one) {
        return std::find(models.begin(), models.end(), one.first) == models.end();
    });
}

void OverloadControl::updateModel(const Service &service, const ModelName &model,
                                  const overload::FleetDemand &own,
                                  std::optional<TimePoint> receivedAt, std::size_t entries)
{
    const auto now = clock_.now();
    overload::ModelFigures figures;
    figures.fleet_ = demandOf(demand_, model);
    figures.own_ = demandOf(own, model);
    figures.capacity_ = balancer_.capacity(service, model, now);
    figures.slots_ = static_cast<std::size_t>(figures.capacity_.groups_
                                              * static_cast<double>(service.engine_->slots_));
    figures.entries_ = entries;
    figures.receivedAt_ = receivedAt;
    ownRooms_[model] = overload::RankedAdmission::room(figures.capacity_)
                       / static_cast<double>(std::max<std::size_t>(1, entries));
    controller_.update(model, figures, now);
    metrics_.overload_.set(
        model, {figures.fleet_, controller_.level(model, now), timeWithoutFigures(entries)});
}

/// For the metric of their age, which an alert watches. Figures of peers that are silent for a
/// second are dropped, so their own age never exceeds it.
/// \param entries an entry VM that never had a peer has complete figures.
Duration OverloadControl::timeWithoutFigures(std::size_t entries) const
{
    if (!receivedAt_ && entries <= 1)
        return {};
    return clock_.now() - receivedAt_.value_or(startedAt_);
}

const overload::ModelDemand &OverloadControl::demandOf(const overload::FleetDemand &demand,
                                                       const ModelName &model)
{
    static const overload::ModelDemand none;
    const auto found = demand.find(model);
    return found == demand.end() ? none : found->second;
}

ControlledRequest OverloadControl::describe(const Service &service, const RequestHead &head,
                                            overload::Rank rank, const TeamName &team,
                                            const RequestFingerprint &fingerprint,
                                            double work) const
{
    ControlledRequest result;
    const auto *model = service.engine_->model(head.model_);
    result.admission_
        = {model == nullptr ? head.model_ : model->name_, std::min(rank, overload::maxRank), team,
           stableHash(head.request_.text(), seed_)};
    result.fingerprint_ = fingerprint;
    result.work_ = work;
    return result;
}

/// Returns are admitted before anything else, so the level has to leave room for them.
void OverloadControl::count(ControlledRequest &request)
{
    const bool wasCounted = std::exchange(request.isCounted_, true);
    if (request.hasReturned_ ? std::exchange(request.isCountedAsReturn_, true) : wasCounted)
        return;
    auto counted = request.admission_;
    if (request.hasReturned_)
        counted.rank_ = 0;
    meter_.count(counted, request.work_);
}

bool OverloadControl::admits(const Service &service, const ControlledRequest &request) const
{
    const auto &model = request.admission_.model_;
    return request.hasReturned_
           || controller_.admits(request.admission_, balancer_.ownRequests(service, model),
                                 clock_.now());
}

bool OverloadControl::expectsReturns(const ModelName &model) const
{
    return demandOf(demand_, model).promised_ > 0;
}

Duration OverloadControl::forecast(const overload::HeldRequest &request,
                                   std::span<const overload::HeldRequest> held,
                                   const ModelName &model) const
{
    const double ahead = overload::workAhead(held, request);
    return overload::forecastWait(demandOf(others_, model), request.rank_, ahead, room(model));
}

/// Rate of work that the groups take. While digests are late, the level tells only what this entry
/// VM admits, and the work of the others is unknown; its equal share of the groups is left.
double OverloadControl::room(const ModelName &model) const
{
    const auto level = controller_.level(model, clock_.now());
    if (level.source_ == overload::FigureSource::Fleet)
        return level.room_;
    const auto found = ownRooms_.find(model);
    return found == ownRooms_.end() ? 0 : found->second;
}

Duration OverloadControl::returnTime(const ControlledRequest &request, Duration timeLeft)
{
    const auto now = clock_.now();
    const auto &admission = request.admission_;
    // Refused requests have the largest draws; as jitter these would hardly differ.
    const auto draw = stableHash(std::to_string(admission.draw_), seed_);
    const overload::RefusedRequest refused{admission.rank_, request.work_, timeLeft, draw,
                                           request.hasReturned_};
    const auto told = overload::returnTime(refused, demandOf(demand_, admission.model_),
                                           room(admission.model_));
    if (told.isPromised_)
        returns_.promise(overload::promiseOf(request.fingerprint_.value(), admission.model_,
                                             refused, told, now));
    return told.retryAfter_;
}

void OverloadControl::recordSend(const ModelName &model, bool isRefused)
{
    controller_.recordSend(model, isRefused, clock_.now());
}

AdmissionInputs OverloadControl::inputs(const ModelName &model) const
{
    const auto now = clock_.now();
    return {controller_.level(model, now), controller_.figuresAge(model, now)};
}

} // namespace cardamombay::serving
