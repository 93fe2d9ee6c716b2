#include <cardamombay/groups/group_life.hpp>

#include <cardamombay/groups/events.hpp>

#include <utility>

namespace cardamombay::groups {

GroupLife::GroupLife(GroupRow row, GroupProgramPtr program, DecisionSink &decisions, TimePoint now)
    : row_(std::move(row))
    , machine_(std::move(program))
    , decisions_(decisions)
    , now_(now)
    , phaseSince_(now)
{
}

Result<GroupProgramPtr> GroupLife::bind(const chart::Chart &chart)
{
    chart::Binding<GroupLife> binding;
    for (std::size_t phase = 0; phase <= static_cast<std::size_t>(GroupPhase::Dissolved); ++phase)
        binding.state(nameOf(static_cast<GroupPhase>(phase)));
    binding.events({"load-permitted", "members-ready", "verified", "member-lost",
                    "member-mismatched", "stop-due", "drain-committed", "drained",
                    "dissolve-requested", "dissolve-committed"});
    binding.action("want-nothing", [](GroupLife &life) { life.target_ = MemberTarget::Nothing; });
    binding.action("want-assigned", [](GroupLife &life) { life.target_ = MemberTarget::Assigned; });
    binding.action("want-drained", [](GroupLife &life) { life.target_ = MemberTarget::Drained; });
    binding.action("ask-members", [](GroupLife &life) { life.askedSince_ = life.now_; });
    binding.action("record-serving",
                   [](GroupLife &life) { life.record(events::groupServing, "verified"); });
    binding.action("record-degraded",
                   [](GroupLife &life) { life.record(events::groupDegraded, life.cause_); });
    binding.action("record-draining",
                   [](GroupLife &life) { life.record(events::groupDraining, life.row_.reason_); });
    binding.action("record-dissolved",
                   [](GroupLife &life) { life.record(events::groupDissolved, "done"); });
    return chart::bind(chart, std::move(binding));
}

void GroupLife::handle(std::string_view event, TimePoint now)
{
    now_ = now;
    const std::string_view before = machine_.state();
    machine_.handle(*this, event);
    if (machine_.state() != before)
        phaseSince_ = now;
}

GroupPhase GroupLife::phase() const
{
    return groupPhase(machine_.state()).value_or(GroupPhase::Dissolved);
}

void GroupLife::record(const char *event, std::string choice)
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
