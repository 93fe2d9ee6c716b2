#include <cardamombay/retries/backoff.hpp>

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::retries;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(backoff, delays_double_and_stay_within_their_step)
{
    Backoff backoff(7);
    for (std::uint32_t retry = 1; retry <= 12; ++retry) {
        const Duration step = std::min<Duration>(milliseconds(25) * (1 << (retry - 1)), seconds(2));
        const Duration delay = backoff.delay(retry);
        cr_assert(delay >= step / 2 && delay <= step);
    }
}
