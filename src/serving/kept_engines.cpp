#include <cardamombay/serving/kept_engines.hpp>

#include <cardamombay/serving/group_view.hpp>

#include <iterator>

namespace cardamombay::serving {

void KeptEngines::record(const PlannedOrder &planned, std::span<const Endpoint *const> engines,
                         TimePoint now)
{
    const auto *close = std::get_if<CloseOrder>(&planned.order_);
    if (close == nullptr || planned.takenFor_.isEmpty())
        return;
    for (const auto *engine : engines) {
        if (engine->membership_ && engine->membership_->group_ == close->group_)
            entries_[engine->id_]
                = {planned.takenFor_, close->group_, engine->startedAt_, now, now};
    }
}

void KeptEngines::update(std::span<const Endpoint *const> engines, TimePoint now)
{
    if (entries_.empty())
        return;
    std::map<VmId, const Endpoint *> listed;
    std::set<GroupName> open;
    for (const auto *engine : engines) {
        listed.emplace(engine->id_, engine);
        if (engine->membership_ && engine->membership_->isHead()
            && engine->membership_->state_ == MemberState::Open)
            open.insert(engine->membership_->group_);
    }
    const auto isOver = [&](const VmId &id, Entry &entry) {
        const auto found = listed.find(id);
        if (found == listed.end() || found->second->startedAt_ != entry.startedAt_)
            return true;
        const auto &membership = found->second->membership_;
        if (!membership || isWarmUp(membership->group_))
            return now - entry.lastInGroup_ >= keepTime;
        if (membership->group_ != entry.group_)
            return true;
        entry.lastInGroup_ = now;
        return open.contains(entry.group_) && now - entry.closedAt_ >= closeEffectTime;
    };
    for (auto one = entries_.begin(); one != entries_.end();)
        one = isOver(one->first, one->second) ? entries_.erase(one) : std::next(one);
}

std::map<VmId, ModelName> KeptEngines::models() const
{
    std::map<VmId, ModelName> result;
    for (const auto &[engine, entry] : entries_)
        result.emplace(engine, entry.model_);
    return result;
}

} // namespace cardamombay::serving
