#include <cardamombay/serving/retry_quota.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace cardamombay::serving {

namespace {

constexpr std::int64_t transferSlices = SlidingSum::maxSlicesAhead - 1;

/// The rest stays here for callers of this entry VM.
constexpr double maxTransferShare = 0.5;

/// Smaller amounts are not worth a message.
constexpr double minTransfer = 0.01;

/// Amounts dated ahead, in the present slice and in the one before it.
constexpr std::ptrdiff_t presentAndPrevious = 3;

/// A process may have gone on spending for that long after its last report.
constexpr std::chrono::duration<double> unreportedTime = std::chrono::milliseconds(300);

constexpr double minExpectedNeed = 1;
constexpr double maxExpectedNeed = 10;

} // namespace

Duration RetryQuota::transferLifetime(const RetryBound &bound)
{
    return bound.window_ / SlidingSum::slicesPerWindow * transferSlices;
}

Duration RetryQuota::memory(const RetryBound &bound)
{
    return bound.window_ + bound.window_ / SlidingSum::slicesPerWindow * (transferSlices + 1);
}

QuotaUse RetryQuota::use(const RetryBound &bound, TimePoint now) const
{
    auto spent = spent_.byAge(now, bound.window_);
    if (spent.empty())
        return {};
    return {requests_.byAge(now, bound.window_), std::move(spent)};
}

void RetryQuota::inherit(const RetryBound &bound, QuotaUse use, Duration age, TimePoint now)
{
    const auto recentTime = 2 * bound.window_ / SlidingSum::slicesPerWindow;
    const auto recent = std::accumulate(
        use.spent_.begin(),
        use.spent_.begin() + std::min<std::ptrdiff_t>(std::ssize(use.spent_), presentAndPrevious),
        0.0);
    if (recent > 0)
        use.spent_.front() += recent * (unreportedTime / recentTime);
    using Dating = SlidingSum::Dating;
    spent_.addByAge(use.spent_, Dating::NotBefore, age, now, bound.window_);
    requests_.addByAge(use.requests_, Dating::NotAfter, age, now, bound.window_);
}

void RetryQuota::countRequest(const RetryBound &bound, TimePoint now)
{
    requests_.add(1, now, bound.window_);
}

RetryCounts RetryQuota::counts(const RetryBound &bound, TimePoint now) const
{
    return {requests_.within(now, bound.window_), retries_.within(now, bound.window_)};
}

double RetryQuota::unused(const RetryBound &bound, TimePoint now) const
{
    return requests_.within(now, bound.window_) * bound.share_ + bound.reserve_
           - spent_.withinOrJustBefore(now, bound.window_);
}

double RetryQuota::received(TimePoint now) const
{
    double result = 0;
    for (const auto &one : received_)
        result += now < one.until_ ? one.amount_ : 0;
    return result;
}

double RetryQuota::expectedNeed(const RetryBound &bound, TimePoint now) const
{
    return std::clamp(retries_.recent(now, bound.window_), minExpectedNeed, maxExpectedNeed);
}

bool RetryQuota::take(const RetryBound &bound, TimePoint now)
{
    dropExpired(now);
    if (std::max(0.0, unused(bound, now)) + received(now) < 1)
        return false;
    double left = 1;
    while (left > 0 && !received_.empty()) {
        auto &first = received_.front();
        const auto part = std::min(left, first.amount_);
        left -= part;
        first.amount_ -= part;
        if (first.amount_ <= 0)
            received_.pop_front();
    }
    spent_.add(left, now, bound.window_);
    retries_.add(1, now, bound.window_);
    return true;
}

/// Counts as spent when the receiver may last spend it.
double RetryQuota::transferOut(const RetryBound &bound, double wanted, TimePoint now)
{
    const auto spare = (unused(bound, now) - expectedNeed(bound, now)) * maxTransferShare;
    const auto amount = std::min(wanted, spare);
    if (amount < minTransfer)
        return 0;
    spent_.add(amount, now + transferLifetime(bound), bound.window_);
    return amount;
}

void RetryQuota::transferIn(double amount, TimePoint until, TimePoint now)
{
    dropExpired(now);
    const auto place
        = std::upper_bound(received_.begin(), received_.end(), until,
                           [](TimePoint time, const Received &one) { return time < one.until_; });
    received_.insert(place, {amount, until});
}

void RetryQuota::dropExpired(TimePoint now)
{
    while (!received_.empty() && received_.front().until_ <= now)
        received_.pop_front();
}

} // namespace cardamombay::serving
