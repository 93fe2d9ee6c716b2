#include <cardamombay/serving/servable.hpp>

#include <cardamombay/serving/engine_model.hpp>

namespace cardamombay::serving {

std::optional<std::string_view> unservableReason(const Service &service, const RequestNeeds &demand)
{
    if (!service.engine_)
        return std::nullopt;
    const auto &profile = *service.engine_;
    const auto *model = profile.model(demand.model_);
    if (model == nullptr)
        return "the service has no such model";
    if (profile.memoryTokens_ > 0 && demand.promptTokens_ > profile.memoryTokens_)
        return "the prompt is larger than the memory of a group";
    // An idle group reads the prompt alone, and sends its first event after one pass.
    const EngineModel engine(profile, *model);
    const auto first = engine.readTime(demand.promptTokens_)
                       + engine.pauseBetweenEvents(1, demand.promptTokens_);
    if (first > demand.timeLeft_)
        return "too little time for a first event";
    return std::nullopt;
}

} // namespace cardamombay::serving
