/// \file
/// \brief Where the platform's service listens and how long a call may take.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

namespace cardamombay::platform {

/// \brief Address and timeout shared by the HTTP clients of the platform.
struct HttpEndpoint
{
    Address address_;
    Duration timeout_ = std::chrono::seconds(2); ///< For one whole call.
};

} // namespace cardamombay::platform
