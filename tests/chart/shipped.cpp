#include <cardamombay/chart/chart.hpp>

#include <filesystem>

#include <criterion/criterion.h>

using namespace cardamombay;

Test(shipped_charts, all_are_taken)
{
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator(SOURCE_FOLDER "/charts")) {
        const auto result = chart::loadChart(entry.path().string());
        if (!isOk(result)) {
            const auto message = messageOf(errorOf(result));
            cr_assert_fail("%s", message.c_str());
        }
        ++count;
    }
    cr_assert_gt(count, 0);
}
