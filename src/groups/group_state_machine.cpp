#include <cardamombay/groups/group_state_machine.hpp>

#include <cardamombay/groups/events.hpp>

#include <utility>

namespace cardamombay::groups {

GroupStateMachine::GroupStateMachine(GroupRow row, GroupProgramPtr program, DecisionSink &decisions,
                                     TimePoint now)
    : row_(std::move(row))
    , machine_(std::move(program))
    , decisions_(decisions)
    , now_(now)
    , phaseSince_(now)
{
}

Result<GroupProgramPtr> GroupStateMachine::bind(const chart::Chart &chart)
{
    chart::Binding<GroupStateMachine> binding;
    for (std::size_t phase = 0; phase <= static_cast<std::size_t>(GroupPhase::Dissolved); ++phase)
        binding.state(nameOf(static_cast<GroupPhase>(phase)));
    binding.events({"load-permitted", "members-ready", "verified", "member-lost",
                    "member-mismatched", "stop-due", "drain-committed", "drained",
                    "dissolve-requested", "dissolve-committed"});
    binding.action("want-nothing",
                   [](GroupStateMachine &machine) { machine.target_ = MemberTarget::Nothing; });
    binding.action("want-assigned",
                   [](GroupStateMachine &machine) { machine.target_ = MemberTarget::Assigned; });
    binding.action("want-drained",
                   [](GroupStateMachine &machine) { machine.target_ = MemberTarget::Drained; });
    binding.action("ask-members",
                   [](GroupStateMachine &machine) { machine.verifyingSince_ = machine.now_; });
    binding.action("record-serving", [](GroupStateMachine &machine) {
        machine.record(events::groupServing, "verified");
    });
    binding.action("record-degraded", [](GroupStateMachine &machine) {
        machine.record(events::groupDegraded, machine.cause_);
    });
    binding.action("record-draining", [](GroupStateMachine &machine) {
        machine.record(events::groupDraining, machine.row_.reason_);
    });
    binding.action("record-dissolved", [](GroupStateMachine &machine) {
        machine.record(events::groupDissolved, "done");
    });
    return chart::bind(chart, std::move(binding));
}

void GroupStateMachine::handle(std::string_view event, TimePoint now)
{
    now_ = now;
    const std::string_view before = machine_.state();
    machine_.handle(*this, event);
    if (machine_.state() != before)
        phaseSince_ = now;
}

GroupPhase GroupStateMachine::phase() const
{
    return groupPhase(machine_.state()).value_or(GroupPhase::Dissolved);
}

void GroupStateMachine::record(const char *event, std::string choice)
{
    decisions_.record({now_,
                       event,
                       row_.group_.text(),
                       std::move(choice),
                       {{"generation", std::to_string(row_.generation_.value())},
                        {"domain", row_.domain_.text()}},
                       {}});
}

} // namespace cardamombay::groups
