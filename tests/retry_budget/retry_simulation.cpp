#include "retry_simulation.hpp"

#include <algorithm>

namespace cardamombay::retry_budget {

using namespace support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration window = seconds(10);
constexpr Duration windowStep = milliseconds(10);
constexpr Duration maxStep = milliseconds(20);
constexpr Duration restartDelay = milliseconds(500);
constexpr Duration answerTime = milliseconds(80);
constexpr Duration breakTime = milliseconds(20);
/// Callers still waiting get that long after the last one has arrived.
constexpr Duration drainTime = seconds(2);

/// Number of \p times in [from, to).
std::size_t countIn(const std::vector<TimePoint> &times, TimePoint from, TimePoint to)
{
    const auto first = std::lower_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(std::lower_bound(first, times.end(), to) - first);
}

} // namespace

RetrySimulation::RetrySimulation(Scenario scenario, std::uint64_t seed)
    : fleet_(scenario.entries_, scenario.zones_, 2, seed)
    , scenario_(scenario)
    , random_(seed)
{
    fleet_.faults_.lossShare_ = scenario.lossShare_;
    for (std::size_t i = 0; i < scenario.groups_; ++i)
        fleet_.listGroup("head-" + std::to_string(i));
    fleet_.configure(1, {"key"});
    for (std::size_t i = 0; i < fleet_.size(); ++i)
        prepare(fleet_.node(i));
    fleet_.start();
    fleet_.pass(scenario.settling_);
    startedAt_ = now();
}

void RetrySimulation::prepare(FleetNode &node) const
{
    serving::GatewayBounds bounds;
    bounds.retryShare_ = scenario_.share_;
    bounds.retryReserve_ = scenario_.reserve_;
    bounds.retryWindow_ = window;
    bounds.longestUnconfirmed_ = seconds(1000);
    node.gateway_.setBounds(bounds);
}

void RetrySimulation::at(Duration time, std::function<void()> action)
{
    fleet_.clock_.schedule(startedAt_ + time - now(), std::move(action));
}

void RetrySimulation::kill(const std::vector<std::size_t> &entries)
{
    for (const auto entry : entries) {
        if (!fleet_.node(entry).isRunning())
            continue;
        fleet_.kill(entry);
        startAgain(entry);
    }
}

void RetrySimulation::startAgain(std::size_t entry)
{
    fleet_.clock_.schedule(restartDelay + milliseconds(random_.below(100)), [this, entry] {
        leaving_.erase(entry);
        prepare(fleet_.restart(entry));
    });
}

void RetrySimulation::restartInOrder(std::size_t entry)
{
    if (!fleet_.node(entry).isRunning() || leaving_.contains(entry))
        return;
    remove(entry);
    fleet_.clock_.schedule(scenario_.gracePeriod_, [this, entry] { startAgain(entry); });
}

void RetrySimulation::remove(std::size_t entry)
{
    leaving_.insert(entry);
    auto &node = fleet_.node(entry);
    node.node_->leave();
    node.gateway_.refuseNew();
    fleet_.clock_.schedule(scenario_.gracePeriod_, [this, entry, &node] {
        if (!node.isRunning())
            return;
        node.gateway_.terminateAll();
        fleet_.kill(entry);
    });
}

void RetrySimulation::add(const std::string &zone)
{
    prepare(fleet_.add(zone));
}

void RetrySimulation::pause(std::size_t entry, Duration time)
{
    auto &node = fleet_.node(entry);
    node.clock_.setPaused(true);
    fleet_.clock_.schedule(time, [&node] {
        if (node.isRunning())
            node.clock_.setPaused(false);
    });
}

void RetrySimulation::cut(const std::set<std::size_t> &side)
{
    std::set<const FleetNode *> nodes;
    for (const auto entry : side)
        nodes.insert(&fleet_.node(entry));
    fleet_.isCut_ = [nodes](const FleetNode &from, const FleetNode &to) {
        return nodes.contains(&from) != nodes.contains(&to);
    };
}

Results RetrySimulation::run()
{
    if (scenario_.isStoreDown_)
        fleet_.platform_.faults_.isDown_ = true;
    while (now() - startedAt_ < scenario_.length_ + drainTime) {
        // Steps of constant length would stay synchronized with sweeps and digests.
        const Duration step = milliseconds(1 + random_.below(toMilliseconds(maxStep)));
        if (now() - startedAt_ < scenario_.length_)
            startCallers(step);
        fleet_.pass(step);
        takeCalls();
        answerCalls();
        checkCallers();
    }
    measure();
    return results_;
}

