#include <cardamombay/traffic/lifecycle.hpp>

#include <utility>

namespace cardamombay::traffic {

namespace {

constexpr Duration pollPeriod = std::chrono::milliseconds(20);
constexpr Duration handBackLimit = std::chrono::seconds(5);
constexpr std::string_view drainingState = "draining";

} // namespace

Result<LifecycleProgramPtr> makeLifecycleProgram(const chart::Chart &chart)
{
    chart::Binding<Lifecycle> binding;
    binding.state(drainingState);
    binding.events({"ready", "stop-requested", "announce-passed", "requests-finished",
                    "drain-limit", "leases-returned", "hand-back-limit"});
    binding.action("pass-health-check", [](Lifecycle &l) { l.actions_.setHealthy(true); });
    binding.action("fail-health-check", [](Lifecycle &l) { l.actions_.setHealthy(false); });
    binding.action("start-announce-timer",
                   [](Lifecycle &l) { l.raiseAfter(l.times_.announce_, "announce-passed"); });
    binding.action("refuse-new-requests", [](Lifecycle &l) { l.actions_.refuseNewRequests(); });
    binding.action("start-drain-timer", [](Lifecycle &l) {
        l.raiseAfter(l.times_.inFlight_, "drain-limit");
        l.pollRequests();
    });
    binding.action("cut-remaining-requests",
                   [](Lifecycle &l) { l.actions_.cutRemainingRequests(); });
    binding.action("return-leases", [](Lifecycle &l) { l.returnLeases(); });
    binding.action("tell-peers", [](Lifecycle &l) { l.actions_.tellPeers(); });
    binding.action("start-hand-back-timer",
                   [](Lifecycle &l) { l.raiseAfter(handBackLimit, "hand-back-limit"); });
    binding.action("exit", [](Lifecycle &l) { l.actions_.exit(); });
    return chart::bind(chart, std::move(binding));
}

Lifecycle::Lifecycle(LifecycleProgramPtr program, Clock &clock, settings::DrainTimes times,
                     LifecycleActions &actions)
    : machine_(std::move(program))
    , clock_(clock)
    , times_(times)
    , actions_(actions)
{
}

Lifecycle::~Lifecycle() = default;

void Lifecycle::handle(std::string_view event)
{
    machine_.handle(*this, event);
}

void Lifecycle::raiseAfter(Duration delay, std::string_view event)
{
    clock_.schedule(delay, [weak = std::weak_ptr(isAlive_), this, event] {
        if (weak.lock())
            handle(event);
    });
}

void Lifecycle::returnLeases()
{
    actions_.returnLeases([weak = std::weak_ptr(isAlive_), this] {
        if (weak.lock())
            handle("leases-returned");
    });
}

void Lifecycle::pollRequests()
{
    clock_.schedule(pollPeriod, [weak = std::weak_ptr(isAlive_), this] {
        if (!weak.lock() || state() != drainingState)
            return;
        if (actions_.requestsInFlight() == 0)
            handle("requests-finished");
        else
            pollRequests();
    });
}

} // namespace cardamombay::traffic
