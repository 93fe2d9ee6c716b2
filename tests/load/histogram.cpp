#include <cardamombay/core/random.hpp>
#include <cardamombay/load/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using load::Histogram;
using std::chrono::microseconds;

Test(histogram, percentiles_stay_within_one_part_in_128_of_the_exact_ones)
{
    Random random(5);
    Histogram histogram;
    std::vector<std::int64_t> exact;
    for (int i = 0; i < 20000; ++i) {
        const auto value = static_cast<std::int64_t>(std::exp(random.unit() * 18));
        exact.push_back(value);
        histogram.record(microseconds(value));
    }
    std::sort(exact.begin(), exact.end());

    for (const double percent : {1.0, 50.0, 90.0, 95.0, 99.0, 99.9, 100.0}) {
        const auto rank = static_cast<std::size_t>(std::ceil(20000 * percent / 100)) - 1;
        const auto wanted = static_cast<double>(exact[rank]);
        const auto found = std::chrono::duration<double, std::micro>(histogram.percentile(percent));
        cr_assert(found.count() >= wanted && found.count() <= wanted * (1 + 1.0 / 128),
                  "percentile %f: %f, exact %f", percent, found.count(), wanted);
    }
}

Test(histogram, merge_equals_recording_into_one)
{
    Histogram first;
    Histogram second;
    Histogram both;
    for (int i = 1; i <= 1000; ++i) {
        (i % 3 == 0 ? first : second).record(microseconds(i * 37));
        both.record(microseconds(i * 37));
    }

    first.merge(second);

    cr_assert_eq(first.count(), both.count());
    cr_assert(first.percentile(95) == both.percentile(95));
    cr_assert(first.max() == both.max() && first.mean() == both.mean());
}

Test(histogram, empty_and_out_of_range_values_are_harmless)
{
    Histogram histogram;
    cr_assert(histogram.percentile(99) == Duration::zero());

    histogram.record(Duration(-5));
    histogram.record(std::chrono::hours(30));

    cr_assert_eq(histogram.count(), 2);
    cr_assert(histogram.percentile(10) == Duration::zero());
    cr_assert(histogram.percentile(100) >= std::chrono::hours(1));
}
