#include <cardamombay/serving/endpoint.hpp>

#include <algorithm>
#include <charconv>

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

std::string EndpointIncarnation::text() const
{
    return startedAt_ == 0 ? id_.text() : id_.text() + "@" + std::to_string(startedAt_);
}

EndpointIncarnation EndpointIncarnation::parse(std::string_view text)
{
    const auto place = text.rfind('@');
    if (place == std::string_view::npos)
        return {VmId(text), 0};
    EndpointIncarnation result{VmId(text.substr(0, place)), 0};
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + place + 1, end, result.startedAt_);
    return read.ec == std::errc() && read.ptr == end ? result : EndpointIncarnation{VmId(text), 0};
}

} // namespace cardamombay::serving
