/// \file
/// \brief Predicts how fast a group of engines works.
/// \details Pure arithmetic on an engine's profile. Routing, admission and the detection of stalled
/// groups use the same predictions.
#pragma once

#include <cardamombay/serving/configuration.hpp>

namespace cardamombay::serving {

/// \brief Times of a group that serves one model.
class EngineModel
{
public:
    /// \param profile of the service's engines; outlives the model.
    /// \param model what the group serves; outlives the model.
    EngineModel(const EngineProfile &profile, const Model &model)
        : profile_(profile)
        , model_(model)
    {
    }

    /// \brief Between two events of a stream while \p writers requests are in the batch.
    /// \param context mean tokens of prompt and answer that a request has.
    [[nodiscard]] Duration eventInterval(std::size_t batchSize, std::size_t context) const;

    /// \brief Mean context of a request in the batch, tokens, by the operators' declaration: the
    /// prompt and half of the answer.
    [[nodiscard]] std::size_t meanContext() const;

    /// \brief Reading a prompt alone.
    [[nodiscard]] Duration prefillTime(std::size_t promptTokens) const;

    /// \brief Share of a whole group's time that a request takes when the batch is full.
    [[nodiscard]] Duration amortizedGroupTime(std::size_t promptTokens,
                                              std::size_t answerTokens) const;

    /// \brief The longest pause that a healthy group with a full batch makes between two events.
    [[nodiscard]] Duration maxEventInterval() const;

private:
    const EngineProfile &profile_;
    const Model &model_;
};

} // namespace cardamombay::serving
