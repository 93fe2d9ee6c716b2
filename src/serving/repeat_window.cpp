#include <cardamombay/serving/repeat_window.hpp>

namespace cardamombay::serving {

RepeatWindow::Slice &RepeatWindow::sliceAt(const RepeatBound &bound, TimePoint now)
{
    const auto length = bound.window_ / static_cast<std::int64_t>(sliceCount);
    const std::int64_t number = now.time_since_epoch() / length;
    auto &slice = slices_[static_cast<std::size_t>(number) % sliceCount];
    if (slice.number_ != number)
        slice = {number, 0, 0};
    return slice;
}

void RepeatWindow::countRequest(const RepeatBound &bound, TimePoint now)
{
    sliceAt(bound, now).requests_ += 1;
}

bool RepeatWindow::take(const RepeatBound &bound, TimePoint now)
{
    auto &present = sliceAt(bound, now);
    double requests = 0;
    double repeats = 0;
    for (const auto &slice : slices_) {
        if (slice.number_ <= present.number_ - static_cast<std::int64_t>(sliceCount))
            continue;
        requests += slice.requests_;
        repeats += slice.repeats_;
    }
    if (repeats + 1 > requests * bound.share_ + bound.reserve_)
        return false;
    present.repeats_ += 1;
    return true;
}

} // namespace cardamombay::serving
