#include <cardamombay/core/hash.hpp>
#include <cardamombay/retries/circuit.hpp>

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

Result<CircuitProgramPtr> makeCircuitProgram(const chart::Chart &chart)
{
    chart::Binding<Circuit> binding;
    binding.state(closedState).state(openState).state(trialState);
    binding.events({"started", "succeeded", "failed", "abandoned", "wait-over"});
    binding.guard("limit-reached", [](const Circuit &circuit) {
        return circuit.failuresInRow_ + 1 >= circuit.policy_.failures_;
    });
    binding.action("count-failure", [](Circuit &circuit) { ++circuit.failuresInRow_; });
    binding.action("forget-failures", [](Circuit &circuit) { circuit.forgetFailures(); });
    binding.action("start-wait", [](Circuit &circuit) { circuit.startWait(); });
    return chart::bind(chart, std::move(binding));
}

Circuit::Circuit(CircuitProgramPtr program, CircuitPolicy policy, std::uint64_t seed)
    : policy_(policy)
    , seed_(seed)
    , machine_(std::move(program))
{
}

bool Circuit::allows(TimePoint now)
{
    passTime(now);
    return !machine_.isIn(openState) && !machine_.isIn(trialState);
}

std::string_view Circuit::status(TimePoint now)
{
    passTime(now);
    return machine_.state();
}

bool Circuit::isHealthy() const
{
    return machine_.isIn(closedState) && failuresInRow_ == 0;
}

TimePoint Circuit::nextTrial() const
{
    return machine_.isIn(openState) ? openUntil_ : TimePoint::max();
}

void Circuit::handle(std::string_view event, TimePoint now)
{
    passTime(now);
    now_ = now;
    machine_.handle(*this, event);
}

void Circuit::passTime(TimePoint now)
{
    if (now >= nextTrial())
        machine_.handle(*this, "wait-over");
}

/// A number in [0, 1) for this wait; a hash, as a generator for each circuit would be large.
double Circuit::jitter() const
{
    const std::uint64_t bits = stableHash(std::to_string(waits_), seed_);
    return double(bits >> 11) * 0x1p-53;
}

void Circuit::startWait()
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

void Circuit::forgetFailures()
{
    failuresInRow_ = 0;
    openings_ = 0;
}

} // namespace cardamombay::retries
