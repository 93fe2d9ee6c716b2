/// \file
/// \brief Plays of callers beside requests with a deadly part of their prompts, over many seeds.
#pragma once

#include "support/crash_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>

namespace cardamombay::crashing {

/// \brief Sends that may follow three seconds after the fifth crash.
inline constexpr std::size_t maxLateSends = 3;
/// \brief Share of the sound requests that begin at the first attempt, compared to before.
inline constexpr double minFirstTryShare = 0.9;

/// \brief Sums and maxima over all seeds.
struct Totals
{
    std::size_t maxLate_ = 0; ///< In one run.
    std::size_t maxCrashed_ = 0;
    std::size_t quarantined_ = 0;
    std::size_t soundPartsJudged_ = 0;
    Share firstTryBefore_;
    Share firstTryAfter_;
    Share served_;

    [[nodiscard]] double firstTryShare() const
    {
        return firstTryAfter_.value() / firstTryBefore_.value();
    }
};

/// \brief Runs \p load with the seeds from 1 to \p seeds and prints the totals.
inline Totals simulateAll(const Load &load, std::uint64_t seeds, const char *name)
{
    Totals result;
    std::size_t crashed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto one = simulate(load, seed);
        result.maxLate_ = std::max(result.maxLate_, one.poisonLate_);
        result.maxCrashed_ = std::max(result.maxCrashed_, one.ended_);
        result.quarantined_ += one.quarantined_;
        result.soundPartsJudged_ += one.soundPartsJudged_.size();
        for (const auto &part : one.soundPartsJudged_)
            std::printf("seed %llu: %s is quarantined\n", static_cast<unsigned long long>(seed),
                        part.c_str());
        result.firstTryBefore_.add(one.firstTryBefore_);
        result.firstTryAfter_.add(one.firstTryAfter_);
        result.served_.add({one.served_, one.asked_});
        crashed += one.ended_;
    }
    std::printf(
        "%s: %zu crashes (at most %zu per run), at most %zu late sends "
        "per run; %zu sound "
        "requests, %.3f served, %zu quarantined, %zu sound parts judged; begun at the first "
        "attempt: %.3f before, "
        "%.3f after the verdict\n",
        name, crashed, result.maxCrashed_, result.maxLate_, result.served_.total_,
        result.served_.value(), result.quarantined_, result.soundPartsJudged_,
        result.firstTryBefore_.value(), result.firstTryAfter_.value());
    return result;
}

/// \brief Six new requests a second with the deadly part.
inline Load deadlyLoad()
{
    Load load;
    load.deadly_.requestsPerSecond_ = 6;
    return load;
}

/// \brief Asserts that the deadly part stops reaching endpoints and no other caller is refused.
inline void assertContained(const Totals &totals)
{
    cr_assert_leq(totals.maxLate_, maxLateSends);
    cr_assert_eq(totals.quarantined_, 0);
    cr_assert_gt(totals.firstTryShare(), minFirstTryShare);
}

} // namespace cardamombay::crashing
