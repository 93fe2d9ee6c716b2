/// \file
/// \brief What an endpoint says of itself in the head of an answer, decoded from the wire.
#pragma once

#include <cardamombay/core/time.hpp>

#include <optional>

namespace cardamombay::serving {

/// \brief Notices in one answer. Filled by the dialect; what they mean is decided by
/// EndpointNotices.
struct AnswerNotices
{
    /// Requests a second that the endpoint takes from all entry VMs together; absent if it names no
    /// such limit, or one that cannot be read.
    std::optional<double> requestsPerSecond_;
    bool isLimitUnreadable_ = false; ///< It names a limit that is no usable number.
    /// The endpoint turned the request away and wants nothing from this entry VM for so long;
    /// absent if it does not ask for that, or in a form that cannot be read.
    std::optional<Duration> cooldown_;
    bool isCooldownUnreadable_ = false;
    bool isLeaving_ = false; ///< The endpoint stops soon.
};

} // namespace cardamombay::serving
