#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/traffic/lifecycle.hpp>

#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::seconds;

namespace {

class RecordedActions final : public traffic::LifecycleActions
{
public:
    void setHealthy(bool isHealthy) override { steps_ += isHealthy ? "healthy " : "unhealthy "; }
    void refuseNewRequests() override { steps_ += "refuse "; }
    void cutRemainingRequests() override { steps_ += "cut "; }
    void tellPeers() override { steps_ += "tell "; }
    void returnLeases(std::function<void()> done) override
    {
        steps_ += "return ";
        returned_ = std::move(done);
    }
    void exit() override { steps_ += "exit "; }
    [[nodiscard]] std::size_t requestsInFlight() const override { return inFlight_; }

    std::string steps_;
    std::size_t inFlight_ = 0;
    std::function<void()> returned_;
};

traffic::LifecycleProgramPtr program()
{
    const auto chart = chart::ChartFolder(std::string(SOURCE_FOLDER) + "/charts").load("daemon");
    return valueOf(traffic::makeLifecycleProgram(valueOf(chart)));
}

struct Setup
{
    ManualClock clock_;
    RecordedActions actions_;
    traffic::Lifecycle lifecycle_{program(), clock_, {seconds(3), seconds(60)}, actions_};
};

} // namespace

Test(lifecycle, balancer_is_told_before_any_request_is_refused)
{
    Setup setup;
    setup.actions_.inFlight_ = 2;
    setup.lifecycle_.ready();

    setup.lifecycle_.stopRequested();
    setup.clock_.advance(seconds(2));
    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell ");

    setup.clock_.advance(seconds(1));
    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse ");
}

Test(lifecycle, leases_go_back_only_after_the_last_request)
{
    Setup setup;
    setup.actions_.inFlight_ = 1;
    setup.lifecycle_.ready();
    setup.lifecycle_.stopRequested();
    setup.clock_.advance(seconds(30));
    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse ");

    setup.actions_.inFlight_ = 0;
    setup.clock_.advance(seconds(1));
    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse return ");

    setup.actions_.returned_();
    cr_assert_eq(setup.lifecycle_.state(), "stopped");
}

Test(lifecycle, requests_are_cut_at_the_limit_and_not_before)
{
    Setup setup;
    setup.actions_.inFlight_ = 1;
    setup.lifecycle_.ready();
    setup.lifecycle_.stopRequested();

    setup.clock_.advance(seconds(62));
    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse ");
    setup.clock_.advance(seconds(1));

    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse cut return ");
}

Test(lifecycle, silent_store_does_not_hold_the_exit_back)
{
    Setup setup;
    setup.lifecycle_.ready();
    setup.lifecycle_.stopRequested();

    setup.clock_.advance(seconds(20));

    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse return exit ");
}

Test(lifecycle, second_stop_signal_changes_nothing)
{
    Setup setup;
    setup.actions_.inFlight_ = 1;
    setup.lifecycle_.ready();
    setup.lifecycle_.stopRequested();
    setup.clock_.advance(seconds(1));

    setup.lifecycle_.stopRequested();
    setup.clock_.advance(seconds(10));

    cr_assert_eq(setup.actions_.steps_, "healthy unhealthy tell refuse ");
}
