#include <cardamombay/serving/servable.hpp>

#include <cardamombay/serving/engine_model.hpp>

namespace cardamombay::serving {

std::optional<std::string_view> unservableReason(const Service &service, const RequestNeeds &needs)
{
    if (!service.engine_)
        return std::nullopt;
    const auto &profile = *service.engine_;
    const auto *model = profile.model(needs.model_);
    if (model == nullptr)
        return "the service has no such model";
    if (profile.memoryTokens_ > 0 && needs.promptTokens_ > profile.memoryTokens_)
        return "the prompt exceeds the memory of a group";
    // Even an idle group has to prefill the prompt and sends its first event after one pass.
    const EngineModel engine(profile, *model);
    const auto first
        = engine.readTime(needs.promptTokens_) + engine.pauseBetweenEvents(1, needs.promptTokens_);
    if (first > needs.timeLeft_)
        return "the deadline is too close for a first event";
    return std::nullopt;
}

} // namespace cardamombay::serving
