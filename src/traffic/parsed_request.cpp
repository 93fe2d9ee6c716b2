#include <cardamombay/traffic/parsed_request.hpp>

#include <cardamombay/core/hash.hpp>

namespace cardamombay::traffic {

namespace {

constexpr std::uint64_t seedMask = 0x7fffffff; ///< Engines take seeds as signed 32-bit numbers.

} // namespace

std::uint64_t contentHash(const ParsedRequest &request)
{
    const auto line = stableHash(request.method_ + " " + request.target_);
    return stableHash(request.body_, line);
}

std::string attemptBody(const ParsedRequest &request, std::uint64_t resumeFrom)
{
    const bool isModel = request.kind_ == config::ServiceKind::Model;
    const auto end = request.body_.rfind('}');
    if (!isModel || end == std::string::npos)
        return request.body_;
    std::string body = request.body_.substr(0, end);
    // Attempts can only go on from each other if all of them draw the same tokens.
    if (!request.hasSeed_)
        body += ",\"seed\":" + std::to_string(stableHash(request.id_.text()) & seedMask);
    if (resumeFrom != 0)
        body += ",\"resume_from\":" + std::to_string(resumeFrom);
    body += '}';
    return body;
}

} // namespace cardamombay::traffic
