#include <cardamombay/config/duration_text.hpp>

#include <array>
#include <charconv>
#include <cmath>

namespace cardamombay::config {

namespace {

struct Unit
{
    std::string_view name_;
    Duration length_;
};

constexpr std::array<Unit, 4> units{{
    {"h", std::chrono::hours(1)},
    {"m", std::chrono::minutes(1)},
    {"s", std::chrono::seconds(1)},
    {"ms", std::chrono::milliseconds(1)},
}};

constexpr double largestCount = 100'000'000; // keeps hours within 64 bits of nanoseconds
constexpr Duration largest = std::chrono::hours(24 * 365);

} // namespace

std::optional<Duration> durationOf(std::string_view text)
{
    double count = 0;
    const char *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count, std::chars_format::fixed);
    const bool isCount = error == std::errc() && count >= 0 && count <= largestCount;
    if (!isCount)
        return std::nullopt;
    const std::string_view name(rest, static_cast<std::size_t>(end - rest));
    for (const auto &unit : units) {
        if (unit.name_ != name)
            continue;
        if (count > static_cast<double>(largest / unit.length_))
            return std::nullopt;
        // Whole counts stay exact; a double holds them to the nanosecond within the range.
        return Duration(std::llround(static_cast<double>(unit.length_.count()) * count));
    }
    return std::nullopt;
}

std::string textOf(Duration duration)
{
    for (const auto &unit : units) {
        const bool isWhole
            = duration >= unit.length_ && duration % unit.length_ == Duration::zero();
        if (isWhole)
            return std::to_string(duration / unit.length_) + std::string(unit.name_);
    }
    return std::to_string(toMilliseconds(duration)) + "ms";
}

} // namespace cardamombay::config
