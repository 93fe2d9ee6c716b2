#include <cardamombay/retries/circuit.hpp>

#include <algorithm>

namespace cardamombay::retries {

std::string_view nameOf(CircuitStatus status)
{
    switch (status) {
    case CircuitStatus::Closed:
        return "closed";
    case CircuitStatus::Open:
        return "open";
    case CircuitStatus::HalfOpen:
        return "half-open";
    }
    return "closed";
}

Circuit::Circuit(CircuitPolicy policy)
    : policy_(policy)
{
}

CircuitStatus Circuit::status(TimePoint now) const
{
    if (openings_ == 0)
        return CircuitStatus::Closed;
    return now < openUntil_ ? CircuitStatus::Open : CircuitStatus::HalfOpen;
}

bool Circuit::allows(TimePoint now) const
{
    switch (status(now)) {
    case CircuitStatus::Closed:
        return true;
    case CircuitStatus::Open:
        return false;
    case CircuitStatus::HalfOpen:
        return !hasTrial_;
    }
    return true;
}

void Circuit::started(TimePoint now)
{
    if (status(now) == CircuitStatus::HalfOpen)
        hasTrial_ = true;
}

void Circuit::succeeded(TimePoint now)
{
    failuresInRow_ = 0;
    // While open, a success is that of an attempt from before; only the trial closes the circuit.
    if (status(now) != CircuitStatus::HalfOpen)
        return;
    openings_ = 0;
    hasTrial_ = false;
}

void Circuit::failed(TimePoint now)
{
    switch (status(now)) {
    case CircuitStatus::Closed:
        if (++failuresInRow_ >= policy_.failures_)
            open(now);
        return;
    case CircuitStatus::Open:
        return;
    case CircuitStatus::HalfOpen:
        open(now);
        return;
    }
}

void Circuit::abandoned()
{
    hasTrial_ = false;
}

void Circuit::open(TimePoint now)
{
    Duration wait = policy_.openTime_;
    for (std::uint32_t i = 0; i < openings_ && wait < policy_.maximumOpenTime_; ++i)
        wait *= 2;
    openUntil_ = now + std::min(wait, policy_.maximumOpenTime_);
    ++openings_;
    failuresInRow_ = 0;
    hasTrial_ = false;
}

} // namespace cardamombay::retries
