#include <cardamombay/core/hash.hpp>
#include <cardamombay/retries/circuit_breaker_registry.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::retries {

namespace {

/// Circuits without events for longer are dropped; a removed group gets no more events.
constexpr Duration idleCircuitLifetime = std::chrono::minutes(10);

} // namespace

CircuitBreakerRegistry::CircuitBreakerRegistry(CircuitBreakerProgramPtr program,
                                               CircuitBreakerPolicy policy, std::uint64_t seed)
    : program_(std::move(program))
    , policy_(policy)
    , seed_(seed)
{
}

std::span<const GroupId> CircuitBreakerRegistry::blocked(TimePoint now)
{
    std::erase_if(circuits_, [now](const auto &entry) {
        return now - entry.second.lastEventAt() > idleCircuitLifetime;
    });
    blocked_.clear();
    for (auto &[group, circuit] : circuits_) {
        if (!circuit.allows(now))
            blocked_.push_back(group);
    }
    return blocked_;
}

void CircuitBreakerRegistry::started(const GroupId &group, TimePoint now)
{
    const auto found = circuits_.find(group);
    if (found != circuits_.end())
        found->second.started(now);
}

void CircuitBreakerRegistry::succeeded(const GroupId &group, TimePoint now)
{
    const auto found = circuits_.find(group);
    if (found == circuits_.end())
        return;
    found->second.succeeded(now);
    if (found->second.isHealthy())
        circuits_.erase(found);
}

void CircuitBreakerRegistry::failed(const GroupId &group, TimePoint now)
{
    const std::uint64_t seed = stableHash(group.text(), seed_);
    circuits_.try_emplace(group, program_, policy_, seed).first->second.failed(now);
}

void CircuitBreakerRegistry::abandoned(const GroupId &group, TimePoint now)
{
    const auto found = circuits_.find(group);
    if (found != circuits_.end())
        found->second.abandoned(now);
}

std::string_view CircuitBreakerRegistry::status(const GroupId &group, TimePoint now)
{
    const auto found = circuits_.find(group);
    return found == circuits_.end() ? program_->table_.states_[program_->table_.initial_]
                                    : found->second.status(now);
}

TimePoint CircuitBreakerRegistry::nextTrial() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[group, circuit] : circuits_)
        next = std::min(next, circuit.nextTrial());
    return next;
}

} // namespace cardamombay::retries
