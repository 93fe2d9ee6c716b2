#include <cardamombay/retries/retry_budget.hpp>

#include <algorithm>

namespace cardamombay::retries {

RetryBudget::RetryBudget(RetryBudgetPolicy policy)
    : policy_(policy)
    , balance_(policy.minimumPerSecond_)
{
}

void RetryBudget::deposit(TimePoint now)
{
    refill(now);
    balance_ = std::min(balance_ + policy_.share_, policy_.maximumBalance_);
}

bool RetryBudget::withdraw(TimePoint now)
{
    refill(now);
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

void RetryBudget::refill(TimePoint now)
{
    if (hasStarted_ && now > refilledAt_) {
        // The floor never saves up more than one second's worth, or quiet hours would pay for a
        // burst of retries at the start of an outage.
        const std::chrono::duration<double> passed = now - refilledAt_;
        const double room = std::max(policy_.minimumPerSecond_ - balance_, 0.0);
        balance_ += std::min(passed.count() * policy_.minimumPerSecond_, room);
    }
    hasStarted_ = true;
    refilledAt_ = std::max(refilledAt_, now);
}

} // namespace cardamombay::retries
