#include <cardamombay/serving/answer_buffers.hpp>

#include <utility>

namespace cardamombay::serving {

bool AnswerShare::set(std::size_t bytes)
{
    if (!buffers_.mayResize(held_, bytes))
        return false;
    buffers_.resize(std::exchange(held_, bytes), bytes);
    return true;
}

BoundedAnswerBuffers::BoundedAnswerBuffers(std::size_t bound, GatewayMetrics &metrics)
    : bound_(bound)
    , metrics_(metrics)
{
}

bool BoundedAnswerBuffers::mayResize(std::size_t before, std::size_t after) const
{
    if (after <= before || after <= smallAnswer)
        return true;
    const auto total = held_ - before + after;
    return total <= bound_ && after <= bound_ - total;
}

void BoundedAnswerBuffers::resize(std::size_t before, std::size_t after)
{
    held_ = held_ - before + after;
    metrics_.answerBufferBytes_.set(static_cast<double>(held_));
}

} // namespace cardamombay::serving
