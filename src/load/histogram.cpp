#include <cardamombay/load/histogram.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace cardamombay::load {

namespace {

constexpr unsigned linearBits = 7; // 128 buckets for each power of two.
constexpr std::uint64_t linearBuckets = 1U << linearBits;
constexpr Duration longest = std::chrono::hours(1);

std::uint64_t toMicroseconds(Duration value)
{
    const auto bounded = std::clamp(value, Duration::zero(), longest);
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(bounded).count();
    return static_cast<std::uint64_t>(count);
}

/// Values below 2 * linearBuckets have a bucket each; above, the bucket width doubles with each
/// power of two.
std::size_t indexOf(std::uint64_t value)
{
    const auto width = static_cast<unsigned>(std::bit_width(value));
    const unsigned shift = width > linearBits + 1 ? width - linearBits - 1 : 0;
    return shift * linearBuckets + (value >> shift);
}

/// The highest value that falls into the bucket.
std::uint64_t highestOf(std::size_t index)
{
    if (index < 2 * linearBuckets)
        return index;
    const std::uint64_t shift = index / linearBuckets - 1;
    const std::uint64_t start = (index - shift * linearBuckets) << shift;
    return start + (std::uint64_t{1} << shift) - 1;
}

} // namespace

Histogram::Histogram()
    : buckets_(indexOf(toMicroseconds(longest)) + 1)
{
}

void Histogram::record(Duration value)
{
    ++buckets_[indexOf(toMicroseconds(value))];
    ++count_;
    sum_ += value;
    max_ = std::max(max_, value);
}

void Histogram::merge(const Histogram &other)
{
    for (std::size_t i = 0; i < buckets_.size(); ++i)
        buckets_[i] += other.buckets_[i];
    count_ += other.count_;
    sum_ += other.sum_;
    max_ = std::max(max_, other.max_);
}

Duration Histogram::percentile(double percent) const
{
    const double wanted = std::ceil(static_cast<double>(count_) * percent / 100);
    const auto rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(wanted));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        seen += buckets_[i];
        if (seen >= rank)
            return std::min<Duration>(std::chrono::microseconds(highestOf(i)), max_);
    }
    return Duration::zero();
}

Duration Histogram::mean() const
{
    return count_ == 0 ? Duration::zero() : sum_ / static_cast<std::int64_t>(count_);
}

} // namespace cardamombay::load
