// Injects each fault at each step of a request with an idempotency key, then repeats the request at
// each entry VM. Guards against a key that runs twice, or is reported as run although it did not.
#include "claims/fleet.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class Fault { None, LostAnswer, LostRequest, Outage, SlowStore, Pause, Crash, Last };
enum class Step { Claiming, Held, Ending, Ended, Last };
enum class RequestEnd { Ran, Unknown, NotRun, Last };

/// One request at entry VM 0 with a fault at one step, then a second caller.
class FaultScenario
{
public:
    FaultScenario(Fault fault, Step step, RequestEnd end, std::size_t secondAt)
        : fault_(fault)
        , step_(step)
        , requestEnd_(end)
        , secondAt_(secondAt)
    {
    }

    void run()
    {
        setFault(Step::Claiming);
        first_ = fleet_.claim(0, "key");
        fleet_.clock_.advance(milliseconds(4));
        crashAt(Step::Claiming);
        fleet_.clock_.advance(seconds(4));
        setFault(Step::Held);
        crashAt(Step::Held);
        handOver();
        setFault(Step::Ending);
        finish();
        fleet_.clock_.advance(milliseconds(4));
        crashAt(Step::Ending);
        fleet_.clock_.advance(seconds(4));
        setFault(Step::Ended);
        crashAt(Step::Ended);

        const auto early = repeatCall();
        fleet_.faults() = {};
        fleet_.clock_.advance(seconds(60));
        const auto late = repeatCall();
        check(early);
        check(late);
        cr_assert_leq(runs_, 1, "%s: ran twice", name().c_str());
    }

private:
    [[nodiscard]] std::string name() const
    {
        return "fault " + std::to_string(static_cast<int>(fault_)) + " at step "
               + std::to_string(static_cast<int>(step_)) + " end "
               + std::to_string(static_cast<int>(requestEnd_)) + " second at "
               + std::to_string(secondAt_);
    }

    /// Sets the fault if \p step is the chosen one; it lasts until the next step.
    void setFault(Step step)
    {
        auto &faults = fleet_.faults();
        faults = {};
        if (step != step_)
            return;
        faults.losesAnswers_ = fault_ == Fault::LostAnswer;
        faults.losesRequests_ = fault_ == Fault::LostRequest;
        faults.isDown_ = fault_ == Fault::Outage;
        if (fault_ == Fault::SlowStore)
            faults.latency_ = seconds(3);
        if (fault_ == Fault::Pause)
            fleet_.clock_.jump(seconds(60));
    }

    void crashAt(Step step)
    {
        if (step == step_ && fault_ == Fault::Crash)
            fleet_.kill(0);
    }

    [[nodiscard]] bool isFirstAlive() const { return fleet_.isAlive(0); }

    void handOver()
    {
        if (!isFirstAlive() || !holds<Granted>(first_))
            return;
        const auto &granted = contentOf<Granted>(first_);
        if (!granted.mayHandOver(fleet_.clock_.now()))
            requestEnd_ = RequestEnd::NotRun;
        else if (requestEnd_ != RequestEnd::NotRun)
            ++runs_;
    }

    void finish()
    {
        if (!isFirstAlive() || !holds<Granted>(first_))
            return;
        const auto claim = contentOf<Granted>(first_).claim_;
        if (requestEnd_ == RequestEnd::NotRun)
            fleet_.registry(0).release(claim);
        else if (requestEnd_ == RequestEnd::Ran)
            fleet_.registry(0).complete(claim, ranWith("answer"));
        else
            fleet_.registry(0).complete(claim,
                                        StoredOutcome::withoutAnswer(outcomes::Outcome::Unknown));
    }

    std::shared_ptr<Fleet::Answer> repeatCall()
    {
        const auto at = isFirstAlive() ? secondAt_ : 1;
        const auto answer = fleet_.claim(at, "key");
        fleet_.clock_.advance(seconds(7));
        if (holds<Granted>(answer)) {
            ++runs_;
            fleet_.registry(at).complete(contentOf<Granted>(answer).claim_, ranWith("answer"));
        }
        return answer;
    }

    void check(const std::shared_ptr<Fleet::Answer> &answer)
    {
        cr_assert(answer->has_value(), "%s: no answer", name().c_str());
        if (!holds<Duplicate>(answer))
            return;
        const auto &stored = contentOf<Duplicate>(answer).stored_;
        const bool isRan = stored.outcome_ == outcomes::Outcome::Ran;
        cr_assert(!isRan || runs_ == 1, "%s: reported as run, but did not run", name().c_str());
        cr_assert(!isRan || stored.body_ == "answer", "%s: wrong response body", name().c_str());
    }

    Fault fault_;
    Step step_;
    RequestEnd requestEnd_;
    std::size_t secondAt_;
    Fleet fleet_;
    std::shared_ptr<Fleet::Answer> first_;
    int runs_ = 0;
};

template<typename Enumeration>
void forEach(const std::function<void(Enumeration)> &action)
{
    for (int i = 0; i < static_cast<int>(Enumeration::Last); ++i)
        action(static_cast<Enumeration>(i));
}

} // namespace

Test(claim_fault_matrix, no_fault_at_any_step_runs_a_key_twice)
{
    forEach<Fault>([](Fault fault) {
        forEach<Step>([fault](Step step) {
            forEach<RequestEnd>([fault, step](RequestEnd end) {
                for (const std::size_t second : {0U, 1U})
                    FaultScenario(fault, step, end, second).run();
            });
        });
    });
}
