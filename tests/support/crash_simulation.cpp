#include "support/crash_simulation.hpp"

#include <algorithm>

namespace cardamombay::crashing {

using namespace serving;
using namespace support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration settlingPeriod = seconds(4);
constexpr Duration listingExpiry = milliseconds(3600);
constexpr Duration engineReplacementDelay = seconds(6);
constexpr Duration onTimeLimit = seconds(1);
constexpr Duration spreadLimit = seconds(3);
constexpr auto poisonPath = "/stream/poison";
constexpr auto deadlyPart = "dead";
constexpr auto rareCompanion = "ace";
constexpr Duration judgementInterval = milliseconds(250);
constexpr Duration eventInterval = milliseconds(100);
constexpr Duration faultDelay = seconds(2); ///< From the start to the first harmful request.
constexpr std::size_t sharedPartCount = 12;
/// Share of sound requests with the rare companion of the deadly part.
constexpr double rareShare = 0.02;
/// Share of sound requests with the deadly part while it is sound.
constexpr double formerlySoundShare = 0.1;

struct Run
{
    std::shared_ptr<FakeCall> call_;
    TimePoint beginsAt_;
    TimePoint endsAt_;
    bool hasBegun_ = false;
    bool isPoison_ = false;
    TimePoint lastEventAt_{};
    int events_ = 0;
};

struct Group
{
    std::vector<Run> runs_;
    TimePoint endedAt_{};
    bool isListed_ = true;

    [[nodiscard]] bool hasEnded() const { return endedAt_ != TimePoint{}; }
};

struct Caller
{
    std::string path_;
    std::string parts_; ///< Of the prompt.
    std::shared_ptr<CallerView> view_;
    TimePoint since_;
    TimePoint againAt_{};
    int tries_ = 1;
    bool hasEvent_ = false;
    bool isOnTime_ = false;
    bool isPoison_ = false;
    bool isDeadly_ = false; ///< Has the deadly part.
    bool isDone_ = false;
};

/// A sound request and whether its first attempt began.
struct FirstTry
{
    TimePoint at_;
    bool hasBegun_ = false;
};

/// A single simulation run.
class Simulation
{
public:
    Simulation(const Load &load, std::uint64_t seed)
        : load_(load)
        , random_(seed)
        , fleet_(load.entries_, load.entries_ > 7 ? 5 : 3, 2, seed)
        , scanned_(load.entries_, 0)
    {
        fleet_.faults_.lossShare_ = load.lossShare_;
        for (std::size_t i = 0; i < load.groups_; ++i)
            addGroup();
        fleet_.configure(1, {"key"});
        fleet_.start();
        fleet_.pass(settlingPeriod);
        startedAt_ = now();
        crashedAt_ = now();
    }

    Outcome run()
    {
        while (now() - startedAt_ < load_.length_ + settlingPeriod) {
            // Steps of constant length would stay synchronized with sweeps and digests.
            const Duration step = milliseconds(10 + random_.below(21));
            if (now() - startedAt_ < load_.length_)
                startCallers(step);
            fleet_.pass(step);
            if (load_.disturb_)
                load_.disturb_(fleet_, now() - startedAt_);
            takeCalls();
            processRuns();
            crashRandomGroups();
            replaceEnded();
            checkCallers();
            if (now() - judgedAt_ >= judgementInterval)
                recordJudgedParts();
        }
        countFirstTries();
        return outcome_;
    }

private:
    [[nodiscard]] TimePoint now() const { return fleet_.clock_.now(); }

    void addGroup()
    {
        const auto head = "head-" + std::to_string(addedGroups_++);
        groups_.emplace(head, Group{});
        fleet_.listGroup(head);
    }

    void ask(Caller &caller)
    {
        auto &node = fleet_.node(random_.below(fleet_.size()));
        caller.view_ = askWithParts(node.gateway_, caller.path_, "m", "key", caller.parts_);
        caller.againAt_ = {};
    }

