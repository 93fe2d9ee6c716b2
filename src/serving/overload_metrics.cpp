#include <cardamombay/serving/overload_metrics.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

double figureOf(const std::map<overload::Rank, double> &figures, overload::Rank rank)
{
    const auto found = figures.find(rank);
    return found == figures.end() ? 0 : found->second;
}

/// Admitted share of a rank over all of its teams.
double shareOf(const overload::AdmissionLevel &level, overload::Rank rank)
{
    if (!level.dividedRank_ || rank < *level.dividedRank_)
        return 1;
    return rank == *level.dividedRank_ ? level.dividedShare_ : 0;
}

} // namespace

void OverloadMetrics::set(const ModelName &model, const OverloadSample &figures)
{
    auto &gauges = gaugesOf(model);
    gauges.room_.set(figures.level_.room_);
    gauges.occupancy_.set(figures.level_.occupancy_);
    gauges.age_.set(toSeconds(figures.age_));
    gauges.promised_.set(figures.demand_.promised_);
    const auto addRanks = [&](const std::map<overload::Rank, double> &ranks) {
        for (const auto &[rank, figure] : ranks) {
            if (rank <= overload::maxRank && !gauges.ranks_.contains(rank))
                gauges.ranks_.emplace(rank, rankGauges(model, rank));
        }
    };
    addRanks(figures.demand_.offered_);
    addRanks(figures.demand_.waiting_);
    for (const auto &[rank, one] : gauges.ranks_) {
        one.offered_.set(figureOf(figures.demand_.offered_, rank));
        one.waiting_.set(figureOf(figures.demand_.waiting_, rank));
        one.share_.set(shareOf(figures.level_, rank));
    }
}

void OverloadMetrics::retain(std::span<const ModelName> models)
{
    static const overload::ModelDemand noDemand;
    static const overload::AdmissionLevel everything;
    for (const auto &[model, gauges] : models_) {
        if (std::find(models.begin(), models.end(), model) == models.end())
            set(model, {noDemand, everything});
    }
}

void OverloadMetrics::refused(const ModelName &model, std::string_view reason)
{
    const std::string known = models_.contains(model) ? model.text() : "";
    registry_
        .counter("cardamombay_gateway_overload_refused_total",
                 "Requests refused by overload control, by the reason in their log line.",
                 {{"model", known}, {"reason", std::string(reason)}})
        .increment();
}

OverloadMetrics::ModelGauges &OverloadMetrics::gaugesOf(const ModelName &model)
{
    const auto found = models_.find(model);
    if (found != models_.end())
        return found->second;
    const std::vector<Detail> labels{{"model", model.text()}};
    ModelGauges gauges{
        registry_.gauge("cardamombay_gateway_overload_room_groups",
                        "Rate of work that may be admitted, in groups.", labels),
        registry_.gauge("cardamombay_gateway_overload_occupancy",
                        "Requests in flight over all entry VMs, as a share of the slots.", labels),
        registry_.gauge("cardamombay_gateway_overload_figures_age_seconds",
                        "Time since figures of other entry VMs arrived.", labels),
        registry_.gauge("cardamombay_gateway_overload_promised_seconds",
                        "Work that refused callers were told to bring back.", labels),
        {}};
    return models_.emplace(model, std::move(gauges)).first->second;
}

OverloadMetrics::RankGauges OverloadMetrics::rankGauges(const ModelName &model, overload::Rank rank)
{
    const std::vector<Detail> labels{{"model", model.text()}, {"rank", std::to_string(rank)}};
    return {registry_.gauge("cardamombay_gateway_overload_offered_groups",
                            "Work that callers ask for at all entry VMs, in groups.", labels),
            registry_.gauge("cardamombay_gateway_overload_waiting_seconds",
                            "Work of held requests at all entry VMs.", labels),
            registry_.gauge("cardamombay_gateway_overload_admitted_share",
                            "Admitted share of the rank's work.", labels)};
}

} // namespace cardamombay::serving
