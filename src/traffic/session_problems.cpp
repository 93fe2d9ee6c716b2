#include <traffic/session_problems.hpp>

#include <algorithm>

namespace cardamombay::traffic::impl {

namespace {

constexpr std::uint32_t tooManyRequests = 429;
constexpr std::uint32_t unavailable = 503;
constexpr std::uint32_t conflict = 409;
constexpr std::uint32_t unprocessable = 422;
constexpr Duration shortRetry = std::chrono::seconds(1);

} // namespace

Problem shedProblem(const limits::Shed &shed)
{
    const bool isTeamsLoad = shed.reason_ == limits::ShedReason::QueueFull
                             || shed.reason_ == limits::ShedReason::Displaced;
    Problem problem;
    problem.status_ = isTeamsLoad ? tooManyRequests : unavailable;
    problem.type_ = limits::nameOf(shed.reason_);
    problem.title_ = "The request was not let in";
    problem.detail_ = "admission refused it: " + problem.type_;
    problem.remedy_ = "send it again after the time in Retry-After";
    problem.retryAfter_ = shed.retryAfter_;
    return problem;
}

Problem noGroupProblem(routing::RouteReason reason)
{
    Problem problem;
    problem.status_ = unavailable;
    problem.type_ = "no-group";
    problem.title_ = "No replica of the service can take the request";
    problem.detail_ = "routing found none: " + std::string(routing::nameOf(reason));
    problem.remedy_ = "send it again later; 'cardamombayctl explain' says why groups are down";
    problem.retryAfter_ = shortRetry;
    return problem;
}

Problem claimProblem(const ClaimAnswer &answer)
{
    Problem problem;
    if (answer.verdict_ == ClaimVerdict::Mismatch) {
        problem.status_ = unprocessable;
        problem.type_ = "key-mismatch";
        problem.title_ = "The idempotency key belongs to another request";
        problem.detail_ = "the key was used before with other content";
        problem.remedy_ = "use a new key for a new request";
        return problem;
    }
    if (answer.verdict_ == ClaimVerdict::Pending) {
        problem.status_ = conflict;
        problem.type_ = "key-pending";
        problem.title_ = "A request with this idempotency key has no known outcome yet";
        problem.detail_ = "it may be running, or it ran and its answer was lost";
        problem.remedy_ = "ask again later with the same key; find out whether it took effect "
                          "before you use a new key";
        problem.outcome_ = outcomes::Outcome::Unknown;
        problem.retryAfter_ = shortRetry;
        return problem;
    }
    problem.status_ = unavailable;
    problem.type_ = "no-claim";
    problem.title_ = "The idempotency key could not be claimed";
    problem.detail_ = "the table service gave no answer, so the request was not handed over";
    problem.remedy_ = "send it again with the same key after the time in Retry-After";
    problem.retryAfter_ = std::max(answer.retryAfter_, shortRetry);
    return problem;
}

Problem lateClaimProblem(outcomes::Outcome outcome)
{
    Problem problem;
    problem.status_ = unavailable;
    problem.type_ = "claim-lapsed";
    problem.title_ = "The time for handing the request over had passed";
    problem.detail_ = "the claim on its idempotency key ran out first, so nothing was handed over";
    problem.remedy_ = "send it again with the same key after the time in Retry-After";
    problem.outcome_ = outcome;
    problem.retryAfter_ = shortRetry;
    return problem;
}

Problem failureProblem(outcomes::Outcome outcome, outcomes::Cause cause,
                       outcomes::RequestSafety safety, Duration retryAfter)
{
    auto message = outcomes::describe(outcome, cause, safety);
    Problem problem;
    problem.status_ = message.status_;
    problem.type_ = outcomes::nameOf(cause);
    problem.title_ = std::move(message.title_);
    problem.detail_ = std::move(message.detail_);
    problem.remedy_ = std::move(message.remedy_);
    problem.outcome_ = message.outcome_;
    if (outcome == outcomes::Outcome::NotRun)
        problem.retryAfter_ = std::max(retryAfter, shortRetry);
    return problem;
}

Problem drainProblem()
{
    Problem problem;
    problem.status_ = unavailable;
    problem.type_ = "draining";
    problem.title_ = "This entry VM is shutting down";
    problem.detail_ = "it takes no new requests";
    problem.remedy_ = "send the request again on a new connection";
    problem.retryAfter_ = shortRetry;
    return problem;
}

Problem notConfiguredProblem()
{
    Problem problem;
    problem.status_ = unavailable;
    problem.type_ = "not-configured";
    problem.title_ = "This entry VM has no configuration yet";
    problem.detail_ = "neither the platform nor a peer has given it one";
    problem.remedy_
        = "apply one with 'cardamombayctl config apply', or check the platform's service";
    problem.retryAfter_ = shortRetry;
    return problem;
}

} // namespace cardamombay::traffic::impl
