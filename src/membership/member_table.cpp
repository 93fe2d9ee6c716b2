#include <cardamombay/membership/member_table.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>

namespace cardamombay::membership {

namespace {

constexpr std::string_view aliveState = "alive";
constexpr std::string_view suspectState = "suspect";
constexpr std::string_view deadState = "dead";
constexpr std::string_view leftState = "left";

constexpr std::string_view heardEvent = "heard";
constexpr std::string_view probeFailedEvent = "probe-failed";
constexpr std::string_view expiredEvent = "suspicion-expired";

std::string_view reportEvent(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Suspect:
        return "reported-suspect";
    case MemberStatus::Dead:
        return "reported-dead";
    case MemberStatus::Left:
        return "reported-left";
    case MemberStatus::Alive:
        break;
    }
    return "reported-alive";
}

MemberStatus statusOf(std::string_view state)
{
    if (state == suspectState)
        return MemberStatus::Suspect;
    if (state == deadState)
        return MemberStatus::Dead;
    return state == leftState ? MemberStatus::Left : MemberStatus::Alive;
}

void adopt(MemberEvent &event)
{
    const ConfigVersion version = event.member_->entry_.configVersion_;
    event.member_->entry_ = *event.report_;
    event.member_->entry_.configVersion_ = std::max(version, event.report_->configVersion_);
}

} // namespace

Result<MemberProgramPtr> makeMemberProgram(const chart::Chart &chart)
{
    chart::Binding<MemberEvent> binding;
    binding.state(aliveState).state(suspectState).state(deadState).state(leftState);
    binding.events({"reported-alive", "reported-suspect", "reported-dead", "reported-left",
                    heardEvent, probeFailedEvent, expiredEvent});
    binding.guard("is-newer", [](const MemberEvent &event) {
        return event.report_->incarnation_ > event.member_->entry_.incarnation_;
    });
    binding.guard("is-older", [](const MemberEvent &event) {
        return event.report_->incarnation_ < event.member_->entry_.incarnation_;
    });
    binding.guard("is-evident", [](const MemberEvent &event) {
        return event.member_->heardAt_ >= event.member_->statusSince_;
    });
    binding.action("adopt", adopt);
    return chart::bind(chart, std::move(binding));
}

bool isLive(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

std::uint64_t memberHash(const EntryId &id, Incarnation incarnation)
{
    return stableHash(id.text(), incarnation.value());
}

bool MemberTable::apply(const MemberEntry &report, TimePoint now)
{
    const auto [place, isNew] = members_.try_emplace(report.id_);
    Member &member = place->second;
    if (isNew) {
        member.entry_ = report;
        member.entry_.status_ = MemberStatus::Alive;
        member.statusSince_ = now;
        machines_.emplace(report.id_, chart::Machine<MemberEvent>(program_));
        updateRegion(member.entry_, true, now);
    }
    const bool isChanged = dispatch(report.id_, reportEvent(report.status_), &report, now);
    if (report.incarnation_ == member.entry_.incarnation_) {
        member.entry_.configVersion_
            = std::max(member.entry_.configVersion_, report.configVersion_);
    }
    return isNew || isChanged;
}

bool MemberTable::suspect(const EntryId &id, TimePoint now)
{
    return dispatch(id, probeFailedEvent, nullptr, now);
}

bool MemberTable::declareDead(const EntryId &id, TimePoint now)
{
    return dispatch(id, expiredEvent, nullptr, now);
}

bool MemberTable::heard(const EntryId &id, Incarnation incarnation, TimePoint when, TimePoint now)
{
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.entry_.incarnation_ > incarnation)
        return false;
    found->second.heardAt_ = std::max(found->second.heardAt_, when);
    return dispatch(id, heardEvent, nullptr, now);
}

bool MemberTable::dispatch(const EntryId &id, std::string_view event, const MemberEntry *report,
                           TimePoint now)
{
    const auto found = members_.find(id);
    if (found == members_.end())
        return false;
    Member &member = found->second;
    const MemberEntry before = member.entry_;
    chart::Machine<MemberEvent> &machine = machines_.at(id);
    MemberEvent context{&member, report};
    if (machine.handle(context, event) != chart::Handled::Taken)
        return false;
    member.entry_.status_ = statusOf(machine.state());
    member.statusSince_ = now;
    updateRegion(before, false, now);
    updateRegion(member.entry_, true, now);
    if (member.entry_.status_ == MemberStatus::Suspect)
        suspects_.insert(id);
    else
        suspects_.erase(id);
    return true;
}

void MemberTable::extendSuspicions(Duration gap)
{
    for (const EntryId &id : suspects_)
        members_.at(id).statusSince_ += gap;
}

void MemberTable::purgeBefore(TimePoint limit)
{
    std::erase_if(members_, [this, limit](const auto &item) {
        const Member &member = item.second;
        const bool isForgotten = !isLive(member.entry_.status_) && member.statusSince_ < limit;
        if (isForgotten)
            machines_.erase(item.first);
        return isForgotten;
    });
}

const Member *MemberTable::find(const EntryId &id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

std::uint64_t MemberTable::regionHash(const RegionName &region) const
{
    const auto found = regions_.find(region);
    return found == regions_.end() ? 0 : found->second.hash_;
}

TimePoint MemberTable::regionChangedAt(const RegionName &region) const
{
    const auto found = regions_.find(region);
    return found == regions_.end() ? TimePoint{} : found->second.changedAt_;
}

std::vector<RegionName> MemberTable::regions() const
{
    std::vector<RegionName> names;
    names.reserve(regions_.size());
    for (const auto &[name, region] : regions_)
        names.push_back(name);
    return names;
}

void MemberTable::updateRegion(const MemberEntry &entry, bool isAdded, TimePoint now)
{
    Region &region = regions_[entry.region_];
    region.changedAt_ = now;
    if (!isLive(entry.status_))
        return;
    region.hash_ ^= memberHash(entry.id_, entry.incarnation_);
    aliveCount_ += isAdded ? 1 : -1;
}

} // namespace cardamombay::membership
