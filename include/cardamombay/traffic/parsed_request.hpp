/// \file
/// \brief A caller's request once it is understood.
#pragma once

#include <cardamombay/config/configuration.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/http_client.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamombay::traffic {

/// \brief What the request path needs to know of a request.
struct ParsedRequest
{
    RequestId id_;
    ServiceName service_;
    config::ServiceKind kind_ = config::ServiceKind::Model;
    TeamName team_;
    std::string method_;
    std::string target_;
    std::vector<net::HttpField> forwarded_; ///< Fields that go on to the endpoint.
    std::string body_;
    bool isStream_ = false;
    bool isIdempotent_ = true;
    IdempotencyKey key_; ///< Empty if the caller gave none.
    bool hasSeed_ = false;
    std::uint32_t priority_ = 100;
    TimePoint deadline_{TimePoint::max()};
    std::vector<std::uint64_t> prefixHashes_;
    std::string traceparent_; ///< As the caller sent it.

    /// \brief True if the request must be claimed before its hand-over.
    [[nodiscard]] bool needsClaim() const { return !isIdempotent_ && !key_.isEmpty(); }

    [[nodiscard]] outcomes::RequestSafety safety() const
    {
        return {isIdempotent_, !key_.isEmpty()};
    }
};

/// \brief Hash of what makes two requests with one idempotency key the same request.
[[nodiscard]] std::uint64_t contentHash(const ParsedRequest &request);

/// \brief The body for one attempt.
/// \param request the request; its body is a JSON object if it is for a model.
/// \param resumeFrom tokens that the caller has received from earlier attempts.
/// \returns the caller's text with the sampling seed and the resume position put in.
[[nodiscard]] std::string attemptBody(const ParsedRequest &request, std::uint64_t resumeFrom);

} // namespace cardamombay::traffic
