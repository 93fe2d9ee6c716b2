/// \file
/// \brief Limits retries to a fraction of the first attempts.
/// \details The limit keeps retries from amplifying an overload. Whether a retry is safe is decided
/// by RetryPolicy.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::retries {

/// \brief Settings of a retry budget.
struct RetryBudgetPolicy
{
    double retriesPerRequest_ = 0.1; ///< Retries earned by each first attempt.
    double minimumPerSecond_ = 1;    ///< Retries allowed at any request rate.
    double maximumBalance_ = 50;     ///< Retries that can accumulate.
};

/// \brief Token bucket of retries, filled by first attempts and by time; not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetPolicy policy = {});

    /// \brief Adds the fraction of a retry that one first attempt earns.
    void deposit(TimePoint now);

    /// \brief Takes one retry from the balance.
    /// \returns false, with the balance unchanged, if less than one retry is left.
    [[nodiscard]] bool withdraw(TimePoint now);

    /// \brief Retries available at the last deposit or withdrawal.
    [[nodiscard]] double balance() const { return balance_; }

private:
    void refill(TimePoint now);

    RetryBudgetPolicy policy_;
    double balance_ = 0;
    TimePoint refilledAt_{};
    bool hasRefilled_ = false;
};

} // namespace cardamombay::retries
