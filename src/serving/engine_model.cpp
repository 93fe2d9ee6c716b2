#include <cardamombay/serving/engine_model.hpp>

namespace cardamombay::serving {

namespace {

Duration scaled(Duration duration, double factor)
{
    return fromSeconds(toSeconds(duration) * factor);
}

} // namespace

Duration EngineModel::pauseBetweenEvents(std::size_t writers, std::size_t context) const
{
    const double thousands = static_cast<double>(context) / 1000;
    const Duration perWriter
        = profile_.stepPerRequest_ + scaled(profile_.stepPerThousandTokens_, thousands);
    const Duration step = profile_.step_ + scaled(perWriter, static_cast<double>(writers));
    return scaled(step, profile_.tokensPerEvent_ * model_.timeFactor_);
}

std::size_t EngineModel::usualContext() const
{
    return profile_.meanPromptTokens_ + profile_.meanAnswerTokens_ / 2;
}

Duration EngineModel::readTime(std::size_t promptTokens) const
{
    return fromSeconds(static_cast<double>(promptTokens) / profile_.prefillTokensPerSecond_
                       * model_.timeFactor_);
}

Duration EngineModel::groupTime(std::size_t promptTokens, std::size_t answerTokens) const
{
    const double events = static_cast<double>(answerTokens) / profile_.tokensPerEvent_;
    const auto writing = scaled(pauseBetweenEvents(profile_.slots_, usualContext()), events);
    return readTime(promptTokens) + writing / profile_.slots_;
}

Duration EngineModel::longestPause() const
{
    // Each step of a pass may read a chunk of the prompts that wait.
    return pauseBetweenEvents(profile_.slots_, usualContext())
           + readTime(profile_.prefillChunkTokens_) * profile_.tokensPerEvent_;
}

} // namespace cardamombay::serving
