/// \file
/// \brief Limits retries over a sliding window.
/// \details A retry is allowed if the retries of the window stay within a share of its requests
/// plus a fixed reserve. Not thread-safe.
#pragma once

#include <cardamombay/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace cardamombay::serving {

/// \brief Retry limit of a window.
struct RetryBound
{
    double share_ = 0;   ///< Retries allowed per request in the window.
    double reserve_ = 0; ///< Retries allowed per window in addition, regardless of load.
    Duration window_ = std::chrono::seconds(10);
};

/// \brief Requests and retries counted in a window.
struct RetryCounts
{
    double requests_ = 0;
    double retries_ = 0;

    friend bool operator==(const RetryCounts &, const RetryCounts &) = default;
};

/// \brief Counts requests and retries of the last window in time slices.
class RetryWindow
{
public:
    void countRequest(const RetryBound &bound, TimePoint now);

    /// \brief Returns the counts of the window that ends at \p now.
    [[nodiscard]] RetryCounts counts(const RetryBound &bound, TimePoint now);

    /// \brief Counts a retry if it is within \p bound.
    /// \returns false if the limit is reached; nothing is counted then.
    [[nodiscard]] bool take(const RetryBound &bound, TimePoint now);

    /// \brief Counts a retry beyond \p bound, taken from the unused budget of other entry VMs.
    void takeBeyondBound(const RetryBound &bound, TimePoint now);

private:
    static constexpr std::size_t sliceCount = 20;

    struct Slice
    {
        std::int64_t number_ = -1; ///< Index of the time slice since the epoch.
        RetryCounts counts_;
    };

    Slice &sliceAt(const RetryBound &bound, TimePoint now);

    std::array<Slice, sliceCount> slices_{};
};

} // namespace cardamombay::serving
