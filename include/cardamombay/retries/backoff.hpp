/// \file
/// \brief Jittered exponential back-off.
/// \details Decides how long the next attempt waits, with jitter from a seeded Random so that entry
/// VMs do not retry in step. It starts nothing.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::retries {

/// \brief Settings of a back-off.
struct BackoffPolicy
{
    Duration base_ = std::chrono::milliseconds(25);
    Duration maximum_ = std::chrono::seconds(2);
};

/// \brief Delays that double, drawn from the upper half of each step so that retries spread.
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed, BackoffPolicy policy = {});

    /// \brief Delay before retry number \p retry, counted from 1.
    [[nodiscard]] Duration delay(std::uint32_t retry);

private:
    BackoffPolicy policy_;
    Random random_;
};

} // namespace cardamombay::retries
