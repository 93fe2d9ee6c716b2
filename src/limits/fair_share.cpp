#include <cardamombay/limits/fair_share.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cardamombay::limits {

std::vector<double> weightedMaxMin(double capacity, std::span<const WeightedDemand> demands)
{
    std::vector<double> shares(demands.size(), 0.0);
    std::vector<std::size_t> order;
    double remainingWeight = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        if (demands[i].weight_ <= 0 || demands[i].demand_ <= 0)
            continue;
        order.push_back(i);
        remainingWeight += demands[i].weight_;
    }
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return demands[a].demand_ * demands[b].weight_ < demands[b].demand_ * demands[a].weight_;
    });
    double remaining = std::max(capacity, 0.0);
    for (const std::size_t i : order) {
        const double fair = remaining * demands[i].weight_ / remainingWeight;
        shares[i] = std::min(demands[i].demand_, fair);
        remaining -= shares[i];
        remainingWeight -= demands[i].weight_;
    }
    return shares;
}

std::vector<std::uint32_t> largestRemainder(std::uint32_t total,
                                            std::span<const double> proportions)
{
    std::vector<std::uint32_t> slots(proportions.size(), 0);
    const double sum = std::accumulate(proportions.begin(), proportions.end(), 0.0);
    if (sum <= 0)
        return slots;
    std::vector<double> remainders(proportions.size());
    std::uint32_t assigned = 0;
    for (std::size_t i = 0; i < proportions.size(); ++i) {
        const double exact = proportions[i] * total / sum;
        slots[i] = static_cast<std::uint32_t>(std::floor(exact));
        remainders[i] = exact - slots[i];
        assigned += slots[i];
    }
    std::vector<std::size_t> order(proportions.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](std::size_t a, std::size_t b) { return remainders[a] > remainders[b]; });
    for (const std::size_t i : order) {
        if (assigned >= total)
            break;
        ++slots[i];
        ++assigned;
    }
    return slots;
}

} // namespace cardamombay::limits
