#include "config/nearest_name.hpp"

#include <algorithm>
#include <numeric>
#include <vector>

namespace cardamombay::config::impl {

namespace {

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearestName(std::string_view name, std::span<const std::string> known)
{
    const std::size_t farthest = std::max<std::size_t>(2, name.size() / 3);
    std::string best;
    std::size_t bestDistance = farthest + 1;
    for (const auto &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

std::string remedyForUnknown(std::string_view name, std::span<const std::string> known)
{
    const std::string nearest = nearestName(name, known);
    if (!nearest.empty())
        return "did you mean '" + nearest + "'? Otherwise remove it";
    if (known.empty())
        return "remove it";
    std::string list;
    for (const auto &item : known)
        list += (list.empty() ? "" : ", ") + item;
    return "remove it; known here: " + list;
}

} // namespace cardamombay::config::impl
