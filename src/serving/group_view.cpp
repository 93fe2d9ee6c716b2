#include <cardamombay/serving/group_view.hpp>

#include <algorithm>
#include <map>

namespace cardamombay::serving {

namespace {

constexpr char warmUpMark = 'w'; ///< Precedes the epoch, which consists of digits only.

} // namespace

GroupName groupNameOf(const ModelName &model, std::uint64_t epoch)
{
    return GroupName(model.text() + "." + std::to_string(epoch));
}

GroupName warmUpNameOf(const ModelName &model, std::uint64_t epoch)
{
    return GroupName(model.text() + "." + warmUpMark + std::to_string(epoch));
}

bool isWarmUp(const GroupName &group)
{
    const std::string_view text = group.text();
    const auto dot = text.rfind('.');
    return dot != std::string_view::npos && text.substr(dot + 1).starts_with(warmUpMark);
}

ModelName modelOf(const GroupName &group)
{
    const std::string_view text = group.text();
    return ModelName(text.substr(0, text.rfind('.')));
}

bool GroupView::hasDrainingMember() const
{
    return std::any_of(members_.begin(), members_.end(),
                       [](const Endpoint *member) { return member->isDraining_; });
}

bool GroupView::spansDomains() const
{
    return std::any_of(members_.begin(), members_.end(), [this](const Endpoint *member) {
        return member->domain_ != members_.front()->domain_;
    });
}

MemberState GroupView::state() const
{
    return head_ == nullptr ? MemberState::Broken : head_->membership_->state_;
}

std::vector<GroupView> groupsOf(std::span<const Endpoint *const> endpoints)
{
    std::map<std::pair<GroupName, std::uint64_t>, GroupView> groups;
    for (const auto *endpoint : endpoints) {
        if (!endpoint->membership_)
            continue;
        const auto &membership = *endpoint->membership_;
        auto &view = groups[{membership.group_, membership.epoch_}];
        view.group_ = membership.group_;
        view.epoch_ = membership.epoch_;
        view.model_ = modelOf(membership.group_);
        view.members_.push_back(endpoint);
        if (membership.isHead())
            view.head_ = endpoint;
    }
    std::vector<GroupView> result;
    for (auto &[key, view] : groups) {
        std::sort(view.members_.begin(), view.members_.end(),
                  [](const Endpoint *left, const Endpoint *right) {
                      return left->membership_->rank_ < right->membership_->rank_;
                  });
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace cardamombay::serving
