/// \file
/// \brief Error answers to callers: RFC 9457 problem bodies that name the outcome.
/// \details Decides status and body of an error from its outcome. It guards the promise that "not
/// run" means not run: an unknown outcome is told as unknown.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/http_client.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <string>

namespace cardamombay::traffic {

/// \brief Field that names the request in every answer.
inline constexpr const char *requestIdField = "X-Request-Id";
/// \brief Field, or trailer of a stream, that tells the outcome.
inline constexpr const char *outcomeField = "X-Outcome";

/// \brief Why a caller gets no answer of an endpoint.
struct Problem
{
    std::uint32_t status_ = 500;
    std::string type_; ///< Short name such as "unknown-service"; listed in the operators' pages.
    std::string title_;
    std::string detail_;
    std::string remedy_;
    outcomes::Outcome outcome_ = outcomes::Outcome::NotRun;
    Duration retryAfter_{}; ///< Zero if trying again later would not help.
};

/// \brief The problem as an HTTP response.
[[nodiscard]] net::HttpResponse problemResponse(const Problem &problem, const RequestId &request);

/// \brief The problem as a server-sent event, for a stream that has begun.
[[nodiscard]] std::string problemEvent(const Problem &problem, const RequestId &request);

} // namespace cardamombay::traffic
