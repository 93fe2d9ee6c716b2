#include <cardamombay/retries/circuit_board.hpp>

#include <algorithm>

namespace cardamombay::retries {

CircuitBoard::CircuitBoard(CircuitPolicy policy)
    : policy_(policy)
{
}

std::span<const GroupId> CircuitBoard::blocked(TimePoint now)
{
    blocked_.clear();
    for (const auto &[group, circuit] : circuits_) {
        if (!circuit.allows(now))
            blocked_.push_back(group);
    }
    return blocked_;
}

void CircuitBoard::started(const GroupId &group, TimePoint now)
{
    const auto found = circuits_.find(group);
    if (found != circuits_.end())
        found->second.started(now);
}

void CircuitBoard::succeeded(const GroupId &group, TimePoint now)
{
    const auto found = circuits_.find(group);
    if (found == circuits_.end())
        return;
    found->second.succeeded(now);
    if (found->second.status(now) == CircuitStatus::Closed)
        circuits_.erase(found);
}

void CircuitBoard::failed(const GroupId &group, TimePoint now)
{
    circuits_.try_emplace(group, policy_).first->second.failed(now);
}

void CircuitBoard::abandoned(const GroupId &group)
{
    const auto found = circuits_.find(group);
    if (found != circuits_.end())
        found->second.abandoned();
}

CircuitStatus CircuitBoard::status(const GroupId &group, TimePoint now) const
{
    const auto found = circuits_.find(group);
    return found == circuits_.end() ? CircuitStatus::Closed : found->second.status(now);
}

TimePoint CircuitBoard::nextTrial() const
{
    TimePoint next = TimePoint::max();
    for (const auto &[group, circuit] : circuits_) {
        if (circuit.openUntil() != TimePoint{})
            next = std::min(next, circuit.openUntil());
    }
    return next;
}

} // namespace cardamombay::retries
