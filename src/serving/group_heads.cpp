#include <cardamombay/serving/group_heads.hpp>

#include <utility>

namespace cardamombay::serving {

void GroupHeads::update(std::span<const Endpoint *const> engines)
{
    std::map<GroupName, VmId> heads;
    for (const auto *engine : engines) {
        if (!engine->membership_)
            continue;
        const auto &membership = *engine->membership_;
        const auto known = heads_.find(membership.group_);
        if (membership.isHead())
            heads.insert_or_assign(membership.group_, engine->id_);
        else if (known != heads_.end())
            heads.insert(*known);
    }
    heads_ = std::move(heads);
}

std::set<GroupName> GroupHeads::released(std::span<const Endpoint *const> engines) const
{
    std::map<VmId, GroupName> listed;
    for (const auto *engine : engines)
        listed.emplace(engine->id_,
                       engine->membership_ ? engine->membership_->group_ : GroupName());
    std::set<GroupName> result;
    for (const auto &[group, head] : heads_) {
        const auto found = listed.find(head);
        if (found != listed.end() && found->second != group)
            result.insert(group);
    }
    return result;
}

} // namespace cardamombay::serving
