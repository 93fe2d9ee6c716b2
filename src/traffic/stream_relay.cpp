#include <cardamombay/traffic/stream_relay.hpp>

#include <traffic/stream_event.hpp>

#include <utility>

namespace cardamombay::traffic {

using outcomes::Acceptance;

StreamRelay::StreamRelay(RequestId request, outcomes::StreamTraits traits)
    : request_(std::move(request))
    , continuity_(std::move(traits))
{
}

RelayStep StreamRelay::take(std::string_view data, outcomes::Attempt &attempt)
{
    RelayStep step;
    while (!step.isWhole_ && !step.isBroken_) {
        const auto rest = data.substr(step.consumed_);
        const auto length = impl::eventLength(rest);
        if (length == 0)
            break;
        step.consumed_ += length;
        takeEvent(rest.substr(0, length), attempt, step);
    }
    return step;
}

void StreamRelay::takeEvent(std::string_view event, outcomes::Attempt &attempt, RelayStep &step)
{
    const auto data = impl::dataOf(event);
    if (data.empty())
        return; // A comment line, as servers send to keep a connection open.
    if (impl::isEndMarker(data)) {
        step.isWhole_ = continuity_.end(attempt.id());
        step.isBroken_ = !step.isWhole_;
        if (step.isBroken_) {
            attempt.streamBroken();
            return;
        }
        attempt.endMarker();
        step.parts_.push_back(event);
        return;
    }
    const auto token = impl::parseTokenEvent(data);
    if (!token) {
        attempt.streamBroken();
        step.isBroken_ = true;
        return;
    }
    if (!attempt.takeEvent(token->attempt_)) {
        step.isBroken_ = true;
        return;
    }
    switch (continuity_.accept(attempt.id(), token->index_)) {
    case Acceptance::Deliver:
        deliver(event, attempt.id(), step);
        return;
    case Acceptance::Duplicate:
        attempt.countDuplicate();
        return;
    case Acceptance::Gap:
    case Acceptance::Foreign:
        attempt.streamBroken();
        step.isBroken_ = true;
        return;
    }
}

void StreamRelay::deliver(std::string_view event, const AttemptId &attempt, RelayStep &step) const
{
    ++step.tokens_;
    const auto at = event.find(attempt.text());
    if (at == std::string_view::npos) {
        step.parts_.push_back(event);
        return;
    }
    step.parts_.push_back(event.substr(0, at));
    step.parts_.push_back(request_.text());
    step.parts_.push_back(event.substr(at + attempt.text().size()));
}

} // namespace cardamombay::traffic
