// Faults against one attempt; a second observer keeps what was sent and seen.
#include <cardamombay/outcomes/attempt.hpp>

#include <memory>

#include "faults/matrix.hpp"

namespace cardamombay::faults {

using namespace outcomes;

namespace {

const std::string own = "r-1.1.9";
const std::string foreign = "r-2.1.9";

AttemptProgramPtr program()
{
    static const auto bound
        = makeAttemptProgram(valueOf(chart::ChartFolder(SOURCE_FOLDER "/charts").load("attempt")));
    return valueOf(bound);
}

class AttemptBench
{
public:
    bool reach(const std::string &state)
    {
        if (state == "idle")
            return true;
        attempt_.connectStarted();
        if (state == "connecting")
            return true;
        if (state == "not-run") {
            attempt_.connectFailed();
            return attempt_.isSettled();
        }
        send();
        if (state == "sent")
            return hasSent_;
        takeHead(own);
        if (state == "answering")
            return hasHead_;
        if (state == "ran")
            end();
        else
            attempt_.closed();
        return attempt_.isSettled() && (state == "ran" || state == "unknown");
    }

    /// \name Faults
    /// \{
    void kill() { attempt_.closed(); }
    void pausePastLease()
    {
        attempt_.timedOut();
        takeHead(own);
        end();
    }
    void pauseAndWake() { takeHead(own); }
    void leave() { attempt_.groupLost(); }
    void partition() { attempt_.timedOut(); }
    void storeDown() { attempt_.callerGone(); }
    void storeSlow() { attempt_.timedOut(); }
    void answerLost() { attempt_.closed(); }
    void clockStep()
    {
        attempt_.timedOut();
        attempt_.timedOut();
    }
    void operatorRace()
    {
        attempt_.groupLost();
        attempt_.groupLost();
    }
    void staleOrder() { takeHead(foreign); }
    void sameTwice()
    {
        attempt_.closed();
        attempt_.closed();
    }
    void twoAtOnce()
    {
        attempt_.groupLost();
        takeHead(foreign);
        attempt_.closed();
    }
    /// \}

    std::string settle()
    {
        attempt_.timedOut();
        const auto verdict = attempt_.verdict();
        if (!attempt_.isSettled())
            return "not settled";
        if (verdict.outcome_ == Outcome::NotRun && hasSent_)
            return "told not-run although bytes left and the endpoint did not refuse";
        if (verdict.outcome_ == Outcome::Ran && !(hasHead_ && hasEnd_))
            return "told ran without a whole answer";
        if (verdict.outcome_ != Outcome::NotRun && verdict.mayRetry_)
            return "a non-idempotent request may be retried although it may have run";
        if (verdict.outcome_ == Outcome::Unknown && hasSent_ && !verdict.needsCancel_)
            return "the endpoint is not told to stop";
        if (hasForeign_)
            return "an answer of another attempt was passed on";
        return settledForGood(verdict.outcome_);
    }

private:
    void send() { hasSent_ = attempt_.startSending() || hasSent_; }
    void takeHead(const std::string &id)
    {
        const bool isPassedOn = attempt_.takeHead({200, id, false});
        hasHead_ = hasHead_ || (isPassedOn && id == own);
        hasForeign_ = hasForeign_ || (isPassedOn && id == foreign);
    }
    void end()
    {
        attempt_.endMarker();
        hasEnd_ = true;
    }

    std::string settledForGood(Outcome outcome)
    {
        const bool isSentAgain = attempt_.startSending();
        const bool isLatePassedOn = attempt_.takeHead({200, own, false}) || attempt_.takeData();
        attempt_.endMarker();
        if (isSentAgain || isLatePassedOn)
            return "something is sent or passed on after the outcome was told";
        return attempt_.verdict().outcome_ == outcome ? ""
                                                      : "the outcome changed after it was told";
    }

    Attempt attempt_{program(), AttemptId(own), {false, false}};
    bool hasSent_ = false;
    bool hasHead_ = false;
    bool hasEnd_ = false;
    bool hasForeign_ = false;
};

} // namespace

ChartChecks attemptChecks()
{
    ChartChecks checks;
    checks.chart_ = "attempt";
    checks.assertion_
        = "The attempt settles. \"not-run\" is told only if no byte left; \"ran\" only of a whole "
          "answer; a non-idempotent request that may have run is not retried and its endpoint is "
          "told to stop; nothing of another attempt is passed on, and nothing after the outcome.";
    using Bench = AttemptBench;
    addChecks<Bench>(
        checks,
        {{"kill", {"the endpoint closes the connection", &Bench::kill}},
         {"pause past a lease",
          {"the endpoint answers after the time limit", &Bench::pausePastLease}},
         {"pause and wake", {"the answer's head comes late or again", &Bench::pauseAndWake}},
         {"leave", {"the group is lost", &Bench::leave}},
         {"partition", {"no answer until the time limit", &Bench::partition}},
         {"store down",
          {"an attempt asks no store; the caller goes away instead", &Bench::storeDown}},
         {"store slow",
          {"an attempt asks no store; the endpoint is as slow instead", &Bench::storeSlow}},
         {"answer lost", {"the connection closes before the end marker", &Bench::answerLost}},
         {"clock step", {"the time limit strikes early, twice", &Bench::clockStep}},
         {"operator race", {"the group is taken out by two changes", &Bench::operatorRace}},
         {"stale order", {"an answer of another attempt arrives", &Bench::staleOrder}},
         {"same fault twice", {"the connection closes twice", &Bench::sameTwice}},
         {"two at once",
          {"the group is lost, a foreign answer comes, the connection closes", &Bench::twoAtOnce}}},
        [] { return std::make_unique<Bench>(); });
    return checks;
}

} // namespace cardamombay::faults
