#include <cardamombay/watching/veto_table.hpp>

#include <algorithm>

namespace cardamombay::watching {

namespace {

/// A veto is sent in several digests at first, since one may be lost and a delay is costly.
constexpr std::uint32_t initialAnnouncements = 3;

bool isOdd(std::uint64_t count)
{
    return (count & 1U) != 0;
}

} // namespace

bool VetoTable::mark(const VmId &vm, Incarnation incarnation, TimePoint when)
{
    Veto &veto = vetoes_[vm];
    if (isOdd(veto.count_))
        return false;
    ++veto.count_;
    veto.incarnation_ = incarnation;
    veto.isIncarnationFromLater_ = false;
    veto.since_ = when;
    veto.announcements_.clear();
    return true;
}

bool VetoTable::lift(const VmId &vm, TimePoint now)
{
    const auto found = vetoes_.find(vm);
    if (found == vetoes_.end() || !isOdd(found->second.count_))
        return false;
    ++found->second.count_;
    found->second.since_ = now;
    found->second.announcements_.clear();
    return true;
}

bool VetoTable::merge(std::span<const membership::LeavingEntry> entries, TimePoint now)
{
    bool isChanged = false;
    for (const membership::LeavingEntry &entry : entries) {
        Veto &veto = vetoes_[entry.vm_];
        if (entry.count_ <= veto.count_)
            continue;
        isChanged |= isOdd(entry.count_) != isOdd(veto.count_);
        veto.count_ = entry.count_;
        veto.incarnation_ = entry.incarnation_;
        veto.isIncarnationFromLater_ = false;
        veto.since_ = now - entry.age_;
        veto.announcements_.clear();
    }
    return isChanged;
}

bool VetoTable::isLeaving(const VmId &vm) const
{
    const auto found = vetoes_.find(vm);
    return found != vetoes_.end() && isOdd(found->second.count_);
}

void VetoTable::recordIncarnation(const VmId &vm, Incarnation incarnation)
{
    const auto found = vetoes_.find(vm);
    if (found == vetoes_.end() || !found->second.incarnation_.isNone())
        return;
    found->second.incarnation_ = incarnation;
    found->second.isIncarnationFromLater_ = true;
}

bool VetoTable::beganWithUnknownIncarnation(const VmId &vm) const
{
    const auto found = vetoes_.find(vm);
    return found != vetoes_.end() && isOdd(found->second.count_)
           && (found->second.isIncarnationFromLater_ || found->second.incarnation_.isNone());
}

bool VetoTable::isReplaced(const VmId &vm, Incarnation incarnation, TimePoint listTakenAt) const
{
    const auto found = vetoes_.find(vm);
    if (found == vetoes_.end() || !isOdd(found->second.count_))
        return false;
    const Veto &veto = found->second;
    return !veto.incarnation_.isNone() && incarnation > veto.incarnation_
           && listTakenAt > veto.since_;
}

TimePoint VetoTable::leavingSince(const VmId &vm) const
{
    return isLeaving(vm) ? vetoes_.at(vm).since_ : TimePoint{};
}

std::vector<VmId> VetoTable::leaving() const
{
    std::vector<VmId> vms;
    for (const auto &[vm, veto] : vetoes_) {
        if (isOdd(veto.count_))
            vms.push_back(vm);
    }
    return vms;
}

void VetoTable::appendTo(membership::Digest &digest, TimePoint now, Duration repeat)
{
    for (auto &[vm, veto] : vetoes_) {
        Announcement &announcement = veto.announcements_[digest.to_];
        if (announcement.sentCount_ >= initialAnnouncements
            && now - announcement.lastSentAt_ < repeat)
            continue;
        ++announcement.sentCount_;
        announcement.lastSentAt_ = now;
        const Incarnation known = veto.isIncarnationFromLater_ ? Incarnation() : veto.incarnation_;
        digest.leaving_.push_back(
            membership::LeavingEntry{vm, now - veto.since_, veto.count_, known});
    }
}

void VetoTable::forget(const std::set<VmId> &listed, TimePoint limit)
{
    std::erase_if(vetoes_, [&](const auto &item) {
        return !listed.contains(item.first) && item.second.since_ < limit;
    });
}

} // namespace cardamombay::watching
