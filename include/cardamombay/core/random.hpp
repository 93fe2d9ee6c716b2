/// \file
/// \brief Seeded random numbers; all randomness of decision logic comes through here.
/// \details Guards reproducibility: the same seed gives the same decisions. It is no source of
/// secrets.
#pragma once

#include <cstdint>
#include <random>

namespace cardamombay {

/// \brief Seeded generator; the same seed gives the same run.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// \brief Whole number in [0, bound); \p bound is at least 1.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine_);
    }

    /// \brief Number in [0, 1).
    [[nodiscard]] double unit() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

    /// \brief 64 random bits.
    [[nodiscard]] std::uint64_t bits() { return engine_(); }

private:
    std::mt19937_64 engine_;
};

} // namespace cardamombay
