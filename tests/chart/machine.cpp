#include <cardamombay/chart/machine.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using chart::Handled;

namespace {

const char *const lampChart = R"(
states = ["off", "on", "broken"]
initial = "off"
final = ["broken"]
events = ["press", "break"]
guards = ["powered"]
actions = ["count", "short-circuit"]

[[transitions]]
from = "off"
on = "press"
guard = "powered"
to = "on"
actions = ["count"]

[[transitions]]
from = "off"
on = "press"

[[transitions]]
from = "on"
on = "press"
to = "off"
actions = ["short-circuit", "count"]

[[transitions]]
from = ["off", "on"]
on = "break"
to = "broken"
)";

struct Lamp
{
    explicit Lamp(chart::ProgramPtr<Lamp> program)
        : machine_(std::move(program))
    {
    }

    bool isPowered_ = true;
    int count_ = 0;
    std::vector<std::string> statesAtCount_;
    chart::Machine<Lamp> machine_;
};

chart::Binding<Lamp> lampBinding()
{
    chart::Binding<Lamp> binding;
    binding.state("on").events({"press", "break"});
    binding.guard("powered", [](const Lamp &lamp) { return lamp.isPowered_; });
    binding.action("count", [](Lamp &lamp) {
        ++lamp.count_;
        lamp.statesAtCount_.emplace_back(lamp.machine_.state());
    });
    binding.action("short-circuit", [](Lamp &lamp) { lamp.machine_.handle(lamp, "break"); });
    return binding;
}

Result<chart::ProgramPtr<Lamp>> bindLamp(chart::Binding<Lamp> binding)
{
    const auto parsed = chart::parseChart(lampChart, "lamp.toml");
    cr_assert(isOk(parsed));
    return chart::bind(valueOf(parsed), std::move(binding));
}

Lamp makeLamp()
{
    return Lamp(valueOf(bindLamp(lampBinding())));
}

} // namespace

Test(machine, takes_the_transition_whose_guard_holds)
{
    Lamp lamp = makeLamp();
    lamp.isPowered_ = false;
    cr_assert(lamp.machine_.handle(lamp, "press") == Handled::Taken);
    cr_assert(lamp.machine_.isIn("off"));
    cr_assert_eq(lamp.count_, 0);

    lamp.isPowered_ = true;
    lamp.machine_.handle(lamp, "press");

    cr_assert(lamp.machine_.isIn("on"));
    cr_assert_eq(lamp.count_, 1);
}

Test(machine, event_raised_by_an_action_runs_after_the_present_one)
{
    Lamp lamp = makeLamp();
    lamp.machine_.handle(lamp, "press");

    lamp.machine_.handle(lamp, "press");

    cr_assert_eq(lamp.statesAtCount_.back(), "off");
    cr_assert(lamp.machine_.isIn("broken"));
    cr_assert(lamp.machine_.isFinal());
}

Test(machine, final_state_ignores_events_and_unknown_events_do_nothing)
{
    Lamp lamp = makeLamp();
    cr_assert(lamp.machine_.handle(lamp, "smash") == Handled::Unknown);
    lamp.machine_.handle(lamp, "break");

    cr_assert(lamp.machine_.handle(lamp, "press") == Handled::Ignored);
    cr_assert(lamp.machine_.isIn("broken"));
}

Test(machine, names_that_code_and_chart_do_not_share_are_refused)
{
    cr_assert(isError<InvalidInput>(bindLamp(lampBinding().event("dim"))));
    cr_assert(isError<InvalidInput>(bindLamp(lampBinding().state("dimmed"))));
    cr_assert(isError<InvalidInput>(bindLamp(lampBinding().action("dim", [](Lamp &) {}))));
    cr_assert(isError<InvalidInput>(bindLamp(lampBinding().action("count", [](Lamp &) {}))));
    cr_assert(isError<InvalidInput>(bindLamp(chart::Binding<Lamp>().events({"press", "break"}))));
}
