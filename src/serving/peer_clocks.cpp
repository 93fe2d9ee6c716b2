#include <cardamombay/serving/peer_clocks.hpp>

#include "serving/notification.hpp"

#include <algorithm>

namespace cardamombay::serving {

namespace json = boost::json;
using namespace impl;

namespace {

constexpr std::string_view questionMethod = "clock-question";
constexpr std::string_view answerMethod = "clock-answer";

/// Interval between questions to a peer. An answer that was queued gives a poor bound, which a
/// better answer corrects a second later. Costs both sides 200 bytes per second.
constexpr Duration questionInterval = std::chrono::seconds(1);
/// Interval while there is no answer yet; either datagram may have been lost.
constexpr Duration questionRetryInterval = std::chrono::milliseconds(200);

/// Maximum relative difference in clock speed: ten times that of common quartz clocks.
constexpr double maxClockDrift = 200e-6;

/// Expires clocks of peers that are no longer followed; others are asked every second.
constexpr Duration clockLifetime = std::chrono::seconds(20);

} // namespace

std::string encode(const ClockQuestion &question)
{
    return notification(questionMethod, json::object{{"address", question.address_},
                                                     {"asked", microsecondsOf(question.askedAt_)}});
}

std::string encode(const ClockAnswer &answer)
{
    return notification(answerMethod,
                        json::object{{"from", answer.from_.text()},
                                     {"since", answer.stamp_.since_.value()},
                                     {"reading", microsecondsOf(answer.stamp_.reading_)},
                                     {"asked", microsecondsOf(answer.askedAt_)}});
}

std::optional<ClockQuestion> decodeClockQuestion(std::string_view text)
{
    const auto params = paramsOf(text, questionMethod);
    if (!params || textIn(*params, "address").empty())
        return std::nullopt;
    return ClockQuestion{textIn(*params, "address"), microsecondsIn(*params, "asked")};
}

std::optional<ClockAnswer> decodeClockAnswer(std::string_view text)
{
    const auto params = paramsOf(text, answerMethod);
    if (!params || textIn(*params, "from").empty())
        return std::nullopt;
    return ClockAnswer{
        EntryId(textIn(*params, "from")),
        {Incarnation(numberIn(*params, "since")), microsecondsIn(*params, "reading")},
        microsecondsIn(*params, "asked")};
}

Duration readingOf(TimePoint now)
{
    return now.time_since_epoch();
}

bool PeerClocks::isQuestionDue(const EntryId &peer, Incarnation since, TimePoint now)
{
    auto &known = known_[peer];
    if (known.since_ != since)
        known = {since, false, {}, {}, {}};
    if (known.askedAt_ != TimePoint{}
        && now - known.askedAt_ < (known.isAnswered_ ? questionInterval : questionRetryInterval))
        return false;
    known.askedAt_ = now;
    return true;
}

/// The bound loosens over time, as the clocks may run at different speeds.
Duration PeerClocks::offsetAt(const Known &known, TimePoint now)
{
    return known.offset_ - fromSeconds(toSeconds(now - known.answeredAt_) * maxClockDrift);
}

void PeerClocks::take(const ClockAnswer &answer, TimePoint now)
{
    const auto found = known_.find(answer.from_);
    const bool isAsked = found != known_.end() && found->second.since_ == answer.stamp_.since_
                         && answer.askedAt_ <= readingOf(now);
    if (!isAsked)
        return;
    auto &known = found->second;
    // The peer read its clock after the question was sent.
    const auto ahead = answer.askedAt_ - answer.stamp_.reading_;
    if (known.isAnswered_ && ahead <= offsetAt(known, now))
        return;
    known.offset_ = ahead;
    known.answeredAt_ = now;
    known.isAnswered_ = true;
}

std::optional<Duration> PeerClocks::maxAge(const EntryId &peer, const ClockStamp &stamp,
                                           TimePoint now) const
{
    const auto found = known_.find(peer);
    if (found == known_.end() || !found->second.isAnswered_ || found->second.since_ != stamp.since_)
        return std::nullopt;
    const auto sentAt = stamp.reading_ + offsetAt(found->second, now);
    return std::max(Duration::zero(), readingOf(now) - sentAt);
}

void PeerClocks::expire(TimePoint now)
{
    std::erase_if(known_,
                  [now](const auto &one) { return now - one.second.askedAt_ > clockLifetime; });
}

} // namespace cardamombay::serving
