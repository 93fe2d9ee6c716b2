/// \file
/// \brief Retries of one service that one entry VM may send within a sliding window.
/// \details An entry VM earns quota with each request that it counts, and has a part of the fleet's
/// reserve. Quota is spent by retries and by transfers to other entry VMs. Since every unit has one
/// holder, the fleet stays within its budget whatever the entry VMs know of each other. Not
/// thread-safe.
#pragma once

#include <cardamombay/serving/sliding_sum.hpp>

#include <deque>

namespace cardamombay::serving {

/// \brief Retry limit of a window.
struct RetryBound
{
    double share_ = 0;   ///< Retries allowed per request in the window.
    double reserve_ = 0; ///< Retries allowed per window in addition, regardless of load.
    Duration window_ = std::chrono::seconds(10);
};

/// \brief Requests and retries counted in a window.
struct RetryCounts
{
    double requests_ = 0;
    double retries_ = 0;

    friend bool operator==(const RetryCounts &, const RetryCounts &) = default;
};

/// \brief What a process has counted for one service, by age, newest first; see
/// SlidingSum::byAge().
struct QuotaUse
{
    std::vector<double> requests_;
    std::vector<double> spent_; ///< Own quota, including transfers.

    friend bool operator==(const QuotaUse &, const QuotaUse &) = default;
};

/// \brief Quota of one service at one entry VM.
class RetryQuota
{
public:
    /// \brief Time within which transferred quota must be spent.
    [[nodiscard]] static Duration transferLifetime(const RetryBound &bound);
    /// \brief Longest time that quota counts as spent; quota that a process had may be used again
    /// that long after it ended.
    [[nodiscard]] static Duration memory(const RetryBound &bound);

    /// \brief Counts of the window, for the next process of this entry VM.
    /// \returns no amounts if no quota was spent.
    [[nodiscard]] QuotaUse use(const RetryBound &bound, TimePoint now) const;

    /// \brief Adds the counts of the previous process of this entry VM.
    /// \param use the last report of that process.
    /// \param age time since then.
    void inherit(const RetryBound &bound, QuotaUse use, Duration age, TimePoint now);

    void countRequest(const RetryBound &bound, TimePoint now);

    /// \brief Requests counted and retries sent in the window that ends at \p now.
    [[nodiscard]] RetryCounts counts(const RetryBound &bound, TimePoint now) const;

    /// \brief Own quota that is neither spent nor transferred; negative after the bound has
    /// decreased.
    [[nodiscard]] double unused(const RetryBound &bound, TimePoint now) const;

    /// \brief Received quota that is neither spent nor expired.
    [[nodiscard]] double received(TimePoint now) const;

    /// \brief Quota worth holding for the retries that are likely next, from the recent ones.
    [[nodiscard]] double expectedNeed(const RetryBound &bound, TimePoint now) const;

    /// \brief Spends quota for one retry.
    /// \returns false if there is too little; nothing is spent then.
    [[nodiscard]] bool take(const RetryBound &bound, TimePoint now);

    /// \brief Gives up own quota for another entry VM, at most half of what is not needed here.
    /// \returns the amount, which counts as spent until the receiver's retries have left the
    /// window.
    [[nodiscard]] double transferOut(const RetryBound &bound, double wanted, TimePoint now);

    /// \brief Adds quota that another entry VM has given up; it must be spent before \p until.
    void transferIn(double amount, TimePoint until, TimePoint now);

private:
    struct Received
    {
        double amount_ = 0;
        TimePoint until_{};
    };

    void dropExpired(TimePoint now);

    SlidingSum requests_;
    SlidingSum retries_;            ///< Sent, whoever's quota they used.
    SlidingSum spent_;              ///< Own quota, including transfers.
    std::deque<Received> received_; ///< By time of expiry.
};

} // namespace cardamombay::serving
