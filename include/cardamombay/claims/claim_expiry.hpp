/// \file
/// \brief Deletes expired claims without a clock shared between entry VMs.
/// \details Time is divided into periods. One row stores the number of the current period and the
/// store versions at which the latest periods started. An entry VM that has seen this row unchanged
/// for a full period on its own clock starts the next one by compare-and-set, so no period is
/// shorter than ExpiryPolicy::period_, whichever entry VM starts it. A claim row with a version
/// older than the start of the period ExpiryPolicy::keptPeriods_ ago is at least that many periods
/// old and is deleted. The entry VM that started the period deletes the rows; if it fails, the one
/// that starts the next period does.
///
/// An idempotency key is therefore kept for at least keptPeriods_ x period_ after its request
/// ended.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/platform/reliable_commit.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::claims {

/// \brief Settings of the expiry.
struct ExpiryPolicy
{
    Duration period_ = std::chrono::hours(1);
    std::size_t keptPeriods_ = 24;
    Duration pageDelay_ = std::chrono::milliseconds(500); ///< Between two pages of a scan.
    std::size_t pageRows_ = 200;
};

/// \brief The current period and the versions at which the latest periods started.
struct ClaimPeriods
{
    std::uint64_t number_ = 0;
    std::vector<RowVersion> startVersions_; ///< Row versions of earlier periods, oldest first.

    friend bool operator==(const ClaimPeriods &, const ClaimPeriods &) = default;
};

/// \brief Key of the row that stores the periods.
[[nodiscard]] platform::RowKey periodRowKey();
[[nodiscard]] std::string encode(const ClaimPeriods &periods);
[[nodiscard]] Result<ClaimPeriods> decodeClaimPeriods(std::string_view text);

/// \brief Counters for metrics.
struct ExpiryCounts
{
    std::uint64_t periodsBegun_ = 0;
    std::uint64_t pages_ = 0;
    std::uint64_t deleted_ = 0;
};

/// \brief Advances the periods and deletes expired claims. Used on the control thread only.
class ClaimExpiry
{
public:
    ClaimExpiry(Clock &clock, platform::TableStore &store, Random &random,
                platform::WriterTokens tokens, ExpiryPolicy policy = {});

    /// \brief Starts polling; the period row is read four times per period.
    void start();

    [[nodiscard]] const ExpiryCounts &counts() const { return counts_; }

private:
    void poll();
    void observe(const platform::Row *row);
    void beginPeriod(const platform::Row *row);
    void sweep(const std::string &after);
    void sweepPage(const platform::ScanPage &page);
    void scheduleStep(Duration delay, void (ClaimExpiry::*step)());
    void continueSweep() { sweep(sweepCursor_); }

    Clock &clock_;
    platform::TableStore &store_;
    Random &random_;
    platform::WriterTokens tokens_;
    ExpiryPolicy policy_;
    platform::ReliableCommit commit_;
    RowVersion seenVersion_;
    TimePoint firstSeenAt_{};
    bool hasSeen_ = false;
    bool isSweeping_ = false;
    RowVersion expiredUpTo_;
    std::string sweepCursor_;
    ExpiryCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold a weak_ptr to detect destruction.
};

} // namespace cardamombay::claims
