#include <cardamombay/serving/engine_model.hpp>

namespace cardamombay::serving {

namespace {

/// Mean context of a request in a full batch, tokens; prompts of the services here have 674 to
/// 1,960.
constexpr std::size_t usualContext = 1500;

/// Prompt tokens that an engine reads between two steps; vLLM's usual chunk.
constexpr std::size_t promptChunk = 2048;

Duration scaled(Duration duration, double factor)
{
    return fromSeconds(toSeconds(duration) * factor);
}

} // namespace

Duration EngineModel::pauseBetweenEvents(std::size_t writers, std::size_t context) const
{
    const double thousands = static_cast<double>(context) / 1000;
    const Duration perWriter
        = profile_.perRequest_ + scaled(profile_.perThousandTokens_, thousands);
    const Duration step = profile_.step_ + scaled(perWriter, static_cast<double>(writers));
    return scaled(step, profile_.stride_ * model_.pace_);
}

Duration EngineModel::readTime(std::size_t promptTokens) const
{
    return fromSeconds(static_cast<double>(promptTokens) / profile_.readTokensPerSecond_
                       * model_.pace_);
}

Duration EngineModel::groupTime(std::size_t promptTokens, std::size_t answerTokens) const
{
    const double events = static_cast<double>(answerTokens) / profile_.stride_;
    const auto writing = scaled(pauseBetweenEvents(profile_.slots_, usualContext), events);
    return readTime(promptTokens) + writing / profile_.slots_;
}

Duration EngineModel::longestPause() const
{
    // Each step of a pass may read a chunk of the prompts that wait.
    return pauseBetweenEvents(profile_.slots_, usualContext)
           + readTime(promptChunk) * profile_.stride_;
}

} // namespace cardamombay::serving
