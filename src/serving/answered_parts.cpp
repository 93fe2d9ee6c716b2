#include <cardamombay/serving/answered_parts.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// Parts in one generation, about 40 bytes each.
constexpr std::size_t maxParts = 8192;

} // namespace

void AnsweredParts::add(std::span<const RequestFingerprint> parts, TimePoint now)
{
    if (recent_.parts_.size() + parts.size() > maxParts)
        older_ = std::exchange(recent_, {});
    ++recent_.answers_;
    for (const auto &part : parts) {
        auto &answers = recent_.parts_[part];
        answers.lastAt_ = now;
        ++answers.count_;
    }
}

bool AnsweredParts::contains(const RequestFingerprint &part, TimePoint now) const
{
    for (const auto *generation : {&recent_, &older_}) {
        const auto found = generation->parts_.find(part);
        if (found != generation->parts_.end())
            return now - found->second.lastAt_ <= lifetime;
    }
    return false;
}

double AnsweredParts::shareOf(const RequestFingerprint &part) const
{
    std::size_t count = 0;
    for (const auto *generation : {&recent_, &older_}) {
        const auto found = generation->parts_.find(part);
        count += found == generation->parts_.end() ? 0 : found->second.count_;
    }
    const auto answers = recent_.answers_ + older_.answers_;
    return answers == 0 ? 0 : static_cast<double>(count) / static_cast<double>(answers);
}

} // namespace cardamombay::serving
