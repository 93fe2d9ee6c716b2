/// \file
/// \brief Bounds repeated sends over a sliding window.
/// \details Decides whether one more repeat keeps every window within a share of the requests in it
/// and a reserve. Single-threaded.
#pragma once

#include <cardamombay/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace cardamombay::serving {

/// \brief Bound of a window.
struct RetryBound
{
    double share_ = 0;   ///< Repeats allowed for each request of the window.
    double reserve_ = 0; ///< Repeats allowed in a window at any rate of requests.
    Duration window_ = std::chrono::seconds(10);
};

/// \brief What was counted in a window.
struct RetryCounts
{
    double requests_ = 0;
    double retries_ = 0;

    friend bool operator==(const RetryCounts &, const RetryCounts &) = default;
};

/// \brief Requests and repeats of the last window, in slices.
class RetryWindow
{
public:
    void countRequest(const RetryBound &bound, TimePoint now);

    /// \brief What was counted here in the window that ends at \p now.
    [[nodiscard]] RetryCounts counts(const RetryBound &bound, TimePoint now);

    /// \brief Counts a repeat if it is within \p bound.
    /// \returns false if it is not; nothing is counted then.
    [[nodiscard]] bool take(const RetryBound &bound, TimePoint now);

    /// \brief Counts a repeat that is beyond \p bound, since others have left theirs.
    void takeBeyondBound(const RetryBound &bound, TimePoint now);

private:
    static constexpr std::size_t sliceCount = 20;

    struct Slice
    {
        std::int64_t number_ = -1; ///< Of the slice of time that the counts are for.
        RetryCounts counts_;
    };

    Slice &sliceAt(const RetryBound &bound, TimePoint now);

    std::array<Slice, sliceCount> slices_{};
};

} // namespace cardamombay::serving
