#include "domain_view.hpp"

#include <algorithm>

namespace cardamombay::groups::impl {

using endpoint::EndpointState;
using endpoint::EnginePhase;

DomainView::DomainView(const PlanInput &input, const OrderDesk &desk, TimePoint now,
                       const ManagerSettings &settings)
{
    for (const platform::VmRecord &record : input.vms_) {
        if (record.role_ != platform::VmRole::Engine || record.zone_ != input.zone_)
            continue;
        VmObservation observation = input.view_->observe(record.id_);
        observation.isLeaving_ |= record.status_ == platform::VmStatus::Leaving;
        const OwnAnswer *own = desk.answer(record.id_);
        const bool isNewer
            = own != nullptr && (!observation.state_ || own->askedAt_ > observation.heardAt_);
        if (isNewer) {
            observation.state_ = own->state_;
            observation.heardAt_ = own->askedAt_;
            observation.isFresh_ |= now < own->askedAt_ + settings.trustAnswerFor_;
        }
        vms_.insert_or_assign(record.id_, ZoneVm{record, std::move(observation)});
    }
}

const ZoneVm *DomainView::vm(const VmId &vm) const
{
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

MemberStanding DomainView::standing(const GroupRow &row, const VmId &member) const
{
    const ZoneVm *zoneVm = vm(member);
    if (zoneVm == nullptr || !zoneVm->isHealthy())
        return MemberStanding::Lost;
    const EndpointState &state = *zoneVm->observation_.state_;
    if (!state.assignment_)
        return MemberStanding::Unassigned;
    const endpoint::Assignment wanted{row.group_, row.generation_, row.rankOf(member).value_or(0)};
    if (*state.assignment_ != wanted)
        return MemberStanding::Foreign;
    if (state.phase_ == EnginePhase::Loading)
        return MemberStanding::Loading;
    return row.isMatchedBy(state) ? MemberStanding::Ready : MemberStanding::Void;
}

std::size_t DomainView::count(const GroupRow &row, MemberStanding wanted) const
{
    const auto matches = [&](const VmId &member) { return standing(row, member) == wanted; };
    return static_cast<std::size_t>(
        std::count_if(row.members_.begin(), row.members_.end(), matches));
}

} // namespace cardamombay::groups::impl
