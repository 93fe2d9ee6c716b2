#include <cardamombay/retries/backoff.hpp>

#include <algorithm>

namespace cardamombay::retries {

Backoff::Backoff(std::uint64_t seed, BackoffPolicy policy)
    : policy_(policy)
    , random_(seed)
{
}

Duration Backoff::delay(std::uint32_t retry)
{
    Duration step = policy_.base_;
    for (std::uint32_t i = 1; i < retry && step < policy_.maximum_; ++i)
        step *= 2;
    step = std::min(step, policy_.maximum_);
    const auto half = step / 2;
    return half + Duration(static_cast<Duration::rep>(random_.unit() * double(half.count())));
}

} // namespace cardamombay::retries
