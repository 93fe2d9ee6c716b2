#include <cardamombay/net/input_budget.hpp>

#include <cardamombay/log/events.hpp>
#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace cardamombay::net {

namespace {

/// Shares up to this size may use the whole bound. A request with a body of 32 KB has one.
constexpr std::size_t smallShare = std::size_t{64} * 1024;
/// Large shares may not use this part of the bound.
constexpr std::size_t reserveDivisor = 4;

/// A share may be released after it has made no progress for this time.
constexpr Duration minSilence = std::chrono::milliseconds(500);
/// Input in bytes that counts as progress of a request.
constexpr std::size_t minProgress = std::size_t{16} * 1024;

constexpr Duration logPeriod = std::chrono::seconds(1);

/// True for a large request that is not complete.
bool isLargeInput(const InputShare &share)
{
    return share.use_ == InputUse::Receiving && share.bytes_ > smallShare;
}

} // namespace

InputMetrics::InputMetrics(metrics::Registry &registry)
    : bytes_(registry.gauge("cardamombay_input_bytes",
                            "Memory of callers' connections and of the bodies they have sent."))
    , connections_(registry.gauge("cardamombay_input_connections", "Connections of callers."))
    , refused_(registry.counter("cardamombay_input_refused_total",
                                "Requests refused before they were complete for want of memory."))
    , closed_(registry.counter("cardamombay_input_closed_total",
                               "Connections without a request that were closed to make room."))
{
}

BoundedInputBudget::BoundedInputBudget(const Clock &clock, std::size_t bound,
                                       const InputMetrics *metrics)
    : clock_(clock)
    , bound_(bound)
    , metrics_(metrics)
{
}

void BoundedInputBudget::add(InputShare &share)
{
    shares_.insert(&share);
}

void BoundedInputBudget::remove(InputShare &share)
{
    resize(share, InputUse::Idle, 0);
    shares_.erase(&share);
}

bool BoundedInputBudget::update(InputShare &share, InputUse use, std::size_t bytes)
{
    const bool isTrickle = use == share.use_ && use == InputUse::Receiving
                           && bytes < share.progressBytes_ + minProgress;
    if (!isTrickle) {
        share.changedAt_ = clock_.now();
        share.progressBytes_ = bytes;
    }
    bool fits = bytes <= share.bytes_;
    if (!fits)
        fits = use == InputUse::Closing ? bytes_ - share.bytes_ + bytes <= bound_
                                        : makeRoom(share, bytes);
    if (fits || use == InputUse::Answering) {
        resize(share, use, bytes);
        return true;
    }
    resize(share, use, share.bytes_);
    recordRelease(share);
    return false;
}

bool BoundedInputBudget::canHold(const InputShare &share, std::size_t bytes) const
{
    const auto own = share.use_ == InputUse::Answering ? share.bytes_ : 0;
    return answering_ - own + bytes <= limitFor(bytes);
}

std::size_t BoundedInputBudget::largestBody() const
{
    const auto limit = limitFor(bound_);
    return limit - std::min(limit, 2 * smallShare);
}

std::size_t BoundedInputBudget::limitFor(std::size_t bytes) const
{
    return bytes > smallShare ? bound_ - bound_ / reserveDivisor : bound_;
}

bool BoundedInputBudget::makeRoom(const InputShare &share, std::size_t bytes)
{
    const auto growth = bytes - share.bytes_;
    while (bytes_ + growth > limitFor(bytes)) {
        auto *other = stalledOther(share);
        if (other == nullptr)
            other = silentOther(share);
        if (other == nullptr)
            other = smallerOther(share, bytes);
        if (other == nullptr)
            return false;
        release(*other);
    }
    return true;
}

/// Weighs bytes with the time without progress, so that the memory of stopped transfers is freed.
InputShare *BoundedInputBudget::stalledOther(const InputShare &share) const
{
    const auto now = clock_.now();
    InputShare *result = nullptr;
    double most = 0;
    for (auto *other : shares_) {
        const auto silence = now - other->changedAt_;
        if (other == &share || !isLargeInput(*other) || silence < minSilence)
            continue;
        const auto weight = static_cast<double>(other->bytes_) * toSeconds(silence);
        if (weight > most) {
            most = weight;
            result = other;
        }
    }
    return result;
}

InputShare *BoundedInputBudget::silentOther(const InputShare &share) const
{
    const auto latest = clock_.now() - minSilence;
    InputShare *result = nullptr;
    for (auto *other : shares_) {
        if (other == &share || other->use_ == InputUse::Answering || other->bytes_ == 0)
            continue;
        if (other->use_ == InputUse::Closing)
            return other;
        if (other->changedAt_ > latest)
            continue;
        if (result == nullptr || other->changedAt_ < result->changedAt_)
            result = other;
    }
    return result;
}

/// Transfers that are further on are kept: otherwise all would be cut off and none would end.
InputShare *BoundedInputBudget::smallerOther(const InputShare &share, std::size_t bytes) const
{
    InputShare *result = nullptr;
    for (auto *other : shares_) {
        const bool isFurther = bytes > smallShare && other->bytes_ >= bytes;
        if (other == &share || !isLargeInput(*other) || isFurther)
            continue;
        if (result == nullptr || other->bytes_ < result->bytes_)
            result = other;
    }
    return result;
}

void BoundedInputBudget::release(InputShare &share)
{
    recordRelease(share);
    resize(share, share.use_, 0);
    share.holder_->releaseInput();
}

void BoundedInputBudget::resize(InputShare &share, InputUse use, std::size_t bytes)
{
    if (share.use_ == InputUse::Answering)
        answering_ -= share.bytes_;
    bytes_ = bytes_ - share.bytes_ + bytes;
    share.use_ = use;
    share.bytes_ = bytes;
    if (use == InputUse::Answering)
        answering_ += bytes;
    if (metrics_ != nullptr) {
        metrics_->bytes_.set(static_cast<double>(bytes_));
        metrics_->connections_.set(static_cast<double>(shares_.size()));
    }
}

void BoundedInputBudget::recordRelease(const InputShare &share)
{
    if (share.use_ == InputUse::Receiving)
        recordRefusal(share);
    else if (share.use_ == InputUse::Idle && metrics_ != nullptr)
        metrics_->closed_.increment();
}

/// The line names the last of the refused callers.
void BoundedInputBudget::recordRefusal(const InputShare &share)
{
    if (metrics_ != nullptr)
        metrics_->refused_.increment();
    ++refusals_;
    const auto now = clock_.now();
    if (loggedAt_ != TimePoint::min() && now - loggedAt_ < logPeriod)
        return;
    loggedAt_ = now;
    log::warning(log::event::inputRefused,
                 {{"bytes", std::to_string(bytes_)},
                  {"bound", std::to_string(bound_)},
                  {"answering", std::to_string(answering_)},
                  {"connections", std::to_string(shares_.size())},
                  {"refused", std::to_string(std::exchange(refusals_, 0))},
                  {"caller", share.callerIp_},
                  {"held", std::to_string(share.bytes_)},
                  {"silent-ms", std::to_string(toMilliseconds(now - share.changedAt_))}});
}

} // namespace cardamombay::net
