#include <cardamombay/outcomes/stream_continuity.hpp>

#include <utility>

namespace cardamombay::outcomes {

StreamContinuity::StreamContinuity(StreamTraits traits)
    : traits_(std::move(traits))
{
}

void StreamContinuity::begin(const AttemptId &attempt)
{
    attempt_ = attempt;
    isBroken_ = false;
}

Acceptance StreamContinuity::accept(const AttemptId &attempt, std::uint64_t index)
{
    if (isWhole_ || isBroken_ || attempt != attempt_)
        return Acceptance::Foreign;
    if (index < nextIndex_)
        return Acceptance::Duplicate;
    if (index > nextIndex_) {
        isBroken_ = true;
        return Acceptance::Gap;
    }
    ++nextIndex_;
    return Acceptance::Deliver;
}

bool StreamContinuity::end(const AttemptId &attempt)
{
    if (isWhole_ || isBroken_ || attempt != attempt_)
        return false;
    isWhole_ = true;
    return true;
}

Continuation StreamContinuity::continuation(const endpoint::ModelSpec &candidate,
                                            bool wasNotRun) const
{
    if (isWhole_)
        return Continuation::Fail;
    if (!traits_.isIdempotent_ && !wasNotRun)
        return Continuation::Fail;
    if (nextIndex_ == 0)
        return Continuation::Restart;
    const bool isCompatible = candidate == traits_.model_ && traits_.hasSeed_;
    return isCompatible ? Continuation::Resume : Continuation::Fail;
}

} // namespace cardamombay::outcomes
