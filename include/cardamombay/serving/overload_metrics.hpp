/// \file
/// \brief Metrics of overload control, by model.
/// \details Labels are models, ranks and reasons, never teams: the number of teams has no bound,
/// and metrics are read by more people than logs.
#pragma once

#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/overload/admission_controller.hpp>

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief What overload control of one model decides from at the end of a digest period.
struct OverloadSample
{
    const overload::ModelDemand &demand_; ///< Of all entry VMs, this one included.
    const overload::AdmissionLevel &level_;
    Duration age_{}; ///< Time since the last figures of other entry VMs; zero if there are none.
};

/// \brief Gauges and counters of the models under overload control. Not thread-safe.
class OverloadMetrics
{
public:
    /// \param registry must outlive the object.
    explicit OverloadMetrics(metrics::Registry &registry)
        : registry_(registry)
    {
    }

    /// \brief Sets the gauges of a model; call once per digest period.
    void set(const ModelName &model, const OverloadSample &figures);

    /// \brief Sets the gauges of all other models to the values of a model without demand, since a
    /// gauge that is shown once remains.
    /// \param models those under overload control.
    void retain(std::span<const ModelName> models);

    /// \brief Counts a refused request.
    /// \param model models without gauges are counted under an empty name, since callers choose the
    /// names of unknown models.
    /// \param reason as in the log line of the request.
    void refused(const ModelName &model, std::string_view reason);

private:
    struct RankGauges
    {
        metrics::Gauge offered_;
        metrics::Gauge waiting_;
        metrics::Gauge share_;
    };
    struct ModelGauges
    {
        metrics::Gauge room_;
        metrics::Gauge occupancy_;
        metrics::Gauge age_;
        metrics::Gauge promised_;
        std::map<overload::Rank, RankGauges> ranks_;
    };

    [[nodiscard]] ModelGauges &gaugesOf(const ModelName &model);
    [[nodiscard]] RankGauges rankGauges(const ModelName &model, overload::Rank rank);

    metrics::Registry &registry_;
    std::map<ModelName, ModelGauges> models_;
};

} // namespace cardamombay::serving
