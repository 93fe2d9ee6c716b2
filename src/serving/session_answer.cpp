// The answering half of Session: from an endpoint's head to the last byte for the caller.
#include "serving/session.hpp"

#include <cardamombay/serving/event_scanner.hpp>
#include <cardamombay/serving/gateway.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

constexpr std::uint32_t leastServerError = 500;

/// Events held for a caller that reads slowly, bytes; then the endpoint waits.
constexpr std::size_t mostPending = std::size_t{256} * 1024;

/// The endpoint may hold another member of its group responsible.
std::string refusalText(std::uint32_t status, const VmId &failedMember)
{
    const auto text = "status " + std::to_string(status);
    return failedMember.isEmpty() ? text : text + ", fault of " + failedMember.text();
}

} // namespace

void Session::onHead(net::HttpResponse head)
{
    const auto now = gateway_.parts().clock_.now();
    const auto answer = gateway_.parts().dialect_.answerHead(head);
    takeNotices(answer, now);
    if (answer.isRefused_) {
        --mayHaveRun_;
        noteRefusal(answer.isWrongPlace_, now);
        attemptFailed(Failure::Refused, refusalText(head.status_, answer.failedMember_));
        return;
    }
    const bool isSuccess = head.status_ >= 200 && head.status_ < 300;
    noteAnswer(head.status_, now);
    if (isSuccess && !answer.isSealed_) {
        attemptFailed(Failure::Unknown, "an answer without the endpoint's seal");
        return;
    }
    const bool isWorthRepeating = head.status_ >= leastServerError && phase_ == Phase::Waiting;
    if (isWorthRepeating && moveElsewhere("status " + std::to_string(head.status_), now))
        return;
    if (isSuccess && isStream()) {
        takeStreamHead(head);
        return;
    }
    if (phase_ == Phase::Streaming) {
        attemptFailed(Failure::Unknown, "status " + std::to_string(head.status_));
        return;
    }
    phase_ = Phase::Whole;
    answer_ = std::move(head);
    answer_.body_.clear();
}

/// An endpoint that names a cooldown has not run the request and is as good as any after it.
void Session::noteRefusal(bool isWrongPlace, TimePoint now)
{
    gateway_.parts().loadTracker_.failed(target_.endpoint_, now);
    if (!isWrongPlace && gateway_.notices().cooldown(target_.incarnation(), now))
        tried_.pop_back();
}

/// A failure of the endpoint's own counts as run, and against the endpoint unless the request has
/// failed elsewhere too.
void Session::noteAnswer(std::uint32_t status, TimePoint now)
{
    auto &board = gateway_.parts().loadTracker_;
    if (status < leastServerError) {
        board.progressed(target_.endpoint_, now);
        return;
    }
    noteProgress(now);
    if (!gateway_.blamesEndpoint(fingerprint_, target_.endpoint_))
        return;
    board.erred(target_.endpoint_,
                service_->engine_ ? LoadTracker::groupErrorWeight : LoadTracker::plainErrorWeight,
                now);
}

void Session::takeStreamHead(const net::HttpResponse &head)
{
    if (events_ > 0)
        return; // Resumed: the caller has the first endpoint's head.
    answer_ = head;
    phase_ = Phase::Streaming;
}

void Session::onData(std::string_view data)
{
    const auto now = gateway_.parts().clock_.now();
    if (answer_.status_ < leastServerError)
        gateway_.parts().loadTracker_.progressed(target_.endpoint_, now);
    if (phase_ == Phase::Whole) {
        noteProgress(now);
        answer_.body_.append(data);
        call_->consume(data.size());
        return;
    }
    passEvents(data);
}

void Session::noteEvents(TimePoint now)
{
    const auto &metrics = gateway_.parts().metrics_;
    if (events_ == 0) {
        firstAfter_ = now - arrivedAt_;
        metrics.firstByte_.observe(toSeconds(firstAfter_));
    } else {
        longestPause_ = std::max(longestPause_, now - eventAt_);
        metrics.pause_.observe(toSeconds(now - eventAt_));
    }
    eventAt_ = now;
}

void Session::passEvents(std::string_view data)
{
    const auto whole = wholeEvents(data);
    if (whole.count_ > 0) {
        const auto now = gateway_.parts().clock_.now();
        noteEvents(now);
        noteProgress(now);
        events_ += whole.count_;
        if (whole.lastId_)
            lastEvent_ = whole.lastId_;
        pending_.append(data.substr(0, whole.size_));
    }
    flush();
    if (call_ && pending_.size() < mostPending)
        call_->consume(whole.size_);
}

void Session::flush()
{
    if (isWriting_ || !exchange_)
        return;
    if (pending_.empty() && !isStreamEnded_)
        return;
    startAnswer();
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
        self->flush();
    });
}

/// The head leaves with the first event, or with the end of a stream that has none.
void Session::startAnswer()
{
    if (answer_.status_ == 0)
        return;
    net::HttpResponse head;
    head.status_ = answer_.status_;
    head.fields_ = gateway_.parts().dialect_.callerFields(answer_);
    exchange_->startStream(std::move(head));
    answer_ = {};
}

void Session::onEnd(std::string_view rest)
{
    auto &board = gateway_.parts().loadTracker_;
    if (answer_.status_ < leastServerError) {
        board.progressed(target_.endpoint_, gateway_.parts().clock_.now());
        board.succeeded(target_.endpoint_);
    }
    if (phase_ == Phase::Streaming)
        endStream(rest);
    else
        answerWhole(rest);
}

void Session::endStream(std::string_view rest)
{
    const auto whole = wholeEvents(rest);
    if (whole.size_ != rest.size()) {
        pending_.append(rest.substr(0, whole.size_));
        if (whole.lastId_)
            lastEvent_ = whole.lastId_;
        events_ += whole.count_;
        noteBroken();
        attemptFailed(Failure::Unknown, "the stream ends inside an event");
        return;
    }
    pending_.append(rest);
    events_ += whole.count_;
    isStreamEnded_ = true;
    dropAttempt();
    flush();
}

void Session::answerWhole(std::string_view rest)
{
    answer_.body_.append(rest);
    dropAttempt();
    const auto now = gateway_.parts().clock_.now();
    firstAfter_ = now - arrivedAt_;
    gateway_.parts().metrics_.firstByte_.observe(toSeconds(firstAfter_));
    net::HttpResponse response;
    response.status_ = answer_.status_;
    response.fields_ = gateway_.parts().dialect_.callerFields(answer_);
    response.body_ = std::move(answer_.body_);
    std::exchange(exchange_, nullptr)->respond(std::move(response));
    finish("served", answer_.status_ < 400 ? "" : "the endpoint's own failure");
}

} // namespace cardamombay::serving
