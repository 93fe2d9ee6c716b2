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
    balance_ = std::min(balance_ + policy_.retriesPerRequest_, policy_.maximumBalance_);
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
    if (hasRefilled_ && now > refilledAt_) {
        // The minimum rate accumulates at most one second's worth of retries. Otherwise an idle
        // period would allow a burst of retries at the start of an outage.
        const std::chrono::duration<double> elapsed = now - refilledAt_;
        const double room = std::max(policy_.minimumPerSecond_ - balance_, 0.0);
        balance_ += std::min(elapsed.count() * policy_.minimumPerSecond_, room);
    }
    hasRefilled_ = true;
    refilledAt_ = std::max(refilledAt_, now);
}

} // namespace cardamombay::retries
