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
    if (profile.kvCacheTokens_ > 0 && needs.promptTokens_ > profile.kvCacheTokens_)
        return "the prompt is larger than the memory of a group";
    // Even an idle group has to prefill the prompt and sends its first event after one pass.
    const EngineModel engine(profile, *model);
    const auto first
        = engine.prefillTime(needs.promptTokens_) + engine.eventInterval(1, needs.promptTokens_);
    if (first > needs.timeLeft_)
        return "too little time for a first event";
    return std::nullopt;
}

} // namespace cardamombay::serving
