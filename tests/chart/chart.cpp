#include <cardamombay/chart/chart.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

/// A door: every line of it can be replaced to break one rule.
const std::string doorChart = R"(states = ["closed", "open", "removed"]
initial = "closed"
final = ["removed"]
events = ["push", "remove"]
guards = ["locked"]
actions = ["ring"]

[[transitions]]
from = "closed"
on = "push"
guard = "!locked"
to = "open"
actions = ["ring"]

[[transitions]]
from = "open"
on = "push"
to = "closed"

[[transitions]]
from = ["closed", "open"]
on = "remove"
to = "removed"

[ignores]
closed = ["push"]
)";

std::string changed(const std::string &from, const std::string &to)
{
    std::string text = doorChart;
    const auto at = text.find(from);
    cr_assert_neq(at, std::string::npos);
    return text.replace(at, from.size(), to);
}

InvalidInput refusal(const std::string &text)
{
    const auto result = chart::parseChart(text, "door.toml");
    cr_assert(isError<InvalidInput>(result), "the chart was taken");
    return std::get<InvalidInput>(errorOf(result));
}

bool mentions(const InvalidInput &error, const std::string &word)
{
    return error.problem_.find(word) != std::string::npos;
}

} // namespace

Test(chart, lists_every_pair_of_state_and_event)
{
    const auto result = chart::parseChart(doorChart, "door.toml");
    cr_assert(isOk(result));

    const auto cells = valueOf(result).cells();

    cr_assert_eq(cells.size(), 4);
    cr_assert_eq(cells[0].transitions_.front().to_, "open");
    cr_assert(cells[0].isIgnored_);
    cr_assert(cells[0].transitions_.front().isGuardNegated_);
    cr_assert_eq(cells[3].transitions_.front().to_, "removed");
}

Test(chart, unknown_target_state_is_refused_with_its_line)
{
    const auto error = refusal(changed("to = \"open\"", "to = \"opened\""));

    cr_assert_eq(error.position_.file_, "door.toml");
    cr_assert_eq(error.position_.line_, 12);
    cr_assert(mentions(error, "opened"));
    cr_assert_not(error.remedy_.empty());
}

Test(chart, unknown_names_are_refused)
{
    cr_assert(mentions(refusal(changed("on = \"push\"", "on = \"pull\"")), "'pull'"));
    cr_assert(mentions(refusal(changed("guard = \"!locked\"", "guard = \"barred\"")), "'barred'"));
    cr_assert(mentions(refusal(changed("[\"ring\"]\n\n[[", "[\"ring\", \"x\"]\n\n[[")), "'x'"));
    cr_assert(mentions(refusal(changed("actions = [\"ring\"]\n\n[[transitions]]\nfrom = \"open\"",
                                       "actions = [\"sing\"]\n\n[[transitions]]\nfrom = \"open\"")),
                       "'sing'"));
    cr_assert(mentions(refusal(changed("initial = \"closed\"", "initial = \"shut\"")), "'shut'"));
    cr_assert(mentions(refusal(changed("closed = [\"push\"]", "closed = [\"kick\"]")), "'kick'"));
    cr_assert_eq(refusal(changed("final =", "finals =")).key_, "finals");
}

Test(chart, event_that_a_state_leaves_open_is_refused)
{
    const auto error = refusal(changed("closed = [\"push\"]", ""));

    cr_assert(mentions(error, "'push' in 'closed'"));
}

Test(chart, unreachable_state_is_refused)
{
    const auto error = refusal(changed("\"open\", \"removed\"]", "\"open\", \"removed\", \"lost\"]")
                               + "lost = [\"push\", \"remove\"]\n");

    cr_assert(mentions(error, "'lost' cannot be reached"));
}

Test(chart, second_transition_for_the_same_case_is_refused)
{
    const std::string again = "[[transitions]]\nfrom = \"open\"\non = \"push\"\nto = \"open\"\n\n";

    const auto error = refusal(changed("[ignores]", again + "[ignores]"));

    cr_assert(mentions(error, "already handled in line 15"));
}

Test(chart, event_both_handled_and_ignored_is_refused)
{
    cr_assert(mentions(refusal(doorChart + "open = [\"push\"]\n"), "'push' in 'open'"));
}

Test(chart, transition_from_a_final_state_is_refused)
{
    cr_assert(mentions(refusal(changed("from = \"open\"", "from = \"removed\"")), "final"));
}

Test(chart, name_that_nothing_uses_is_refused)
{
    cr_assert(mentions(refusal(changed("guards = [\"locked\"]", "guards = [\"locked\", \"wet\"]")),
                       "'wet'"));
}

Test(chart, broken_toml_is_refused_with_its_line)
{
    const auto error = refusal(changed("events = [", "events = "));

    cr_assert_eq(error.position_.line_, 4);
}

Test(chart, absent_file_is_reported)
{
    cr_assert(isError<NotFound>(chart::ChartFolder("/nowhere").load("door")));
}
