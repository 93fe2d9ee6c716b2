#include "zone_snapshot.hpp"

#include <algorithm>

namespace cardamombay::groups::impl {

using endpoint::EndpointState;
using endpoint::EnginePhase;

ZoneSnapshot::ZoneSnapshot(const PlanInput &input, const OrderSender &sender, TimePoint now,
                           const ManagerSettings &settings)
{
    for (const platform::VmRecord &record : input.vms_) {
        if (record.role_ != platform::VmRole::Engine || record.zone_ != input.zone_)
            continue;
        VmObservation observation = input.view_->observe(record.id_);
        observation.isLeaving_ |= record.status_ == platform::VmStatus::Leaving;
        const DirectReply *directReply = sender.latestReply(record.id_);
        const bool isNewer
            = directReply != nullptr
              && (!observation.state_ || directReply->askedAt_ > observation.heardAt_);
        if (isNewer) {
            observation.state_ = directReply->state_;
            observation.heardAt_ = directReply->askedAt_;
            observation.isFresh_ |= now < directReply->askedAt_ + settings.replyFreshFor_;
        }
        vms_.insert_or_assign(record.id_, ZoneVm{record, std::move(observation)});
    }
}

const ZoneVm *ZoneSnapshot::vm(const VmId &vm) const
{
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

MemberStatus ZoneSnapshot::memberStatus(const GroupRow &row, const VmId &member) const
{
    const ZoneVm *zoneVm = vm(member);
    if (zoneVm == nullptr || !zoneVm->isHealthy())
        return MemberStatus::Lost;
    const EndpointState &state = *zoneVm->observation_.state_;
    if (!state.assignment_)
        return MemberStatus::Unassigned;
    const endpoint::Assignment wanted{row.group_, row.generation_, row.rankOf(member).value_or(0)};
    if (*state.assignment_ != wanted)
        return MemberStatus::OtherFormation;
    if (state.phase_ == EnginePhase::Loading)
        return MemberStatus::Loading;
    return row.isMatchedBy(state) ? MemberStatus::Ready : MemberStatus::Mismatched;
}

std::size_t ZoneSnapshot::count(const GroupRow &row, MemberStatus wanted) const
{
    const auto matches = [&](const VmId &member) { return memberStatus(row, member) == wanted; };
    return static_cast<std::size_t>(
        std::count_if(row.members_.begin(), row.members_.end(), matches));
}

} // namespace cardamombay::groups::impl
