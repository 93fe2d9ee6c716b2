#include <cardamombay/membership/member_table.hpp>

#include <cardamombay/core/hash.hpp>

#include <algorithm>

namespace cardamombay::membership {

namespace {

/// True if a report of \p incoming counts over what is known of the same incarnation.
bool outranks(MemberStatus incoming, MemberStatus known)
{
    return static_cast<int>(incoming) > static_cast<int>(known);
}

} // namespace

bool isLive(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

std::uint64_t memberHash(const EntryId &id, Incarnation incarnation)
{
    return stableHash(id.text(), incarnation.value());
}

TableChange MemberTable::apply(const MemberEntry &report, TimePoint now)
{
    const auto [place, isNew] = members_.try_emplace(report.id_);
    Member &member = place->second;
    if (isNew) {
        member.entry_ = report;
        member.statusSince_ = now;
        account(report, true, now);
        return TableChange::Changed;
    }
    MemberEntry &known = member.entry_;
    const bool isNewer = report.incarnation_ > known.incarnation_;
    const bool isSame = report.incarnation_ == known.incarnation_;
    if (isNewer || (isSame && outranks(report.status_, known.status_))) {
        const auto version = std::max(known.configVersion_, report.configVersion_);
        account(known, false, now);
        if (known.status_ != report.status_ || isNewer)
            member.statusSince_ = now;
        known = report;
        known.configVersion_ = version;
        account(known, true, now);
        return TableChange::Changed;
    }
    if (isSame && report.configVersion_ > known.configVersion_) {
        known.configVersion_ = report.configVersion_;
        return TableChange::Minor;
    }
    return TableChange::None;
}

TableChange MemberTable::suspect(const EntryId &id, TimePoint now)
{
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.entry_.status_ != MemberStatus::Alive)
        return TableChange::None;
    setStatus(found->second, MemberStatus::Suspect, now);
    return TableChange::Changed;
}

TableChange MemberTable::declareDead(const EntryId &id, TimePoint now)
{
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.entry_.status_ != MemberStatus::Suspect)
        return TableChange::None;
    setStatus(found->second, MemberStatus::Dead, now);
    return TableChange::Changed;
}

bool MemberTable::heard(const EntryId &id, Incarnation incarnation, TimePoint when, TimePoint now)
{
    const auto found = members_.find(id);
    if (found == members_.end() || found->second.entry_.incarnation_ > incarnation)
        return false;
    Member &member = found->second;
    member.heardAt_ = std::max(member.heardAt_, when);
    const bool wasSuspect = member.entry_.status_ == MemberStatus::Suspect;
    if (!wasSuspect || when < member.statusSince_)
        return false;
    setStatus(member, MemberStatus::Alive, now);
    return true;
}

void MemberTable::postpone(Duration gap)
{
    for (auto &[id, member] : members_) {
        if (member.entry_.status_ == MemberStatus::Suspect)
            member.statusSince_ += gap;
    }
}

void MemberTable::forgetBefore(TimePoint limit)
{
    std::erase_if(members_, [limit](const auto &item) {
        const Member &member = item.second;
        return !isLive(member.entry_.status_) && member.statusSince_ < limit;
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

void MemberTable::account(const MemberEntry &entry, bool isAdded, TimePoint now)
{
    Region &region = regions_[entry.region_];
    region.changedAt_ = now;
    if (!isLive(entry.status_))
        return;
    region.hash_ ^= memberHash(entry.id_, entry.incarnation_);
    aliveCount_ += isAdded ? 1 : -1;
}

void MemberTable::setStatus(Member &member, MemberStatus status, TimePoint now)
{
    account(member.entry_, false, now);
    member.entry_.status_ = status;
    member.statusSince_ = now;
    account(member.entry_, true, now);
}

} // namespace cardamombay::membership
