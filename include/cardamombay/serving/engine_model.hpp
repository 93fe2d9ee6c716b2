/// \file
/// \brief Latency and throughput model of a group of engines.
/// \details Pure arithmetic on an engine profile. Routing, admission and stall detection use the
/// same predictions.
#pragma once

#include <cardamombay/serving/configuration.hpp>

namespace cardamombay::serving {

/// \brief Predicts the processing times of a group that serves one model.
class EngineModel
{
public:
    /// \param profile profile of the service's engines; must outlive this object.
    /// \param model model that the group serves; must outlive this object.
    EngineModel(const EngineProfile &profile, const Model &model)
        : profile_(profile)
        , model_(model)
    {
    }

    /// \brief Time between two events of a stream while \p batchSize requests are being decoded.
    /// \param context mean context length of a request in tokens, prompt and answer together.
    [[nodiscard]] Duration eventInterval(std::size_t batchSize, std::size_t context) const;

    /// \brief Expected mean context length of a request in the batch, in tokens: the configured
    /// mean prompt and half of the configured mean answer.
    [[nodiscard]] std::size_t meanContext() const;

    /// \brief Time to process a prompt that does not share the engine with other requests.
    [[nodiscard]] Duration prefillTime(std::size_t promptTokens) const;

    /// \brief Group time that is attributable to one request when the batch is full.
    [[nodiscard]] Duration amortizedGroupTime(std::size_t promptTokens,
                                              std::size_t answerTokens) const;

    /// \brief Upper bound of the time between two events of a healthy group with a full batch.
    [[nodiscard]] Duration maxEventInterval() const;

private:
    const EngineProfile &profile_;
    const Model &model_;
};

} // namespace cardamombay::serving
