#include <cardamombay/serving/endpoint.hpp>

#include <algorithm>

namespace cardamombay::serving {

std::string_view nameOf(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Ready:
        return "ready";
    case MemberState::Open:
        return "open";
    case MemberState::Closing:
        return "closing";
    case MemberState::Broken:
        break;
    }
    return "broken";
}

bool Endpoint::hasStaged(const ModelName &model) const
{
    return std::find(staged_.begin(), staged_.end(), model) != staged_.end();
}

std::string EndpointLife::text() const
{
    return bornAt_ == 0 ? id_.text() : id_.text() + "@" + std::to_string(bornAt_);
}

} // namespace cardamombay::serving
