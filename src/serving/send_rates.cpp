#include <cardamombay/serving/send_rates.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

LowestRate::LowestRate(std::vector<const SendRates *> sources)
    : sources_(std::move(sources))
{
}

std::optional<double> LowestRate::perSecond(const EndpointIncarnation &endpoint) const
{
    std::optional<double> lowest;
    for (const auto *source : sources_) {
        if (const auto rate = source->perSecond(endpoint))
            lowest = std::min(lowest.value_or(*rate), *rate);
    }
    return lowest;
}

} // namespace cardamombay::serving
