// Answer part of Session: from the head of the endpoint's answer to the last byte for the caller.
#include "serving/session.hpp"

#include "serving/relay_fields.hpp"

#include <cardamombay/serving/event_scanner.hpp>
#include <cardamombay/serving/gateway.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

constexpr std::uint32_t minClientError = 400;
constexpr std::uint32_t minServerError = 500;

/// Time after its first event from which an answer shows that its prompt is harmless.
constexpr Duration establishedAnswer = std::chrono::milliseconds(500);

/// Bytes buffered for a slow caller; beyond that, reading from the endpoint pauses.
constexpr std::size_t maxPendingBytes = std::size_t{256} * 1024;

/// Describes a refusal; the endpoint may blame another member of its group for it.
std::string refusalText(std::uint32_t status, const VmId &failedMember)
{
    const auto text = "status " + std::to_string(status);
    return failedMember.isEmpty() ? text : text + ", fault of " + failedMember.text();
}

} // namespace

void Session::onHead(net::HttpResponse head)
{
    if (carrier_) {
        onRelayedHead(std::move(head));
        return;
    }
    const auto now = gateway_.parts().clock_.now();
    const auto answer = gateway_.parts().dialect_.parseResponseHead(head);
    gateway_.paths().heard(pathTarget(), attemptAt_, now);
    recordNotices(answer, now);
    if (controlled_)
        gateway_.overload().recordSend(controlled_->admission_.model_, answer.isRefused_);
    if (answer.isRefused_) {
        --possibleRuns_;
        recordRefusal(answer.isMisdirected_, now);
        attemptFailed(Failure::Refused, refusalText(head.status_, answer.failedMember_));
        return;
    }
    recordAnswerStatus(head.status_, now);
    const bool isWorthRetrying = head.status_ >= minServerError && phase_ == Phase::Waiting;
    if (isWorthRetrying && moveToOtherEndpoint("status " + std::to_string(head.status_), now))
        return;
    takeHead(std::move(head), answer.isSealed_);
}

void Session::takeHead(net::HttpResponse head, bool isSealed)
{
    const bool isSuccess = head.status_ >= 200 && head.status_ < 300;
    if (isSuccess && !isSealed) {
        attemptFailed(Failure::Unknown, "an answer without the endpoint's seal");
        return;
    }
    hasHead_ = true;
    if (isSuccess && isStream()) {
        takeStreamHead(head);
        return;
    }
    if (phase_ == Phase::Streaming) {
        attemptFailed(Failure::Unknown, "status " + std::to_string(head.status_));
        return;
    }
    phase_ = Phase::Buffered;
    answerBegunAt_ = gateway_.parts().clock_.now();
    answer_ = std::move(head);
    answer_.body_.clear();
}

/// An endpoint that states a cooldown has not run the request and may be chosen again after it.
void Session::recordRefusal(bool isWrongPlace, TimePoint now)
{
    gateway_.parts().loadTracker_.failed(target_.endpoint_, now);
    if (!isWrongPlace && gateway_.notices().cooldown(target_.incarnation(), now))
        tried_.pop_back();
}

/// A server error counts as a run.
void Session::recordAnswerStatus(std::uint32_t status, TimePoint now)
{
    if (status < minServerError) {
        gateway_.parts().loadTracker_.progressed(target_.endpoint_, now);
        return;
    }
    recordProgress(now);
    recordError(now);
}

/// Counts against the endpoint unless the request has failed at other endpoints too.
void Session::recordError(TimePoint now)
{
    if (carrier_ || !gateway_.blamesEndpoint(fingerprints_, target_.endpoint_))
        return;
    const auto weight
        = service_->engine_ ? LoadTracker::groupErrorWeight : LoadTracker::plainErrorWeight;
    gateway_.parts().loadTracker_.erred(target_.endpoint_, weight, now);
}

void Session::takeStreamHead(const net::HttpResponse &head)
{
    if (events_ > 0)
        return; // Resumed stream: the caller already has the first endpoint's head.
    answer_ = head;
    phase_ = Phase::Streaming;
}

