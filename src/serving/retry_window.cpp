#include <cardamombay/serving/retry_window.hpp>

namespace cardamombay::serving {

RetryWindow::Slice &RetryWindow::sliceAt(const RetryBound &bound, TimePoint now)
{
    const auto length = bound.window_ / static_cast<std::int64_t>(sliceCount);
    const std::int64_t number = now.time_since_epoch() / length;
    auto &slice = slices_[static_cast<std::size_t>(number) % sliceCount];
    if (slice.number_ != number)
        slice = {number, {}};
    return slice;
}

void RetryWindow::countRequest(const RetryBound &bound, TimePoint now)
{
    sliceAt(bound, now).counts_.requests_ += 1;
}

RetryCounts RetryWindow::counts(const RetryBound &bound, TimePoint now)
{
    const auto present = sliceAt(bound, now).number_;
    RetryCounts result;
    for (const auto &slice : slices_) {
        if (slice.number_ <= present - static_cast<std::int64_t>(sliceCount))
            continue;
        result.requests_ += slice.counts_.requests_;
        result.retries_ += slice.counts_.retries_;
    }
    return result;
}

bool RetryWindow::take(const RetryBound &bound, TimePoint now)
{
    const auto counted = counts(bound, now);
    if (counted.retries_ + 1 > counted.requests_ * bound.share_ + bound.reserve_)
        return false;
    sliceAt(bound, now).counts_.retries_ += 1;
    return true;
}

void RetryWindow::takeBeyondBound(const RetryBound &bound, TimePoint now)
{
    sliceAt(bound, now).counts_.retries_ += 1;
}

} // namespace cardamombay::serving
