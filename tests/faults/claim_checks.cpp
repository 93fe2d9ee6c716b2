// Faults against a claim of an idempotency key, with a second caller at another entry VM.
#include "claims/fleet.hpp"

#include "faults/matrix.hpp"

namespace cardamombay::faults {

using namespace claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class ClaimBench
{
public:
    bool reach(const std::string &state)
    {
        if (state == "given-up")
            fleet_.faults().latency_ = seconds(8);
        if (state == "checking")
            fleet_.faults().losesRequests_ = true;
        first_ = fleet_.claim(0, "key");
        if (state == "claiming")
            return !first_->has_value();
        if (state == "given-up" || state == "checking") {
            while (!first_->has_value() && fleet_.clock_.now() < limit_)
                run(milliseconds(50));
            fleet_.faults() = {};
            return isRefused(first_) || (first_->has_value() && !isOk(**first_));
        }
        run(seconds(2));
        handOver();
        if (state == "held")
            return runs_ == 1;
        if (state == "releasing") {
            runs_ = 0; // The endpoint says that it ran nothing.
            fleet_.registry(0).release(number());
            isEnded_ = true;
            return true;
        }
        end();
        if (state == "done")
            run(seconds(2));
        return state == "storing" || state == "done";
    }

    /// \name Faults
    /// \{
    void kill() { killFirst(); }
    void pausePastLease() { fleet_.clock_.jump(seconds(60)); }
    void pauseAndWake() { fleet_.clock_.jump(seconds(3)); }
    void leave()
    {
        handOver();
        end();
        run(seconds(1));
        killFirst();
    }
    void partition() { fleet_.entries_[0]->table_.isCutOff_ = true; }
    void storeDown() { fleet_.faults().isDown_ = true; }
    void storeSlow() { fleet_.faults().latency_ = seconds(3); }
    void answerLost() { fleet_.faults().losesAnswers_ = true; }
    void clockStep()
    {
        fleet_.clock_.jump(seconds(20));
        fleet_.clock_.runDue();
    }
    void operatorRace() { other_ = fleet_.claim(1, "key"); }
    void staleOrder()
    {
        fleet_.registry(0).complete(ClaimNumber(9999), ranWith("stale"));
        fleet_.registry(0).release(ClaimNumber(9998));
    }
    void sameTwice()
    {
        storeDown();
        run(seconds(3));
        fleet_.faults() = {};
        run(milliseconds(300));
        storeDown();
    }
    void twoAtOnce()
    {
        answerLost();
        killFirst();
    }
    /// \}

    std::string settle()
    {
        run(seconds(4));
        handOver();
        end();
        if (other_)
            take(other_, 1);
        secondCaller();
        fleet_.faults() = {};
        if (fleet_.isAlive(0))
            fleet_.entries_[0]->table_.isCutOff_ = false;
        run(seconds(90));
        handOver();
        end();
        run(seconds(90));
        secondCaller();
        if (runs_ > 1)
            return "the request ran " + std::to_string(runs_) + " times";
        for (const auto &entry : fleet_.entries_) {
            if (entry->registry_ && entry->registry_->openClaims() != 0)
                return "a claim stays open";
        }
        return last_ && last_->has_value() ? "" : "the second caller has no answer";
    }

private:
    void run(Duration time) { fleet_.clock_.advance(time); }
    [[nodiscard]] ClaimNumber number() const { return contentOf<Granted>(first_).claim_; }

    void killFirst()
    {
        if (fleet_.isAlive(0))
            fleet_.kill(0);
        isEnded_ = true; // Nobody is left to hand over or to end it.
    }

    /// Hands over as traffic does: only once, and only before the claim's limit.
    void handOver()
    {
        if (isEnded_ || isHandedOver_ || !holds<Granted>(first_))
            return;
        isHandedOver_ = contentOf<Granted>(first_).mayHandOver(fleet_.clock_.now());
        if (isHandedOver_)
            ++runs_;
    }
    void end()
    {
        if (isEnded_ || !holds<Granted>(first_) || !fleet_.isAlive(0))
            return;
        isEnded_ = true;
        if (isHandedOver_)
            fleet_.registry(0).complete(number(), ranWith("answer"));
        else
            fleet_.registry(0).release(number());
    }

    /// Another caller with the same key, which runs whatever is granted.
    void secondCaller()
    {
        last_ = fleet_.claim(1, "key");
        run(seconds(5));
        take(last_, 1);
        run(seconds(5));
    }
    void take(const std::shared_ptr<Fleet::Answer> &answer, std::size_t at)
    {
        if (!holds<Granted>(answer))
            return;
        ++runs_;
        fleet_.registry(at).complete(contentOf<Granted>(answer).claim_, ranWith("answer"));
    }

    Fleet fleet_;
    TimePoint limit_ = fleet_.clock_.now() + seconds(60);
    std::shared_ptr<Fleet::Answer> first_;
    std::shared_ptr<Fleet::Answer> other_;
    std::shared_ptr<Fleet::Answer> last_;
    bool isHandedOver_ = false;
    bool isEnded_ = false;
    int runs_ = 0;
};

} // namespace

ChartChecks claimChecks()
{
    ChartChecks checks;
    checks.chart_ = "claim";
    checks.assertion_
        = "With a second caller of the same key during and after the fault, the request runs at "
          "most once; no claim stays open at a living entry VM, and the second caller is answered.";
    using Bench = ClaimBench;
    addChecks<Bench>(
        checks,
        {{"kill", {"the entry VM is killed", &Bench::kill}},
         {"pause past a lease", {"nobody runs for 60 s", &Bench::pausePastLease}},
         {"pause and wake", {"nobody runs for 3 s", &Bench::pauseAndWake}},
         {"leave", {"the entry VM ends its request and goes", &Bench::leave}},
         {"partition", {"the entry VM is cut off the store", &Bench::partition}},
         {"store down", {"the store is down", &Bench::storeDown}},
         {"store slow", {"the store takes 3 s", &Bench::storeSlow}},
         {"answer lost", {"every commit's answer is lost", &Bench::answerLost}},
         {"clock step", {"the clock steps by 20 s", &Bench::clockStep}},
         {"operator race",
          {"no operator changes a claim; two callers race instead", &Bench::operatorRace}},
         {"stale order", {"ends of claims that do not exist arrive", &Bench::staleOrder}},
         {"same fault twice", {"the store is down twice", &Bench::sameTwice}},
         {"two at once", {"answers are lost and the entry VM is killed", &Bench::twoAtOnce}}},
        [] { return std::make_unique<Bench>(); });
    return checks;
}

} // namespace cardamombay::faults
