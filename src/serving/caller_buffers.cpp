#include <cardamombay/serving/caller_buffers.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <string>

namespace cardamombay::serving {

namespace {

/// The reserve for streams that are read on beyond the bound is this part of the bound. It holds
/// one read of 16 KB for each of 195 streams with the default bound.
constexpr std::size_t reserveDivisor = 8;

/// Reading resumes once this part of the bound is used. With a higher one, streams would pause and
/// resume with each write to a caller.
constexpr std::size_t resumeDivisor = 2;

} // namespace

BufferShare::BufferShare(CallerBuffers &buffers)
    : buffers_(buffers)
{
    buffers_.addStream();
}

BufferShare::~BufferShare()
{
    buffers_.removeStream(held_);
}

void BufferShare::set(std::size_t held)
{
    if (held == held_)
        return;
    buffers_.resize(held_, held);
    held_ = held;
}

BoundedCallerBuffers::BoundedCallerBuffers(std::size_t bound, GatewayMetrics &metrics)
    : bound_(bound)
    , metrics_(metrics)
{
}

void BoundedCallerBuffers::setBound(std::size_t bound)
{
    bound_ = bound;
    update();
}

/// A stream without buffered bytes is always read: it adds one read at most, and its caller may be
/// about to read.
bool BoundedCallerBuffers::mayRead(std::size_t held) const
{
    return !isFull_ || held == 0 || held * streams_ <= bound_ / reserveDivisor;
}

void BoundedCallerBuffers::removeStream(std::size_t held)
{
    --streams_;
    resize(held, 0);
}

void BoundedCallerBuffers::resize(std::size_t before, std::size_t after)
{
    held_ = held_ - before + after;
    metrics_.callerBufferBytes_.set(static_cast<double>(held_));
    update();
}

void BoundedCallerBuffers::update()
{
    const bool isFull = isFull_ ? held_ > bound_ / resumeDivisor : held_ >= bound_;
    if (isFull == isFull_)
        return;
    isFull_ = isFull;
    logChange();
}

void BoundedCallerBuffers::logChange() const
{
    log::warning(isFull_ ? event::callerBuffersFull : event::callerBuffersFree,
                 {{"bytes", std::to_string(held_)},
                  {"bound", std::to_string(bound_)},
                  {"streams", std::to_string(streams_)}});
}

} // namespace cardamombay::serving
