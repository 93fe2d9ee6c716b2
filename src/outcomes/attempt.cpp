#include <cardamombay/outcomes/attempt.hpp>

#include <utility>

namespace cardamombay::outcomes {

namespace {

/// States that the code queries.
constexpr std::string_view sentState = "sent";
constexpr std::string_view answeringState = "answering";
constexpr std::string_view ranState = "ran";
constexpr std::string_view unknownState = "unknown";

constexpr std::uint32_t firstServerError = 500;

/// Cause recorded if \p event ends an attempt.
Cause causeOf(std::string_view event)
{
    if (event == "end-marker")
        return Cause::Complete;
    if (event == "connect-failed")
        return Cause::ConnectFailed;
    if (event == "refused")
        return Cause::Refused;
    if (event == "stream-broken")
        return Cause::BrokenAnswer;
    if (event == "closed")
        return Cause::ClosedEarly;
    if (event == "timed-out")
        return Cause::TimedOut;
    if (event == "caller-gone")
        return Cause::CallerGone;
    if (event == "group-lost")
        return Cause::GroupLost;
    return Cause::ForeignAnswer;
}

} // namespace

DroppedAnswers &DroppedAnswers::operator+=(const DroppedAnswers &other)
{
    late_ += other.late_;
    crossed_ += other.crossed_;
    missingId_ += other.missingId_;
    duplicate_ += other.duplicate_;
    truncated_ += other.truncated_;
    return *this;
}

Result<AttemptProgramPtr> makeAttemptProgram(const chart::Chart &chart)
{
    chart::Binding<Attempt> binding;
    binding.state(sentState).state(answeringState).state(ranState).state(unknownState);
    binding.events({"connect-started", "connect-failed", "send-started", "refused", "head-matching",
                    "head-foreign", "data", "data-foreign", "stream-broken", "end-marker", "closed",
                    "timed-out", "caller-gone", "group-lost"});
    binding.action("settle", [](Attempt &attempt) { attempt.settle(); });
    binding.action("cancel", [](Attempt &attempt) { attempt.needsCancel_ = true; });
    binding.action("count-late", [](Attempt &attempt) { ++attempt.dropped_.late_; });
    binding.action("count-crossed", [](Attempt &attempt) { attempt.countCrossed(); });
    binding.action("count-duplicate", [](Attempt &attempt) { ++attempt.dropped_.duplicate_; });
    binding.action("count-truncated", [](Attempt &attempt) { ++attempt.dropped_.truncated_; });
    return chart::bind(chart, std::move(binding));
}

Attempt::Attempt(AttemptProgramPtr program, AttemptId id, RequestSafety safety)
    : id_(std::move(id))
    , safety_(safety)
    , machine_(std::move(program))
{
}

bool Attempt::startSending()
{
    const bool wasSent = machine_.isIn(sentState);
    handle("send-started");
    return !wasSent && machine_.isIn(sentState);
}

bool Attempt::takeHead(const ResponseHead &head)
{
    const bool isMatching = head.attemptId_ == id_.text();
    isIdMissing_ = head.attemptId_.empty();
    const bool wasAnswering = machine_.isIn(answeringState);
    if (!isMatching)
        handle("head-foreign");
    else if (head.isNotRun_)
        handle("refused");
    else
        handle("head-matching");
    const bool isAccepted = !wasAnswering && machine_.isIn(answeringState);
    if (isAccepted)
        status_ = head.status_;
    return isAccepted;
}

bool Attempt::takeData()
{
    isIdMissing_ = false;
    handle("data");
    return machine_.isIn(answeringState);
}

bool Attempt::takeEvent(std::string_view id)
{
    if (id == id_.text())
        return takeData();
    isIdMissing_ = id.empty();
    handle("data-foreign");
    return false;
}

Outcome Attempt::outcome() const
{
    if (machine_.isIn(ranState))
        return Outcome::Ran;
    const bool mayHaveRun
        = machine_.isIn(sentState) || machine_.isIn(answeringState) || machine_.isIn(unknownState);
    return mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

AttemptResult Attempt::verdict() const
{
    const Outcome current = outcome();
    const bool hasFailed = current == Outcome::Unknown || status_ >= firstServerError;
    const bool isCallerPresent = cause_ != Cause::CallerGone;
    const bool isRepeatable = current == Outcome::NotRun || (safety_.isIdempotent_ && hasFailed);
    return {current, cause_, isCallerPresent && isRepeatable, needsCancel_};
}

void Attempt::handle(std::string_view event)
{
    event_ = event;
    machine_.handle(*this, event);
}

void Attempt::settle()
{
    cause_ = causeOf(event_);
}

void Attempt::countCrossed()
{
    if (isIdMissing_)
        ++dropped_.missingId_;
    else
        ++dropped_.crossed_;
}

} // namespace cardamombay::outcomes
