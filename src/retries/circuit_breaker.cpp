#include <cardamombay/core/hash.hpp>
#include <cardamombay/retries/circuit_breaker.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cardamombay::retries {

namespace {

/// States that code asks about.
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
        return circuit.failuresInRow_ + 1 >= circuit.policy_.failures_;
    });
    binding.action("count-failure", [](CircuitBreaker &circuit) { ++circuit.failuresInRow_; });
    binding.action("forget-failures", [](CircuitBreaker &circuit) { circuit.forgetFailures(); });
    binding.action("start-wait", [](CircuitBreaker &circuit) { circuit.startWait(); });
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
    passTime(now);
    return !machine_.isIn(openState) && !machine_.isIn(trialState);
}

std::string_view CircuitBreaker::status(TimePoint now)
{
    passTime(now);
    return machine_.state();
}

bool CircuitBreaker::isHealthy() const
{
    return machine_.isIn(closedState) && failuresInRow_ == 0;
}

TimePoint CircuitBreaker::nextTrial() const
{
    return machine_.isIn(openState) ? openUntil_ : TimePoint::max();
}

void CircuitBreaker::handle(std::string_view event, TimePoint now)
{
    passTime(now);
    now_ = now;
    machine_.handle(*this, event);
}

void CircuitBreaker::passTime(TimePoint now)
{
    if (now >= nextTrial())
        machine_.handle(*this, "wait-over");
    if (machine_.isIn(trialState) && now >= trialUntil_)
        machine_.handle(*this, "trial-over");
}

/// A number in [0, 1) for this wait; a hash, as a generator for each circuit would be large.
double CircuitBreaker::jitter() const
{
    const std::uint64_t bits = stableHash(std::to_string(waits_), seed_);
    return double(bits >> 11) * 0x1p-53;
}

void CircuitBreaker::startWait()
{
    Duration wait = policy_.openTime_;
    for (std::uint32_t i = 0; i < openings_ && wait < policy_.maximumOpenTime_; ++i)
        wait *= 2;
    wait = std::min(wait, policy_.maximumOpenTime_);
    ++waits_;
    const double length = (0.5 + 0.5 * jitter()) * double(wait.count());
    openUntil_ = now_ + Duration(static_cast<Duration::rep>(length));
    ++openings_;
}

void CircuitBreaker::forgetFailures()
{
    failuresInRow_ = 0;
    openings_ = 0;
}

} // namespace cardamombay::retries
