#include "config/problems.hpp"

#include <algorithm>
#include <tuple>

namespace cardamombay::config::impl {

std::vector<InvalidInput> Problems::sorted() const
{
    std::vector<std::string> files;
    for (const auto &item : items_) {
        if (std::find(files.begin(), files.end(), item.position_.file_) == files.end())
            files.push_back(item.position_.file_);
    }
    const auto place = [&files](const InvalidInput &item) {
        const auto file = std::find(files.begin(), files.end(), item.position_.file_);
        return std::make_tuple(file - files.begin(), item.position_.line_, item.position_.column_);
    };
    auto result = items_;
    std::stable_sort(result.begin(), result.end(),
                     [&place](const auto &a, const auto &b) { return place(a) < place(b); });
    return result;
}

} // namespace cardamombay::config::impl