    void startCallers(Duration step)
    {
        dueCallers_ += load_.callersPerSecond_ * toSeconds(step);
        for (; dueCallers_ >= 1; dueCallers_ -= 1) {
            Caller caller;
            caller.path_ = "/stream/" + std::to_string(outcome_.asked_++);
            caller.parts_ = soundParts();
            add(std::move(caller));
        }
        startDeadlyCallers(step);
        const auto since = now() - startedAt_;
        if (!isPoisoned_ && load_.poisonCallers_ > 0 && since > faultDelay) {
            isPoisoned_ = true;
            for (std::size_t i = 0; i < load_.poisonCallers_; ++i) {
                Caller caller;
                caller.path_ = poisonPath;
                caller.isPoison_ = true;
                add(std::move(caller));
            }
        }
    }

    void add(Caller caller)
    {
        caller.since_ = now();
        ask(caller);
        callers_.push_back(std::move(caller));
    }

    /// Small numbers are more frequent.
    std::string sharedPart()
    {
        const auto unit = random_.unit();
        const auto number = static_cast<std::size_t>(unit * unit * sharedPartCount);
        return "b" + std::to_string(number);
    }

    std::string ownPart() { return "f" + std::to_string(++ownParts_) + ":200"; }

    [[nodiscard]] bool isDeadlyNow() const
    {
        const auto since = now() - startedAt_;
        return since > faultDelay && since < faultDelay + load_.deadly_.lasts_;
    }

    std::string soundParts()
    {
        const auto &deadly = load_.deadly_;
        auto parts = deadly.isFirst_ ? std::string() : std::string("a:40,");
        if (deadly.wasSound_ && now() - startedAt_ <= faultDelay
            && random_.unit() < formerlySoundShare)
            parts += std::string(deadlyPart) + ":90,";
        if (deadly.hasRareCompanion_ && random_.unit() < rareShare)
            parts += std::string(rareCompanion) + ":60,";
        return parts + sharedPart() + ":100," + ownPart();
    }

    std::string deadlyParts()
    {
        const auto &deadly = load_.deadly_;
        const auto harmful = std::string(deadlyPart) + ":90,";
        auto parts = deadly.isFirst_ ? harmful : "a:40," + harmful;
        if (deadly.hasRareCompanion_)
            parts += std::string(rareCompanion) + ":60,";
        return parts + sharedPart() + ":100," + ownPart();
    }

    void startDeadlyCallers(Duration step)
    {
        if (!isDeadlyNow())
            return;
        dueDeadly_ += load_.deadly_.requestsPerSecond_ * toSeconds(step);
        for (; dueDeadly_ >= 1; dueDeadly_ -= 1) {
            Caller caller;
            caller.path_ = "/stream/deadly-" + std::to_string(++deadlyCallers_);
            caller.parts_ = deadlyParts();
            caller.isPoison_ = true;
            caller.isDeadly_ = true;
            add(std::move(caller));
        }
    }

    void recordJudgedParts()
    {
        judgedAt_ = now();
        const auto deadly = sharedParts(std::string(deadlyPart) + ":1,f:1").front();
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            auto &node = fleet_.node(i);
            for (const auto &[fingerprint, endpoints] :
                 node.gateway_.poisonPills().quarantined(node.clock_.now())) {
                if (fingerprint.isPromptPart() && fingerprint != deadly)
                    outcome_.soundPartsJudged_.insert(fingerprint.text());
            }
        }
    }

    /// Compares sound requests from before the first deadly one with those since
    /// the fleet has had time to find out the cause.
    void countFirstTries()
    {
        const auto firstAt = startedAt_ + faultDelay;
        const auto lastAt = firstAt + load_.deadly_.lasts_;
        const auto knownAt = decisiveCrashAt_ + 2 * spreadLimit;
        for (const auto &one : firstTries_) {
            if (one.at_ < firstAt)
                outcome_.firstTryBefore_.add(one.hasBegun_);
            else if (decisiveCrashAt_ != TimePoint{} && one.at_ > knownAt && one.at_ < lastAt)
                outcome_.firstTryAfter_.add(one.hasBegun_);
        }
    }

