#include <cardamombay/overload/admission_controller.hpp>

#include <algorithm>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelName model("m");
constexpr TimePoint start{std::chrono::hours(1)};

AdmissionLevel divided(double share)
{
    AdmissionLevel level;
    level.dividedRank_ = 1;
    level.dividedShare_ = share;
    level.offered_ = 20;
    level.room_ = 10;
    level.occupancy_ = 0.95;
    return level;
}

std::string valueOf(const std::vector<Detail> &details, const char *key)
{
    const auto found = std::find_if(details.begin(), details.end(),
                                    [&](const Detail &detail) { return detail.key_ == key; });
    return found == details.end() ? "" : found->value_;
}

} // namespace

Test(level_log, nothing_is_logged_while_all_pass)
{
    LevelLog log;

    cr_expect_not(log.note(model, {}, milliseconds(100), start).has_value());
}

Test(level_log, change_is_logged_with_its_inputs_and_their_age)
{
    LevelLog log;
    const auto details = log.note(model, divided(0.5), milliseconds(150), start);

    cr_assert(details.has_value());
    cr_expect_eq(valueOf(*details, "model"), "m");
    cr_expect_eq(valueOf(*details, "divided-rank"), "1");
    cr_expect_eq(valueOf(*details, "source"), "fleet");
    cr_expect_eq(valueOf(*details, "age-ms"), "150");
    for (const char *key : {"share", "offered-groups", "room-groups", "occupancy"})
        cr_expect_neq(valueOf(*details, key), "", "%s", key);
}

// Guards against a log that grows with the digests while a level oscillates.
Test(level_log, at_most_one_line_a_second)
{
    LevelLog log;
    std::size_t lines = 0;
    for (int i = 0; i < 100; ++i)
        lines += log.note(model, divided(i % 2 == 0 ? 0.2 : 0.8), {}, start + i * milliseconds(100))
                     ? 1
                     : 0;

    cr_expect_leq(lines, 10);
    cr_expect_gt(lines, 1);
}

// Guards against the last change within a second being lost.
Test(level_log, withheld_change_is_logged_later)
{
    LevelLog log;
    (void)log.note(model, divided(0.5), {}, start);
    cr_expect_not(log.note(model, {}, {}, start + milliseconds(500)).has_value());
    const auto details = log.note(model, {}, {}, start + milliseconds(1000));

    cr_assert(details.has_value());
    cr_expect_eq(valueOf(*details, "divided-rank"), "none");
    cr_expect_eq(valueOf(*details, "age-ms"), "none");
}

Test(level_log, noise_of_the_share_is_not_a_change_and_another_source_is)
{
    LevelLog log;
    (void)log.note(model, divided(0.5), {}, start);
    cr_expect_not(log.note(model, divided(0.53), {}, start + seconds(2)).has_value());
    auto late = divided(0.53);
    late.source_ = FigureSource::Own;

    cr_expect(log.note(model, late, {}, start + seconds(3)).has_value());
}
