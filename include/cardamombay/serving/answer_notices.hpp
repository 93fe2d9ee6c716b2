/// \file
/// \brief Endpoint notices decoded from a response head.
#pragma once

#include <cardamombay/core/time.hpp>

#include <optional>

namespace cardamombay::serving {

/// \brief Notices of one response. Filled in by the dialect and interpreted by EndpointNotices.
struct AnswerNotices
{
    /// Rate limit in requests per second for all entry VMs together; absent if missing or
    /// malformed.
    std::optional<double> requestsPerSecond_;
    bool isLimitUnreadable_ = false; ///< The rate limit is present but malformed.
    /// How long this entry VM must send nothing, as requested by an endpoint that refused the
    /// request; absent if missing or malformed.
    std::optional<Duration> cooldown_;
    bool isCooldownUnreadable_ = false;
    bool isLeaving_ = false; ///< The endpoint is shutting down.
};

} // namespace cardamombay::serving
