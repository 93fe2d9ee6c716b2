#include <cardamombay/log/log.hpp>

#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;

Test(log, plain_values_are_written_bare)
{
    const std::vector<Detail> details{{"group", "lm/pa/3"}, {"epoch", "17"}};

    cr_assert_eq(log::formatEvent("group-dissolved", details),
                 "event=group-dissolved group=lm/pa/3 epoch=17");
}

Test(log, value_that_would_break_the_line_is_quoted_and_escaped)
{
    const std::vector<Detail> details{{"detail", "a b=\"c\"\nevent=forged"}, {"empty", ""}};

    cr_assert_eq(log::formatEvent("bad-input", details),
                 R"(event=bad-input detail="a b=\"c\"\x0aevent=forged" empty="")");
}
