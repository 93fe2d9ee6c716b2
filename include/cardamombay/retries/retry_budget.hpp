/// \file
/// \brief Bounds retries to a share of fresh requests.
/// \details Decides whether a retry may be spent, so that retries cannot multiply an overload. It
/// knows nothing of safety; RetryPolicy decides on that.
#pragma once

#include <cardamombay/core/time.hpp>

namespace cardamombay::retries {

/// \brief Settings of a retry budget.
struct RetryBudgetPolicy
{
    double share_ = 0.1;          ///< Retries allowed for each fresh request.
    double minimumPerSecond_ = 1; ///< Retries allowed at any rate of requests.
    double maximumBalance_ = 50;  ///< Retries that can be saved up.
};

/// \brief Balance of retries; single-threaded.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetPolicy policy = {});

    /// \brief A fresh request came; it earns a share of a retry.
    void deposit(TimePoint now);

    /// \brief Takes one retry from the balance.
    /// \returns false if the balance does not allow it.
    [[nodiscard]] bool withdraw(TimePoint now);

    /// \brief Retries that could be taken.
    [[nodiscard]] double balance() const { return balance_; }

private:
    void refill(TimePoint now);

    RetryBudgetPolicy policy_;
    double balance_ = 0;
    TimePoint refilledAt_{};
    bool hasStarted_ = false;
};

} // namespace cardamombay::retries
