// Faults against the daemon's life cycle: the drain ends, in order, whatever happens.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/traffic/lifecycle.hpp>

#include <algorithm>

#include "faults/matrix.hpp"

namespace cardamombay::faults {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

traffic::LifecycleProgramPtr program()
{
    static const auto bound = traffic::makeLifecycleProgram(
        valueOf(chart::ChartFolder(SOURCE_FOLDER "/charts").load("daemon")));
    return valueOf(bound);
}

class Steps final : public traffic::LifecycleActions
{
public:
    void setHealthy(bool isHealthy) override { steps_.push_back(isHealthy ? 'h' : 'u'); }
    void refuseNewRequests() override { steps_.push_back('r'); }
    void cutRemainingRequests() override
    {
        steps_.push_back('c');
        inFlight_ = 0;
    }
    void tellPeers() override { steps_.push_back('t'); }
    void returnLeases(std::function<void()> done) override
    {
        steps_.push_back('l');
        returned_ = std::move(done);
        if (isStoreUp_)
            returned_();
    }
    void exit() override { steps_.push_back('x'); }
    [[nodiscard]] std::size_t requestsInFlight() const override { return inFlight_; }

    std::string steps_;
    std::size_t inFlight_ = 1;
    bool isStoreUp_ = false;
    std::function<void()> returned_;
};

class DaemonBench
{
public:
    bool reach(const std::string &state)
    {
        if (state == "starting")
            return true;
        life_->ready();
        if (state == "serving")
            return life_->state() == state;
        life_->stopRequested();
        if (state == "announcing")
            return life_->state() == state;
        clock_.advance(seconds(4));
        if (state == "draining")
            return life_->state() == state;
        actions_.inFlight_ = 0;
        clock_.advance(seconds(2));
        if (state == "stopped")
            giveLeases();
        return life_->state() == state;
    }

    /// \name Faults
    /// \{
    void kill()
    {
        life_.reset();
        length_ = actions_.steps_.size();
    }
    void pausePastLease() { clock_.jump(seconds(60)); }
    void pauseAndWake() { clock_.jump(seconds(2)); }
    void leave() { life_->stopRequested(); }
    void partition() { actions_.isStoreUp_ = false; }
    void storeDown() { actions_.isStoreUp_ = false; }
    void storeSlow()
    {
        clock_.schedule(seconds(20), [this] { giveLeases(); });
    }
    void answerLost() { actions_.returned_ = nullptr; }
    void clockStep()
    {
        clock_.jump(minutes(10));
        clock_.runDue();
    }
    void operatorRace()
    {
        life_->stopRequested();
        life_->stopRequested();
    }
    void staleOrder()
    {
        giveLeases();
        life_->ready();
    }
    void sameTwice()
    {
        clock_.jump(seconds(60));
        clock_.runDue();
        clock_.jump(seconds(60));
    }
    void twoAtOnce()
    {
        actions_.isStoreUp_ = false;
        clock_.jump(seconds(60));
        life_->stopRequested();
    }
    /// \}

    std::string settle()
    {
        if (!life_) {
            clock_.advance(minutes(10));
            return actions_.steps_.size() == length_ ? "" : "acts after its end";
        }
        life_->ready();
        life_->stopRequested();
        clock_.advance(minutes(10));
        if (life_->state() != "stopped")
            return "does not stop";
        return order();
    }

private:
    void giveLeases()
    {
        if (actions_.returned_)
            actions_.returned_();
    }

    [[nodiscard]] std::string order() const
    {
        const auto &steps = actions_.steps_;
        if (std::count(steps.begin(), steps.end(), 'x') != 1 || steps.back() != 'x')
            return "does not exit exactly once, last: " + steps;
        const auto at = [&](char step) { return steps.find(step); };
        if (at('u') > at('r') || at('r') > at('l') || at('l') > at('x'))
            return "wrong order: " + steps;
        if (steps.find('h', at('u')) != std::string::npos)
            return "healthy again after the stop: " + steps;
        return actions_.inFlight_ == 0 || at('c') < at('l') || at('h') == std::string::npos
                   ? ""
                   : "leases given back before the last request: " + steps;
    }

    ManualClock clock_;
    Steps actions_;
    std::unique_ptr<traffic::Lifecycle> life_ = std::make_unique<traffic::Lifecycle>(
        program(), clock_, settings::DrainTimes{seconds(3), seconds(120)}, actions_);
    std::size_t length_ = 0;
};

} // namespace

ChartChecks daemonChecks()
{
    ChartChecks checks;
    checks.chart_ = "daemon";
    checks.assertion_
        = "Asked to stop, the daemon stops within 10 min, exactly once, in this order: health "
          "check fails, new requests refused, remaining requests ended or cut, leases given back, "
          "exit; it is never healthy again. Once killed it does nothing.";
    using Bench = DaemonBench;
    addChecks<Bench>(
        checks,
        {{"kill", {"the process ends", &Bench::kill}},
         {"pause past a lease", {"the process stands still for 60 s", &Bench::pausePastLease}},
         {"pause and wake", {"the process stands still for 2 s", &Bench::pauseAndWake}},
         {"leave", {"the process is asked to stop", &Bench::leave}},
         {"partition", {"the leases' return is never answered", &Bench::partition}},
         {"store down", {"the leases' return is never answered", &Bench::storeDown}},
         {"store slow", {"the leases' return is answered after 20 s", &Bench::storeSlow}},
         {"answer lost", {"the answer to the leases' return is lost", &Bench::answerLost}},
         {"clock step", {"the clock steps by 10 min", &Bench::clockStep}},
         {"operator race", {"two operators ask to stop", &Bench::operatorRace}},
         {"stale order",
          {"an old answer of the store and an old ready arrive", &Bench::staleOrder}},
         {"same fault twice", {"the process stands still for 60 s, twice", &Bench::sameTwice}},
         {"two at once",
          {"the store is down while the process stands still and is asked to stop",
           &Bench::twoAtOnce}}},
        [] { return std::make_unique<Bench>(); });
    return checks;
}

} // namespace cardamombay::faults
