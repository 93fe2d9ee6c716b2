/// \file
/// \brief Forgets old claims, without a clock that entry VMs share.
/// \details Time is counted in periods. One row holds the number of the present period and the
/// store versions at which the latest ones began. An entry VM that has seen the row unchanged for
/// a whole period on its own clock begins the next one by compare-and-set, so a period is never
/// shorter than its length, whoever begins it. A claim row whose version is older than the begin
/// of the period that lies Policy::keptPeriods_ back is at least that many periods old and is
/// deleted. The entry VM that began the period does so; if it is lost, the next period's does.
///
/// Guards that a key is remembered for at least keptPeriods_ x period_ after its request ended.
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

/// \brief Bounds of the expiry.
struct ExpiryPolicy
{
    Duration period_ = std::chrono::hours(1);
    std::size_t keptPeriods_ = 24;
    Duration pageDelay_ = std::chrono::milliseconds(500); ///< Between two pages of a sweep.
    std::size_t pageRows_ = 200;
};

/// \brief The present period and where it and those before began.
struct ClaimPeriods
{
    std::uint64_t number_ = 0;
    std::vector<RowVersion> begins_; ///< Versions of the row in earlier periods, oldest first.

    friend bool operator==(const ClaimPeriods &, const ClaimPeriods &) = default;
};

/// \brief Row of the periods.
[[nodiscard]] platform::RowKey periodRowKey();
[[nodiscard]] std::string encode(const ClaimPeriods &periods);
[[nodiscard]] Result<ClaimPeriods> decodeClaimPeriods(std::string_view text);

/// \brief Counts, for metrics.
struct ExpiryCounts
{
    std::uint64_t periodsBegun_ = 0;
    std::uint64_t pages_ = 0;
    std::uint64_t deleted_ = 0;
};

/// \brief Watches the periods and deletes what has expired; lives on the control thread.
class ClaimExpiry
{
public:
    ClaimExpiry(Clock &clock, platform::TableStore &store, Random &random,
                platform::WriterTokens tokens, ExpiryPolicy policy = {});

    /// \brief Starts watching; it reads the row four times a period.
    void start();

    [[nodiscard]] const ExpiryCounts &counts() const { return counts_; }

private:
    void watch();
    void observe(const platform::Row *row);
    void beginPeriod(const platform::Row *row);
    void sweep(const std::string &after);
    void sweepPage(const platform::ScanPage &page);
    void later(Duration delay, void (ClaimExpiry::*step)());
    void continueSweep() { sweep(sweptTo_); }

    Clock &clock_;
    platform::TableStore &store_;
    Random &random_;
    platform::WriterTokens tokens_;
    ExpiryPolicy policy_;
    platform::ReliableCommit commit_;
    RowVersion seenVersion_;
    TimePoint seenSince_{};
    bool hasSeen_ = false;
    bool isSweeping_ = false;
    RowVersion expiredUpTo_;
    std::string sweptTo_;
    ExpiryCounts counts_;
    std::shared_ptr<char> alive_; ///< Callbacks hold it weakly.
};

} // namespace cardamombay::claims
