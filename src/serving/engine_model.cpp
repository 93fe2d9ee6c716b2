#include <cardamombay/serving/engine_model.hpp>

namespace cardamombay::serving {

namespace {

Duration scaled(Duration duration, double factor)
{
    return fromSeconds(toSeconds(duration) * factor);
}

} // namespace

Duration EngineModel::eventInterval(std::size_t batchSize, std::size_t context) const
{
    const double contextThousands = static_cast<double>(context) / 1000;
    const Duration perWriter
        = profile_.stepPerRequest_ + scaled(profile_.stepPerThousandTokens_, contextThousands);
    const Duration step = profile_.step_ + scaled(perWriter, static_cast<double>(batchSize));
    return scaled(step, profile_.tokensPerEvent_ * model_.timeFactor_);
}

std::size_t EngineModel::meanContext() const
{
    return profile_.meanPromptTokens_ + profile_.meanAnswerTokens_ / 2;
}

Duration EngineModel::prefillTime(std::size_t promptTokens) const
{
    return fromSeconds(static_cast<double>(promptTokens) / profile_.prefillTokensPerSecond_
                       * model_.timeFactor_);
}

Duration EngineModel::amortizedGroupTime(std::size_t promptTokens, std::size_t answerTokens) const
{
    const double events = static_cast<double>(answerTokens) / profile_.tokensPerEvent_;
    const auto decodeTime = scaled(eventInterval(profile_.slots_, meanContext()), events);
    return prefillTime(promptTokens) + decodeTime / profile_.slots_;
}

Duration EngineModel::maxEventInterval() const
{
    // Each decoding step may be preceded by the prefill of one chunk of the waiting prompts.
    return eventInterval(profile_.slots_, meanContext())
           + prefillTime(profile_.prefillChunkTokens_) * profile_.tokensPerEvent_;
}

} // namespace cardamombay::serving
