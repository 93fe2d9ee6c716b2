#include <cardamombay/serving/sliding_sum.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

std::int64_t sliceNumber(TimePoint at, Duration window)
{
    return at.time_since_epoch() / (window / SlidingSum::slicesPerWindow);
}

} // namespace

void SlidingSum::add(double amount, TimePoint at, Duration window)
{
    const auto number = sliceNumber(at, window);
    auto &slice = slices_[static_cast<std::size_t>(number) % slices_.size()];
    if (slice.number_ != number)
        slice = {number, 0};
    slice.sum_ += amount;
}

double SlidingSum::lastSlices(std::int64_t count, TimePoint now, Duration window) const
{
    const auto first = sliceNumber(now, window) - count + 1;
    double result = 0;
    for (const auto &slice : slices_)
        result += slice.number_ >= first ? slice.sum_ : 0;
    return result;
}

double SlidingSum::within(TimePoint now, Duration window) const
{
    return lastSlices(slicesPerWindow, now, window);
}

double SlidingSum::withinOrJustBefore(TimePoint now, Duration window) const
{
    return lastSlices(slicesPerWindow + 1, now, window);
}

std::vector<double> SlidingSum::byAge(TimePoint now, Duration window) const
{
    const auto present = sliceNumber(now, window);
    std::vector<double> result;
    for (const auto &slice : slices_) {
        const auto age = present - slice.number_;
        if (slice.number_ < 0 || slice.sum_ <= 0 || age > slicesPerWindow)
            continue;
        const auto place = age < 0 ? 0 : static_cast<std::size_t>(age) + 1;
        result.resize(std::max(result.size(), place + 1));
        result[place] += slice.sum_;
    }
    return result;
}

void SlidingSum::addByAge(std::span<const double> amounts, Dating dating, Duration age,
                          TimePoint now, Duration window)
{
    const auto reportedAt = now - age;
    const auto slice = window / slicesPerWindow;
    for (std::size_t place = 0; place < amounts.size(); ++place) {
        const auto slicesAgo
            = place == 0 ? 1 - maxSlicesAhead : static_cast<std::int64_t>(place) - 1;
        const auto end = reportedAt - slice * slicesAgo;
        const auto at = dating == Dating::NotBefore ? end : end - slice;
        if (amounts[place] > 0 && now - at <= window)
            add(amounts[place], at, window);
    }
}

double SlidingSum::recent(TimePoint now, Duration window) const
{
    return lastSlices(2, now, window);
}

} // namespace cardamombay::serving
