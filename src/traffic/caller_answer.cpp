#include <traffic/caller_answer.hpp>

#include <array>
#include <utility>

namespace cardamombay::traffic::impl {

namespace {

net::HttpField outcomeTrailer(outcomes::Outcome outcome)
{
    return {outcomeField, std::string(outcomes::nameOf(outcome))};
}

} // namespace

CallerAnswer::CallerAnswer(std::shared_ptr<net::ServerExchange> exchange, RequestId request,
                           bool keepsCopy)
    : exchange_(std::move(exchange))
    , request_(std::move(request))
    , keepsCopy_(keepsCopy)
{
}

void CallerAnswer::respond(net::HttpResponse response, outcomes::Outcome outcome)
{
    isAnswered_ = true;
    status_ = response.status_;
    if (keepsCopy_)
        copy_ = {response.status_, response.field("Content-Type"), response.body_};
    response.fields_.push_back({requestIdField, request_.text()});
    response.fields_.push_back(outcomeTrailer(outcome));
    exchange_->respond(std::move(response));
}

/// The outcome of a stream is known at its end only, so it follows as a trailer.
void CallerAnswer::startStream(const net::HttpResponse &head)
{
    hasStreamStarted_ = true;
    status_ = head.status_;
    isEventStream_ = head.field("Content-Type").starts_with("text/event-stream");
    if (keepsCopy_)
        copy_ = {head.status_, head.field("Content-Type"), {}};
    net::HttpResponse own = head;
    own.fields_.push_back({requestIdField, request_.text()});
    own.fields_.push_back({"Trailer", outcomeField});
    exchange_->startStream(std::move(own));
}

void CallerAnswer::writeStream(const net::HttpResponse &head,
                               std::span<const std::string_view> parts,
                               std::function<void()> written)
{
    if (!hasStreamStarted_)
        startStream(head);
    if (keepsCopy_) {
        for (const auto part : parts)
            copy_.body_ += part;
    }
    exchange_->write(parts, std::move(written));
}

void CallerAnswer::finishStream()
{
    isAnswered_ = true;
    const std::array trailers{outcomeTrailer(outcomes::Outcome::Ran)};
    exchange_->finish(trailers);
}

void CallerAnswer::fail(const Problem &problem)
{
    if (isAnswered_)
        return;
    isAnswered_ = true;
    if (!hasStreamStarted_) {
        status_ = problem.status_;
        exchange_->respond(problemResponse(problem, request_));
        return;
    }
    // Only an event stream has a place for the problem; elsewhere the caller sees the answer end
    // before its last chunk.
    if (!isEventStream_) {
        exchange_->abort();
        return;
    }
    const auto event = std::make_shared<const std::string>(problemEvent(problem, request_));
    const std::array<std::string_view, 1> parts{*event};
    exchange_->write(parts, [exchange = exchange_, event, outcome = problem.outcome_] {
        const std::array trailers{outcomeTrailer(outcome)};
        exchange->finish(trailers);
    });
}

} // namespace cardamombay::traffic::impl
