#include <cardamombay/outcomes/outcome.hpp>

namespace cardamombay::outcomes {

namespace {

std::uint32_t statusOf(Outcome outcome, Cause cause)
{
    constexpr std::uint32_t badGateway = 502;
    constexpr std::uint32_t unavailable = 503;
    constexpr std::uint32_t gatewayTimeout = 504;
    if (cause == Cause::TimedOut)
        return gatewayTimeout;
    return outcome == Outcome::NotRun ? unavailable : badGateway;
}

std::string detailOf(Cause cause)
{
    switch (cause) {
    case Cause::None:
        return "No attempt has ended.";
    case Cause::Complete:
        return "The endpoint answered.";
    case Cause::ConnectFailed:
        return "No endpoint could be reached.";
    case Cause::Refused:
        return "The endpoint refused the request before it ran.";
    case Cause::ForeignAnswer:
        return "The endpoint sent an answer that does not belong to this request.";
    case Cause::BrokenAnswer:
        return "The endpoint's answer has a gap or is malformed.";
    case Cause::ClosedEarly:
        return "The endpoint closed the connection before its answer was whole.";
    case Cause::TimedOut:
        return "The endpoint did not answer in time.";
    case Cause::CallerGone:
        return "The caller closed the connection.";
    case Cause::GroupLost:
        return "The group that had the request lost a member.";
    }
    return {};
}

std::string remedyOf(Outcome outcome, RequestSafety safety)
{
    if (outcome == Outcome::NotRun)
        return "Send the request again.";
    if (safety.isIdempotent_)
        return "Send the request again; it is declared idempotent.";
    if (safety.hasKey_)
        return "Ask the service whether it took effect; the key will not run it again.";
    return "Ask the service whether it took effect before you send it again.";
}

std::string titleOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "The request was not run";
    case Outcome::Ran:
        return "The request ran";
    case Outcome::Unknown:
        return "It is not known whether the request ran";
    }
    return {};
}

} // namespace

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        return "unknown";
    }
    return {};
}

std::string_view nameOf(Cause cause)
{
    switch (cause) {
    case Cause::None:
        return "none";
    case Cause::Complete:
        return "complete";
    case Cause::ConnectFailed:
        return "connect-failed";
    case Cause::Refused:
        return "refused";
    case Cause::ForeignAnswer:
        return "foreign-answer";
    case Cause::BrokenAnswer:
        return "broken-answer";
    case Cause::ClosedEarly:
        return "closed-early";
    case Cause::TimedOut:
        return "timed-out";
    case Cause::CallerGone:
        return "caller-gone";
    case Cause::GroupLost:
        return "group-lost";
    }
    return {};
}

CallerMessage describe(Outcome outcome, Cause cause, RequestSafety safety)
{
    return {statusOf(outcome, cause), outcome, titleOf(outcome), detailOf(cause),
            remedyOf(outcome, safety)};
}

AttemptId makeAttemptId(const RequestId &request, std::uint32_t number, Incarnation incarnation)
{
    return AttemptId(request.text() + "." + std::to_string(number) + "."
                     + std::to_string(incarnation.value()));
}

} // namespace cardamombay::outcomes