    void takeCalls()
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            auto &calls = fleet_.node(i).upstream_.calls_;
            for (; scanned_[i] < calls.size(); ++scanned_[i])
                take(calls[scanned_[i]]);
        }
    }

    void take(const std::shared_ptr<FakeCall> &call)
    {
        if (call->isDropped())
            return;
        const auto found = groups_.find(call->field("endpoint"));
        if (found == groups_.end() || found->second.hasEnded()) {
            call->fail(false);
            return;
        }
        call->connect();
        Run run{call, {}, {}, false, isHarmful(*call)};
        run.beginsAt_ = now() + milliseconds(40 + random_.below(300));
        run.endsAt_ = run.beginsAt_ + load_.answersLast_ + milliseconds(random_.below(1500));
        if (run.isPoison_)
            countPoisonSend();
        found->second.runs_.push_back(std::move(run));
    }

    [[nodiscard]] bool isHarmful(const FakeCall &call) const
    {
        const bool hasDeadlyPart = call.field("parts").find(deadlyPart) != std::string::npos;
        return call.request_.target_ == poisonPath || (hasDeadlyPart && isDeadlyNow());
    }

    void countPoisonSend()
    {
        ++outcome_.poisonSends_;
        const bool isDecided = outcome_.ended_ >= decisiveCrashes();
        if (isDecided && now() - decisiveCrashAt_ > spreadLimit)
            ++outcome_.poisonLate_;
    }

    [[nodiscard]] std::size_t decisiveCrashes() const
    {
        return load_.deadly_.requestsPerSecond_ > 0 ? 5 : 3;
    }

    void processRuns()
    {
        for (auto &[head, group] : groups_) {
            if (group.hasEnded())
                continue;
            std::erase_if(group.runs_, [](const Run &run) { return run.call_->isDropped(); });
            for (std::size_t i = 0; i < group.runs_.size() && !group.hasEnded(); ++i)
                advanceRun(head, group, i);
        }
    }

    void advanceRun(const std::string &head, Group &group, std::size_t index)
    {
        auto &run = group.runs_[index];
        if (run.call_->isDropped() || now() < run.beginsAt_)
            return;
        if (!std::exchange(run.hasBegun_, true)) {
            if (run.isPoison_ && !load_.answersFirst_) {
                if (load_.deadly_.requestsPerSecond_ > 0 && load_.deadly_.sendsHead_)
                    run.call_->sealedHead();
                crashUnderPoison(head, group);
                return;
            }
            run.call_->sealedHead();
            sendEvent(run);
            return;
        }
        if (run.isPoison_ && now() - run.beginsAt_ > milliseconds(200)) {
            crashUnderPoison(head, group);
            return;
        }
        if (!run.isPoison_ && now() >= run.endsAt_) {
            const auto call = run.call_;
            call->end("");
        } else if (now() - run.lastEventAt_ >= eventInterval) {
            sendEvent(run);
        }
    }

    void sendEvent(Run &run)
    {
        run.lastEventAt_ = now();
        const auto call = run.call_;
        call->data("id: " + std::to_string(++run.events_) + "\ndata: x\n\n");
    }

    void crashUnderPoison(const std::string &head, Group &group)
    {
        if (++outcome_.ended_ <= decisiveCrashes())
            decisiveCrashAt_ = now();
        end(head, group);
    }

    void end(const std::string &head, Group &group)
    {
        group.endedAt_ = now();
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            fleet_.node(i).upstream_.ended_.insert(engineAddress(head));
        const auto runs = std::exchange(group.runs_, {});
        for (const auto &run : runs) {
            if (!run.call_->isDropped())
                run.call_->fail(true);
        }
    }

    void crashRandomGroups()
    {
        if (load_.crashEvery_ == Duration::zero() || now() - crashedAt_ < load_.crashEvery_)
            return;
        crashedAt_ = now();
        std::vector<std::string> alive;
        for (const auto &[head, group] : groups_) {
            if (!group.hasEnded())
                alive.push_back(head);
        }
        for (std::size_t i = 0; i < (load_.groups_ + 6) / 7 && !alive.empty(); ++i) {
            const auto index = random_.below(alive.size());
            end(alive[index], groups_.at(alive[index]));
            alive.erase(alive.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void replaceEnded()
    {
        std::size_t back = 0;
        for (auto &[head, group] : groups_) {
            if (group.isListed_ && group.hasEnded() && now() - group.endedAt_ > listingExpiry) {
                group.isListed_ = false;
                fleet_.list(head, "");
            }
            back += group.hasEnded() && now() - group.endedAt_ > engineReplacementDelay ? 1 : 0;
        }
        for (; replacedGroups_ < back; ++replacedGroups_)
            addGroup();
    }

    void checkCallers()
    {
        for (auto &caller : callers_) {
            if (!caller.isDone_)
                checkCallers(caller);
        }
        std::erase_if(callers_, [](const Caller &caller) { return caller.isDone_; });
    }

    void checkCallers(Caller &caller)
    {
        const auto &view = *caller.view_;
        if (caller.againAt_ != TimePoint{}) {
            if (now() >= caller.againAt_)
                ask(caller);
            return;
        }
        if (!view.streamed_.empty() && !std::exchange(caller.hasEvent_, true)) {
            caller.isOnTime_ = now() - caller.since_ <= onTimeLimit;
            recordFirstTry(caller, true);
        }
        if (view.isFinished_) {
            outcome_.served_ += caller.isPoison_ ? 0 : 1;
            outcome_.onTime_ += !caller.isPoison_ && caller.isOnTime_ ? 1 : 0;
            caller.isDone_ = true;
            return;
        }
        if (!view.answer_ && !view.isAborted_)
            return;
        recordFirstTry(caller, false);
        const bool isPoisonous
            = view.answer_ && view.answer_->body_.find("ends the endpoints") != std::string::npos;
        const bool hasDeadlyPart = caller.parts_.find(deadlyPart) != std::string::npos;
        outcome_.quarantined_ += isPoisonous && !caller.isPoison_ && !hasDeadlyPart ? 1 : 0;
        const bool repeatsForLong = caller.isPoison_ && !caller.isDeadly_;
        const bool comesAgain = repeatsForLong ? now() - startedAt_ < seconds(2) + load_.poisonFor_
                                               : caller.tries_ < 2;
        caller.isDone_ = !comesAgain;
        ++caller.tries_;
        caller.againAt_ = now() + milliseconds(60);
    }

    void recordFirstTry(const Caller &caller, bool hasBegun)
    {
        const bool isFirst = caller.tries_ == 1 && (hasBegun || !caller.hasEvent_);
        if (!caller.isPoison_ && isFirst)
            firstTries_.push_back({caller.since_, hasBegun});
    }

    Load load_;
    Random random_;
    NodeFleet fleet_;
    Outcome outcome_;
    std::map<std::string, Group> groups_;
    std::vector<Caller> callers_;
    std::vector<std::size_t> scanned_; ///< Number of processed calls of each node.
    std::size_t addedGroups_ = 0;
    std::size_t replacedGroups_ = 0;
    std::size_t ownParts_ = 0;
    std::size_t deadlyCallers_ = 0;
    double dueCallers_ = 0;
    double dueDeadly_ = 0;
    bool isPoisoned_ = false;
    TimePoint startedAt_{};
    TimePoint crashedAt_{};
    TimePoint decisiveCrashAt_{};
    TimePoint judgedAt_{};
    std::vector<FirstTry> firstTries_;
};

} // namespace

Outcome simulate(const Load &load, std::uint64_t seed)
{
    return Simulation(load, seed).run();
}

} // namespace cardamombay::crashing
