#include <cardamombay/serving/configuration.hpp>

#include <algorithm>

namespace cardamombay::serving {

const Model *EngineProfile::model(const ModelName &name) const
{
    const auto found = std::find_if(models_.begin(), models_.end(),
                                    [&name](const Model &one) { return one.name_ == name; });
    return found == models_.end() ? nullptr : &*found;
}

} // namespace cardamombay::serving
