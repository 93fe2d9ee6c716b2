#include <cardamombay/net/http_client.hpp>

#include <algorithm>
#include <cctype>

namespace cardamombay::net {

namespace {

bool isSameIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
               == std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

std::string HttpResponse::field(std::string_view name) const
{
    for (const auto &field : fields_) {
        if (isSameIgnoringCase(field.name_, name))
            return field.value_;
    }
    return {};
}

} // namespace cardamombay::net