void Session::onData(std::string_view data)
{
    const auto now = gateway_.parts().clock_.now();
    recordAnswerData(now);
    if (phase_ == Phase::Buffered) {
        if (!holdAnswer(answer_.body_.size() + data.size(), gateway_.bounds().answerBytes_))
            return;
        recordProgress(now);
        answer_.body_.append(data);
        call_->consume(data.size());
        return;
    }
    forwardEvents(data);
}

/// A head alone does not clear broken attempts: the connection may still break before the first
/// data.
void Session::recordAnswerData(TimePoint now)
{
    if (carrier_ || answer_.status_ >= minServerError)
        return;
    gateway_.parts().loadTracker_.progressed(target_.endpoint_, now);
    gateway_.parts().loadTracker_.answered(target_.endpoint_, send_);
    gateway_.paths().heard(pathTarget(), attemptAt_, now);
}

void Session::recordEvents(TimePoint now)
{
    const auto &metrics = gateway_.parts().metrics_;
    if (events_ == 0) {
        firstEventDelay_ = now - arrivedAt_;
        metrics.firstByte_.observe(toSeconds(firstEventDelay_));
        if (target_.predictedFirst_)
            gateway_.parts().balancer_.recordFirstEvent(service_->name_, *target_.predictedFirst_,
                                                        now - attemptAt_);
    } else {
        maxEventGap_ = std::max(maxEventGap_, now - lastEventAt_);
        metrics.eventGap_.observe(toSeconds(now - lastEventAt_));
    }
    lastEventAt_ = now;
    if (!hasProgress_)
        answerBegunAt_ = now;
    else if (now - answerBegunAt_ >= establishedAnswer)
        reportAnsweredParts(now);
}

/// A part of the prompt that crashes endpoints does so as they begin an answer on it.
void Session::reportAnsweredParts(TimePoint now)
{
    if (!std::exchange(isAnswerReported_, true) && !head_.sharedParts_.empty())
        gateway_.poisonPills().answered(head_.sharedParts_, answerBegunAt_, now);
}

void Session::forwardEvents(std::string_view data)
{
    const auto whole = scanCompleteEvents(data);
    if (whole.count_ > 0) {
        const auto now = gateway_.parts().clock_.now();
        recordEvents(now);
        recordProgress(now);
        events_ += whole.count_;
        if (whole.lastId_)
            lastEventId_ = whole.lastId_;
        pending_.append(data.substr(0, whole.size_));
    }
    flush();
    if (call_ && holdAnswer(data.size() - whole.size_, gateway_.bounds().eventBytes_))
        readOnOrPause(whole.size_);
}

/// Counts \p bytes of the answer that cannot be sent to the caller yet.
/// \returns false if these are too many and the attempt has failed.
bool Session::holdAnswer(std::size_t bytes, std::size_t limit)
{
    if (!answerShare_)
        answerShare_.emplace(gateway_.answerBuffers());
    const bool isTooLarge = bytes > limit;
    if (!isTooLarge && answerShare_->set(bytes))
        return true;
    gateway_.parts().metrics_.oversizedAnswers_.increment();
    recordError(gateway_.parts().clock_.now());
    attemptFailed(Failure::Unknown, isTooLarge ? "the answer, or an event of it, is too large"
                                               : "no memory is free for an answer of that size");
    return false;
}

bool Session::mayReadOn() const
{
    return pending_.size() < maxPendingBytes && (!bufferShare_ || bufferShare_->mayRead());
}

/// \param size bytes of the endpoint's data that were processed.
void Session::readOnOrPause(std::size_t size)
{
    if (!call_)
        return;
    if (mayReadOn()) {
        call_->consume(size);
        return;
    }
    unconsumed_ = size;
    isReadingPaused_ = true;
    gateway_.parts().metrics_.readPauses_.increment();
}

