#include <cardamombay/core/hash.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cardamombay::retries {

namespace {

/// Chart states that the code refers to.
constexpr std::string_view closedState = "closed";
constexpr std::string_view openState = "open";
constexpr std::string_view trialState = "trial";

} // namespace

Result<CircuitBreakerProgramPtr> makeCircuitBreakerProgram(const chart::Chart &chart)
{
    chart::Binding<CircuitBreaker> binding;
    binding.state(closedState).state(openState).state(trialState);
    binding.events({"started", "succeeded", "failed", "abandoned", "wait-over", "trial-over"});
    binding.guard("limit-reached", [](const CircuitBreaker &circuit) {
        return circuit.consecutiveFailures_ + 1 >= circuit.policy_.failureThreshold_;
    });
    binding.action("count-failure",
                   [](CircuitBreaker &circuit) { ++circuit.consecutiveFailures_; });
    binding.action("forget-failures", [](CircuitBreaker &circuit) { circuit.resetFailures(); });
    binding.action("start-wait", [](CircuitBreaker &circuit) { circuit.startOpenPeriod(); });
    binding.action("start-trial", [](CircuitBreaker &circuit) { circuit.startTrial(); });
    return chart::bind(chart, std::move(binding));
}

CircuitBreaker::CircuitBreaker(CircuitBreakerProgramPtr program, CircuitBreakerPolicy policy,
                               std::uint64_t seed)
    : policy_(policy)
    , seed_(seed)
    , machine_(std::move(program))
{
}

bool CircuitBreaker::allows(TimePoint now)
{
    advanceTime(now);
    return !machine_.isIn(openState) && !machine_.isIn(trialState);
}

std::string_view CircuitBreaker::status(TimePoint now)
{
    advanceTime(now);
    return machine_.state();
}

bool CircuitBreaker::isHealthy() const
{
    return machine_.isIn(closedState) && consecutiveFailures_ == 0;
}

TimePoint CircuitBreaker::nextTrial() const
{
    return machine_.isIn(openState) ? openUntil_ : TimePoint::max();
}

void CircuitBreaker::handle(std::string_view event, TimePoint now)
{
    advanceTime(now);
    eventTime_ = now;
    machine_.handle(*this, event);
}

void CircuitBreaker::advanceTime(TimePoint now)
{
    if (now >= nextTrial())
        machine_.handle(*this, "wait-over");
    if (machine_.isIn(trialState) && now >= trialUntil_)
        machine_.handle(*this, "trial-over");
}

/// A number in [0, 1) for this open period. A hash takes less memory than a generator per circuit.
double CircuitBreaker::jitter() const
{
    const std::uint64_t bits = stableHash(std::to_string(openPeriodCount_), seed_);
    return double(bits >> 11) * 0x1p-53;
}

void CircuitBreaker::startOpenPeriod()
{
    Duration openTime = policy_.openTime_;
    for (std::uint32_t i = 0; i < consecutiveOpenings_ && openTime < policy_.maximumOpenTime_; ++i)
        openTime *= 2;
    openTime = std::min(openTime, policy_.maximumOpenTime_);
    ++openPeriodCount_;
    const double jitteredTime = (0.5 + 0.5 * jitter()) * double(openTime.count());
    openUntil_ = eventTime_ + Duration(static_cast<Duration::rep>(jitteredTime));
    ++consecutiveOpenings_;
}

void CircuitBreaker::resetFailures()
{
    consecutiveFailures_ = 0;
    consecutiveOpenings_ = 0;
}

} // namespace cardamombay::retries