/// A random entry VM that accepts callers.
std::size_t RetrySimulation::reachableEntry()
{
    if (!scenario_.failingEntries_.empty() && random_.unit() < scenario_.entryShare_)
        return *scenario_.failingEntries_.begin();
    for (std::size_t i = 0; i < fleet_.size() * 4; ++i) {
        const auto entry = random_.below(fleet_.size());
        if (fleet_.node(entry).isRunning() && !leaving_.contains(entry))
            return entry;
    }
    return fleet_.size();
}

void RetrySimulation::startCallers(Duration step)
{
    dueCallers_ += scenario_.callersPerSecond_ * toSeconds(step);
    for (; dueCallers_ >= 1; dueCallers_ -= 1)
        ask();
}

void RetrySimulation::ask()
{
    const auto entry = reachableEntry();
    ++results_.requests_;
    requestTimes_.push_back(now());
    if (entry == fleet_.size())
        return;
    auto &node = fleet_.node(entry);
    node.clock_.run([this, &node, path = "/stream/" + std::to_string(results_.requests_)] {
        callers_.push_back({askAt(node.gateway_, path, "m", "key"), &node});
    });
}

void RetrySimulation::takeCalls()
{
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        auto &node = fleet_.node(i);
        if (!node.isRunning())
            continue;
        auto &calls = node.upstream_.calls_;
        for (auto &next = scanned_[&node]; next < calls.size(); ++next) {
            const auto call = calls[next];
            if (call->isDropped() || !call->connect())
                continue;
            if (!arrived_.insert(call->request_.target_).second)
                retryTimes_.push_back(now());
            const bool mayBreak
                = scenario_.failingEntries_.empty() || scenario_.failingEntries_.contains(i);
            const bool breaks = mayBreak && now() - startedAt_ >= scenario_.failsFrom_
                                && random_.unit() < scenario_.failingShare_;
            attempts_.push_back({call, &node, now() + (breaks ? breakTime : answerTime), breaks});
        }
    }
}

void RetrySimulation::answerCalls()
{
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        const auto attempt = attempts_[i];
        if (now() < attempt.endsAt_)
            continue;
        attempts_[i].node_ = nullptr;
        if (!attempt.node_->isRunning())
            continue;
        attempt.node_->clock_.run([call = attempt.call_, breaks = attempt.breaks_] {
            if (call->isDropped())
                return;
            if (breaks) {
                call->fail(true);
                return;
            }
            call->sealedHead();
            call->data("id: 1\ndata: x\n\n");
            call->end("");
        });
    }
    std::erase_if(attempts_, [](const Attempt &attempt) { return attempt.node_ == nullptr; });
}

/// Callers whose process was killed come again at another entry VM.
void RetrySimulation::checkCallers()
{
    std::size_t lost = 0;
    std::erase_if(callers_, [this, &lost](const Caller &caller) {
        const auto &view = *caller.view_;
        if (view.isFinished_)
            ++results_.served_;
        else if (!view.answer_ && !view.isAborted_ && !caller.node_->isRunning())
            ++lost;
        else if (!view.answer_ && !view.isAborted_)
            return false;
        return true;
    });
    for (; lost > 0; --lost)
        ask();
}

/// The requests of the window, of the one before it or of the one half a window before it count,
/// whichever are most.
void RetrySimulation::measure()
{
    results_.retries_ = retryTimes_.size();
    double sum = 0;
    std::size_t windows = 0;
    for (auto from = startedAt_; from < startedAt_ + scenario_.length_; from += windowStep) {
        std::size_t requests = 0;
        for (const auto before : {Duration::zero(), Duration(window / 2), Duration(window)})
            requests
                = std::max(requests, countIn(requestTimes_, from - before, from - before + window));
        const auto allowed = scenario_.share_ * static_cast<double>(requests) + scenario_.reserve_;
        const auto used = static_cast<double>(countIn(retryTimes_, from, from + window)) / allowed;
        if (used > results_.mostUsed_) {
            results_.mostUsed_ = used;
            results_.mostUsedAt_ = from - startedAt_;
        }
        const bool isFull = from >= startedAt_ + scenario_.failsFrom_
                            && from + window <= startedAt_ + scenario_.length_;
        if (isFull) {
            results_.leastUsed_ = windows == 0 ? used : std::min(results_.leastUsed_, used);
            sum += used;
            ++windows;
        }
    }
    results_.meanUsed_ = windows == 0 ? 0 : sum / static_cast<double>(windows);
}

} // namespace cardamombay::retry_budget
