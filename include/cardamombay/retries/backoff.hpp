/// \file
/// \brief Jittered exponential backoff.
/// \details Computes the delay before the next attempt. The jitter comes from a seeded Random, so
/// that entry VMs do not retry at the same time.
#pragma once

#include <cardamombay/core/random.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>

namespace cardamombay::retries {

/// \brief Settings of a backoff.
struct BackoffPolicy
{
    Duration base_ = std::chrono::milliseconds(25);
    Duration maximum_ = std::chrono::seconds(2);
};

/// \brief Exponential delays, each drawn uniformly from the upper half of its step.
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
