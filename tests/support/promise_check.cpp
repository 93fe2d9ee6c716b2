#include "support/promise_check.hpp"

#include <algorithm>

namespace cardamombay::support {

namespace {

constexpr Duration freshness = watching::WatchSettings().freshnessWindow_;
constexpr Duration granularity
    = std::chrono::milliseconds(100); ///< Steps in which truth is renewed.
constexpr Duration leavingLimit = std::chrono::seconds(3);

} // namespace

std::string PromiseCheck::check()
{
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        const auto &entry = fleet_.entry(index);
        if (!entry.isRunning())
            continue;
        const auto fault = checkUsable(entry);
        if (!fault.empty())
            return entry.id_.text() + " " + fault;
    }
    for (const auto &fault : {checkExclusive(), checkLeases(), checkVersions()}) {
        if (!fault.empty())
            return fault;
    }
    return {};
}

std::string PromiseCheck::checkUsable(const ControlEntry &entry) const
{
    for (const auto &service : entry.node_->snapshot()->services_) {
        for (const auto &group : service.groups_) {
            if (!group.isUsable(fleet_.clock_.now()))
                continue;
            for (const VmId &member : group.members_) {
                const auto fault = checkMember(entry, group, member);
                if (!fault.empty())
                    return "uses " + group.group_.text() + " generation "
                           + std::to_string(group.generation_.value()) + " although "
                           + member.text() + " " + fault;
            }
        }
    }
    return {};
}

std::string PromiseCheck::checkMember(const ControlEntry &entry,
                                      const routing::SnapshotGroup &group, const VmId &member) const
{
    const TimePoint now = fleet_.clock_.now();
    const auto &truth = fleet_.truth(member);
    const auto &held = truth.state_.assignment_;
    const bool isHeld = held && held->group_ == group.group_
                        && held->generation_ == group.generation_
                        && truth.state_.phase_ == endpoint::EnginePhase::Ready;
    const bool isOut = truth.isDead_ || truth.isPaused_ || !isHeld;
    if (isOut && now - truth.changedAt_ > freshness + granularity)
        return truth.isDead_     ? "is dead"
               : truth.isPaused_ ? "stands still"
                                 : "holds something else";
    const auto leaving = fleet_.leaving().find(member);
    if (leaving == fleet_.leaving().end())
        return {};
    const TimePoint couldHear = std::max(leaving->second, entry.runsSince_);
    return now - couldHear > leavingLimit ? "is leaving" : "";
}

std::string PromiseCheck::checkExclusive() const
{
    std::map<VmId, GroupId> groupOf;
    for (const auto &row : fleet_.groupRows()) {
        if (row.isFreeSlot())
            continue;
        for (const VmId &member : row.members_) {
            const auto [place, isNew] = groupOf.emplace(member, row.group_);
            if (!isNew)
                return member.text() + " is in " + place->second.text() + " and in "
                       + row.group_.text();
            if (!fleet_.isRowOf(member, row))
                return "the row of " + member.text() + " does not name " + row.group_.text();
        }
    }
    return {};
}

/// A process that stands still still believes in its lease; asked at its wake it does not.
std::string PromiseCheck::checkLeases() const
{
    std::map<FabricDomain, EntryId> holders;
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        const auto &entry = fleet_.entry(index);
        if (!entry.node_)
            continue;
        for (const auto *lease : entry.node_->planner().heldLeases()) {
            const auto [place, isNew] = holders.emplace(lease->domain(), entry.id_);
            if (!isNew)
                return place->second.text() + " and " + entry.id_.text() + " both plan "
                       + lease->domain().text();
        }
    }
    return {};
}

std::string PromiseCheck::checkVersions()
{
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
        const auto &entry = fleet_.entry(index);
        if (!entry.node_ || !entry.node_->configuration().current())
            continue;
        const auto version = entry.node_->configuration().version();
        if (version < seen_[index])
            return entry.id_.text() + " went back to version " + std::to_string(version.value());
        seen_[index] = version;
    }
    return {};
}

} // namespace cardamombay::support
