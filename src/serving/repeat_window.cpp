#include <cardamombay/serving/repeat_window.hpp>

namespace cardamombay::serving {

RepeatWindow::Slice &RepeatWindow::sliceAt(const RepeatBound &bound, TimePoint now)
{
    const auto length = bound.window_ / static_cast<std::int64_t>(sliceCount);
    const std::int64_t number = now.time_since_epoch() / length;
    auto &slice = slices_[static_cast<std::size_t>(number) % sliceCount];
    if (slice.number_ != number)
        slice = {number, {}};
    return slice;
}

void RepeatWindow::countRequest(const RepeatBound &bound, TimePoint now)
{
    sliceAt(bound, now).counts_.requests_ += 1;
}

RepeatCounts RepeatWindow::counts(const RepeatBound &bound, TimePoint now)
{
    const auto present = sliceAt(bound, now).number_;
    RepeatCounts result;
    for (const auto &slice : slices_) {
        if (slice.number_ <= present - static_cast<std::int64_t>(sliceCount))
            continue;
        result.requests_ += slice.counts_.requests_;
        result.repeats_ += slice.counts_.repeats_;
    }
    return result;
}

bool RepeatWindow::take(const RepeatBound &bound, TimePoint now)
{
    const auto counted = counts(bound, now);
    if (counted.repeats_ + 1 > counted.requests_ * bound.share_ + bound.reserve_)
        return false;
    sliceAt(bound, now).counts_.repeats_ += 1;
    return true;
}

void RepeatWindow::takeExtra(const RepeatBound &bound, TimePoint now)
{
    sliceAt(bound, now).counts_.repeats_ += 1;
}

} // namespace cardamombay::serving
