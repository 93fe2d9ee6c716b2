// Checks the outcome after every sequence of four events of charts/attempt.toml.
#include <cardamombay/outcomes/attempt.hpp>

#include <functional>
#include <map>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::outcomes;

namespace {

using Step = std::function<void(Attempt &, bool &isPassedOn, bool &isSent)>;

const std::string id = "r-1.1.9";

std::map<std::string, Step> eventSteps()
{
    std::map<std::string, Step> steps;
    steps["connect-started"] = [](Attempt &a, bool &, bool &) { a.connectStarted(); };
    steps["connect-failed"] = [](Attempt &a, bool &, bool &) { a.connectFailed(); };
    steps["send-started"] = [](Attempt &a, bool &, bool &isSent) { isSent = a.startSending(); };
    steps["refused"] = [](Attempt &a, bool &isPassedOn, bool &) {
        isPassedOn = a.takeHead({503, id, true});
    };
    steps["head-matching"] = [](Attempt &a, bool &isPassedOn, bool &) {
        isPassedOn = a.takeHead({200, id, false});
    };
    steps["head-foreign"] = [](Attempt &a, bool &isPassedOn, bool &) {
        isPassedOn = a.takeHead({200, "r-2.1.9", false});
    };
    steps["data"] = [](Attempt &a, bool &isPassedOn, bool &) { isPassedOn = a.takeEvent(id); };
    steps["data-foreign"]
        = [](Attempt &a, bool &isPassedOn, bool &) { isPassedOn = a.takeEvent("r-2.1.9"); };
    steps["stream-broken"] = [](Attempt &a, bool &, bool &) { a.streamBroken(); };
    steps["end-marker"] = [](Attempt &a, bool &, bool &) { a.endMarker(); };
    steps["closed"] = [](Attempt &a, bool &, bool &) { a.closed(); };
    steps["timed-out"] = [](Attempt &a, bool &, bool &) { a.timedOut(); };
    steps["caller-gone"] = [](Attempt &a, bool &, bool &) { a.callerGone(); };
    steps["group-lost"] = [](Attempt &a, bool &, bool &) { a.groupLost(); };
    return steps;
}

/// Model of an attempt, tracked independently to check its results against.
struct AttemptModel
{
    bool hasSent_ = false;
    bool hasHead_ = false;
    bool isRefused_ = false;
    bool isForeign_ = false;
    std::string trace_;

    void apply(Attempt &attempt, const std::string &event, const Step &step)
    {
        trace_ += " " + event;
        const bool wasSettled = attempt.isSettled();
        const Outcome before = attempt.outcome();
        bool isPassedOn = false;
        bool isSent = false;
        step(attempt, isPassedOn, isSent);

        cr_assert(!(isSent && (hasSent_ || wasSettled)), "sent twice:%s", trace_.c_str());
        cr_assert(!(isPassedOn && (!hasSent_ || wasSettled || isForeign_)), "passed on:%s",
                  trace_.c_str());
        if (wasSettled)
            cr_assert(attempt.outcome() == before, "outcome changed:%s", trace_.c_str());
        recordEvent(event, isSent, isPassedOn, wasSettled);
        checkResult(attempt, event);
    }

private:
    void recordEvent(const std::string &event, bool isSent, bool isPassedOn, bool wasSettled)
    {
        hasSent_ = hasSent_ || isSent;
        isForeign_ = isForeign_ || event.ends_with("foreign");
        if (event == "refused" && hasSent_ && !hasHead_ && !wasSettled)
            isRefused_ = true;
        hasHead_ = hasHead_ || (event == "head-matching" && isPassedOn);
    }

    void checkResult(const Attempt &attempt, const std::string &event) const
    {
        const auto verdict = attempt.verdict();
        const bool mayHaveRun = hasSent_ && !isRefused_;
        cr_assert_eq(verdict.outcome_ == Outcome::NotRun, !mayHaveRun, "not-run:%s",
                     trace_.c_str());
        cr_assert(!(verdict.mayRetry_ && mayHaveRun), "retry:%s", trace_.c_str());
        if (verdict.outcome_ == Outcome::Ran)
            cr_assert(hasHead_ && attempt.isSettled(), "ran:%s", trace_.c_str());
        if (event == "closed" || event == "timed-out")
            cr_assert(attempt.isSettled(), "not settled:%s", trace_.c_str());
    }
};

} // namespace

Test(attempt_matrix, every_sequence_of_four_events_gives_a_valid_outcome)
{
    const auto chart = chart::ChartFolder(SOURCE_FOLDER "/charts").load("attempt");
    cr_assert(isOk(chart));
    const auto program = makeAttemptProgram(valueOf(chart));
    cr_assert(isOk(program));
    const auto steps = eventSteps();
    const auto &events = valueOf(chart).events();
    constexpr std::size_t length = 4;

    std::size_t total = 1;
    for (std::size_t i = 0; i < length; ++i)
        total *= events.size();
    for (std::size_t number = 0; number < total; ++number) {
        Attempt attempt(valueOf(program), AttemptId(id), RequestSafety{false, false});
        AttemptModel model;
        std::size_t rest = number;
        for (std::size_t i = 0; i < length; ++i, rest /= events.size()) {
            const auto &event = events[rest % events.size()];
            model.apply(attempt, event, steps.at(event));
        }
    }
}