/// The endpoint was not silent while it was not read, so its stall timer restarts.
void Session::resumeReading()
{
    if (!isReadingPaused_ || !call_ || !mayReadOn())
        return;
    isReadingPaused_ = false;
    progressAt_ = gateway_.parts().clock_.now();
    call_->consume(std::exchange(unconsumed_, 0));
}

void Session::updateBufferShare()
{
    if (bufferShare_)
        bufferShare_->set(pending_.size() + writing_.size());
}

void Session::flush()
{
    updateBufferShare();
    if (isWriting_ || !exchange_)
        return;
    if (pending_.empty() && !isStreamEnded_)
        return;
    sendStreamHead();
    if (pending_.empty()) {
        std::exchange(exchange_, nullptr)->finish({});
        finish("served", "");
        return;
    }
    writing_ = std::exchange(pending_, {});
    isWriting_ = true;
    const std::string_view part = writing_;
    exchange_->write({&part, 1}, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->isDone_)
            return;
        self->isWriting_ = false;
        self->writing_ = {};
        self->flush();
        self->resumeReading();
    });
}

/// The entry VM that relayed the request needs to know the runs if this one breaks off.
std::vector<net::HttpField> Session::answerFields() const
{
    auto fields = gateway_.parts().dialect_.callerFields(answer_);
    if (origin_.isRelayed_)
        impl::setRuns(fields, possibleRuns_);
    return fields;
}

/// Sends the head with the first event, or at the end of a stream without events.
void Session::sendStreamHead()
{
    if (answer_.status_ == 0)
        return;
    net::HttpResponse head;
    head.status_ = answer_.status_;
    head.fields_ = answerFields();
    exchange_->startStream(std::move(head));
    answer_ = {};
}

void Session::onEnd(std::string_view rest)
{
    recordAnswerData(gateway_.parts().clock_.now());
    if (!carrier_ && answer_.status_ < minServerError)
        gateway_.parts().loadTracker_.succeeded(target_.endpoint_);
    if (phase_ == Phase::Streaming)
        endStream(rest);
    else
        sendBufferedAnswer(rest);
}

void Session::endStream(std::string_view rest)
{
    const auto whole = scanCompleteEvents(rest);
    // A process that ends closes its connections in order as well.
    if (answer_.endsWithConnection_ && events_ + whole.count_ == 0) {
        recordBrokenAttempt(gateway_.parts().clock_.now());
        attemptFailed(Failure::Unknown, "the stream ends before its first event");
        return;
    }
    if (whole.size_ != rest.size()) {
        pending_.append(rest.substr(0, whole.size_));
        if (whole.lastId_)
            lastEventId_ = whole.lastId_;
        events_ += whole.count_;
        recordBrokenAttempt(gateway_.parts().clock_.now());
        attemptFailed(Failure::Unknown, "the stream ends inside an event");
        return;
    }
    pending_.append(rest);
    events_ += whole.count_;
    isStreamEnded_ = true;
    const auto now = gateway_.parts().clock_.now();
    if (whole.count_ > 0 && !hasProgress_) {
        answerBegunAt_ = now;
        recordProgress(now);
    }
    if (hasProgress_)
        reportAnsweredParts(now);
    dropAttempt();
    flush();
}

void Session::sendBufferedAnswer(std::string_view rest)
{
    answer_.body_.append(rest);
    dropAttempt();
    const auto now = gateway_.parts().clock_.now();
    if (answer_.status_ < minClientError)
        reportAnsweredParts(now);
    firstEventDelay_ = now - arrivedAt_;
    gateway_.parts().metrics_.firstByte_.observe(toSeconds(firstEventDelay_));
    net::HttpResponse response;
    response.status_ = answer_.status_;
    response.fields_ = answerFields();
    response.body_ = std::move(answer_.body_);
    std::exchange(exchange_, nullptr)->respond(std::move(response));
    finish("served", answer_.status_ < minClientError ? "" : "the endpoint's own failure");
}

} // namespace cardamombay::serving
