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
        = profile_.perRequest_ + scaled(profile_.perThousandTokens_, contextThousands);
    const Duration step = profile_.step_ + scaled(perWriter, static_cast<double>(batchSize));
    return scaled(step, profile_.stride_ * model_.pace_);
}

std::size_t EngineModel::meanContext() const
{
    return profile_.usualPrompt_ + profile_.usualAnswer_ / 2;
}

Duration EngineModel::prefillTime(std::size_t promptTokens) const
{
    return fromSeconds(static_cast<double>(promptTokens) / profile_.readTokensPerSecond_
                       * model_.pace_);
}

Duration EngineModel::amortizedGroupTime(std::size_t promptTokens, std::size_t answerTokens) const
{
    const double events = static_cast<double>(answerTokens) / profile_.stride_;
    const auto decodeTime = scaled(eventInterval(profile_.slots_, meanContext()), events);
    return prefillTime(promptTokens) + decodeTime / profile_.slots_;
}

Duration EngineModel::maxEventInterval() const
{
    // Each decoding step may be preceded by the prefill of one chunk of the waiting prompts.
    return eventInterval(profile_.slots_, meanContext())
           + prefillTime(profile_.promptChunk_) * profile_.stride_;
}

} // namespace cardamombay::serving
