/// \file
/// \brief Log-linear histogram of latencies, after the method of HdrHistogram.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <vector>

namespace cardamombay::load {

/// \brief Counts latencies with a relative error below one part in 128, from 1 µs to one hour.
/// \details Each power of two is divided into 128 equal buckets, so the error is the same share of
/// a short latency as of a long one, and recording takes constant time. Latencies above the range
/// count as the longest one.
/// \code
/// Histogram latencies;
/// latencies.record(std::chrono::milliseconds(12));
/// const auto p99 = latencies.percentile(99);
/// \endcode
class Histogram
{
public:
    Histogram();

    void record(Duration value);

    /// \brief Adds all that \p other counted.
    void merge(const Histogram &other);

    /// \brief Smallest latency that \p percent of the values do not exceed, within the error;
    /// zero if nothing was recorded.
    [[nodiscard]] Duration percentile(double percent) const;

    [[nodiscard]] std::uint64_t count() const { return count_; }
    [[nodiscard]] Duration max() const { return max_; }
    [[nodiscard]] Duration mean() const;

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    Duration sum_{};
    Duration max_{};
};

} // namespace cardamombay::load
