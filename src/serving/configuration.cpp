#include <cardamombay/serving/configuration.hpp>

#include <algorithm>

namespace cardamombay::serving {

const Model *EngineProfile::model(const ModelName &name) const
{
    const auto found = std::find_if(models_.begin(), models_.end(),
                                    [&name](const Model &one) { return one.name_ == name; });
    return found == models_.end() ? nullptr : &*found;
}

std::string_view nameOf(KeyPolicy policy)
{
    switch (policy) {
    case KeyPolicy::Required:
        return "required";
    case KeyPolicy::NotRequired:
        return "not-required";
    case KeyPolicy::Unreadable:
        break;
    }
    return "unreadable";
}

} // namespace cardamombay::serving
