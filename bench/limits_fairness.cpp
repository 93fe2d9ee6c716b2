/// \file
/// \brief Fairness and goodput of admission at 0.5, 1, 2 and 5 times the capacity.
/// \details Usage: bench_limits_fairness [groups] [seconds] [seed] [service time] [split]. Seven
/// entry VMs admit requests of ten teams, two of them large, to groups of 16 slots. Digests are
/// half a second old when they arrive. After a third of the time one entry VM is lost, which its
/// peers notice after three seconds; after two thirds it is replaced by a new one without state.
/// With a split of 1, entry VMs 0 to 2 and 3 to 6 do not hear each other in the second third
/// instead.
#include "endpoint_model.hpp"

#include <cardamombay/core/random.hpp>
#include <cardamombay/limits/admission.hpp>
#include <cardamombay/limits/fair_share.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

using namespace cardamombay;
using namespace bench;

namespace {

constexpr std::size_t entryCount = 7;
constexpr std::size_t teamCount = 10;
constexpr std::uint32_t slotsPerGroup = 16;
constexpr double warmUp = 30; ///< Seconds of each part that do not count.
constexpr std::size_t partCount = 3;
constexpr std::size_t splitAt = 3;
constexpr Duration digestPeriod = std::chrono::milliseconds(500);
const ServiceName serviceName("lm");

struct Scenario
{
    std::size_t groups_ = 12;
    double seconds_ = 450;
    std::uint64_t seed_ = 1;
    double load_ = 1;
    double serviceTime_ = 5; ///< Mean, in seconds.
    bool isSplit_ = false;

    [[nodiscard]] std::uint32_t slots() const
    {
        return static_cast<std::uint32_t>(groups_) * slotsPerGroup;
    }
    [[nodiscard]] double capacity() const { return slots() / serviceTime_; } ///< Requests a second.
};

/// \brief Part of the offered load that each team makes up: two large ones, eight small ones.
double partOf(std::size_t team)
{
    return team < 2 ? 0.38 : 0.03;
}

TeamName nameOf(std::size_t team)
{
    return TeamName("team-" + std::to_string(team));
}

/// \brief What was seen in one part of the run.
struct Part
{
    std::vector<double> offered_ = std::vector<double>(teamCount);
    std::vector<double> served_ = std::vector<double>(teamCount);
    std::vector<double> waits_;
    std::vector<double> refusals_; ///< Seconds until a refusal was told.
    std::vector<double> overshoot_;
    double shed_ = 0;
    double seconds_ = 0;
    double firstEntry_ = 0; ///< Requests running at the entry VM that is lost, and at all.
    double allEntries_ = 0;
};

double percentile(std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * double(values.size() - 1))];
}

/// \brief Share of refusals that were told without a wait.
double atOnce(const std::vector<double> &refusals)
{
    const auto count = std::count(refusals.begin(), refusals.end(), 0.0);
    return refusals.empty() ? 1 : double(count) / double(refusals.size());
}

class Run
{
public:
    explicit Run(const Scenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed_)
    {
        makeSnapshot();
        for (std::size_t i = 0; i < entryCount; ++i) {
            entries_.push_back(std::make_unique<limits::Admission>());
            snapshots_.push_back(base_);
            snapshots_[i].self_ = entryOf(i);
        }
        digested_.resize(entryCount);
        isDead_.resize(entryCount);
        isForgotten_.resize(entryCount);
    }

    void run()
    {
        start_ = clock_.now();
        exchange();
        poll();
        sample();
        if (!scenario_.isSplit_)
            scheduleLoss();
        const double perSecond = scenario_.load_ * scenario_.capacity();
        for (double at = 0; at < scenario_.seconds_;) {
            at += -std::log(1 - random_.unit()) / perSecond;
            clock_.advance(start_ + cardamombay::fromSeconds(at) - clock_.now());
            arrive();
        }
    }

    void report()
    {
        const char *names[partCount] = {"before", scenario_.isSplit_ ? "split" : "lost",
                                        scenario_.isSplit_ ? "healed" : "replaced"};
        for (std::size_t i = 0; i < partCount; ++i)
            report(names[i], parts_[i]);
    }

private:
    struct Request
    {
        std::size_t entry_ = 0;
        std::size_t team_ = 0;
        TimePoint arrivedAt_{};
    };

    static EntryId entryOf(std::size_t entry) { return EntryId("entry-" + std::to_string(entry)); }

    void makeSnapshot()
    {
        auto configuration = std::make_shared<config::Configuration>();
        config::Service service;
        service.name_ = serviceName;
        service.requestsPerReplica_ = slotsPerGroup;
        configuration->services_.push_back(service);
        for (std::size_t i = 0; i < teamCount; ++i) {
            config::Team team;
            team.name_ = nameOf(i);
            configuration->teams_.push_back(team);
        }
        base_.configuration_ = configuration;
        base_.services_.push_back({serviceName, {}});
        for (std::size_t i = 0; i < scenario_.groups_; ++i) {
            routing::SnapshotGroup group;
            group.group_ = GroupId("lm/" + std::to_string(i));
            group.freshUntil_ = TimePoint::max();
            group.capacity_ = slotsPerGroup;
            base_.services_[0].groups_.push_back(group);
        }
    }

    /// \brief Every entry VM gets what its peers said one period ago, then says its own.
    void exchange()
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            snapshots_[i].peerDemand_.clear();
            ++snapshots_[i].sequence_;
            for (std::size_t peer = 0; peer < entryCount; ++peer) {
                if (peer != i && !isForgotten_[peer] && canHear(i, peer))
                    snapshots_[i].peerDemand_.push_back({entryOf(peer), digested_[peer]});
            }
        }
        for (routing::RoutingSnapshot &snapshot : snapshots_) {
            for (routing::SnapshotGroup &group : snapshot.services_[0].groups_)
                group.load_.running_ = reported_ / static_cast<std::uint32_t>(scenario_.groups_);
        }
        reported_ = running_;
        for (std::size_t i = 0; i < entryCount; ++i) {
            if (!isDead_[i])
                digested_[i] = entries_[i]->demand(clock_.now());
        }
        clock_.schedule(digestPeriod, [this] { exchange(); });
    }

    void poll()
    {
        for (std::size_t i = 0; i < entryCount; ++i)
            release(i);
        clock_.schedule(std::chrono::milliseconds(20), [this] { poll(); });
    }

    void sample()
    {
        if (Part *part = counted()) {
            part->firstEntry_ += runningAt_[0];
            part->allEntries_ += running_;
            const double over = double(running_) - scenario_.slots();
            part->overshoot_.push_back(over / scenario_.slots());
            part->seconds_ += 0.1;
        }
        clock_.schedule(std::chrono::milliseconds(100), [this] { sample(); });
    }

    void scheduleLoss()
    {
        clock_.schedule(cardamombay::fromSeconds(scenario_.seconds_ / 3), [this] { loseEntry(0); });
        clock_.schedule(cardamombay::fromSeconds(scenario_.seconds_ * 2 / 3),
                        [this] { replaceEntry(0); });
    }

    /// \brief The part that counts now, if any.
    Part *counted()
    {
        const double length = scenario_.seconds_ / partCount;
        const double passed = cardamombay::toSeconds(clock_.now() - start_);
        const auto part = std::min(static_cast<std::size_t>(passed / length), partCount - 1);
        return passed - double(part) * length < warmUp ? nullptr : &parts_[part];
    }

    [[nodiscard]] bool canHear(std::size_t entry, std::size_t peer) const
    {
        const double passed
            = cardamombay::toSeconds(clock_.now() - start_) * partCount / scenario_.seconds_;
        const bool isApart = scenario_.isSplit_ && passed >= 1 && passed < 2;
        return !isApart || (entry < splitAt) == (peer < splitAt);
    }

    void loseEntry(std::size_t entry)
    {
        isDead_[entry] = true;
        // Its connections break, so its requests end.
        std::erase_if(requests_, [&](const auto &held) { return held.second.entry_ == entry; });
        running_ -= runningAt_[entry];
        runningAt_[entry] = 0;
        clock_.schedule(std::chrono::seconds(3), [this, entry] { isForgotten_[entry] = true; });
    }

    void replaceEntry(std::size_t entry)
    {
        entries_[entry] = std::make_unique<limits::Admission>();
        digested_[entry].clear();
        isDead_[entry] = false;
        isForgotten_[entry] = false;
    }

    void arrive()
    {
        std::size_t entry = random_.below(entryCount);
        while (isDead_[entry])
            entry = random_.below(entryCount);
        double draw = random_.unit();
        std::size_t team = 0;
        while (team + 1 < teamCount && draw >= partOf(team))
            draw -= partOf(team++);
        const RequestId id("r" + std::to_string(++count_));
        if (Part *part = counted())
            part->offered_[team] += 1;
        const auto decision = entries_[entry]->offer(
            {.request_ = id, .service_ = serviceName, .team_ = nameOf(team)}, snapshots_[entry],
            clock_.now());
        const Request request{entry, team, clock_.now()};
        if (std::holds_alternative<limits::Shed>(decision)) {
            refuse(request);
            return;
        }
        requests_.emplace(id, request);
        if (std::holds_alternative<limits::Admitted>(decision))
            start(id);
    }

    void refuse(const Request &request)
    {
        Part *part = counted();
        if (!part)
            return;
        part->shed_ += 1;
        part->refusals_.push_back(cardamombay::toSeconds(clock_.now() - request.arrivedAt_));
    }

    void start(const RequestId &id)
    {
        const Request &request = requests_.at(id);
        ++running_;
        ++runningAt_[request.entry_];
        if (Part *part = counted())
            part->waits_.push_back(cardamombay::toSeconds(clock_.now() - request.arrivedAt_));
        const double time = -std::log(1 - random_.unit()) * scenario_.serviceTime_;
        clock_.schedule(cardamombay::fromSeconds(time), [this, id] { finish(id); });
    }

    void finish(const RequestId &id)
    {
        const auto found = requests_.find(id);
        if (found == requests_.end())
            return;
        const Request request = found->second;
        requests_.erase(found);
        --running_;
        --runningAt_[request.entry_];
        if (Part *part = counted())
            part->served_[request.team_] += 1;
        entries_[request.entry_]->finished(id, clock_.now());
        release(request.entry_);
    }

    void release(std::size_t entry)
    {
        if (isDead_[entry])
            return;
        for (const auto &answer : entries_[entry]->release(snapshots_[entry], clock_.now())) {
            if (std::holds_alternative<limits::Admitted>(answer.answer_)) {
                start(answer.request_);
                continue;
            }
            refuse(requests_.at(answer.request_));
            requests_.erase(answer.request_);
        }
    }

    void report(const char *name, Part &part)
    {
        std::vector<limits::WeightedDemand> demands;
        double served = 0;
        for (std::size_t i = 0; i < teamCount; ++i) {
            demands.push_back({1, part.offered_[i]});
            served += part.served_[i];
        }
        const double possible = scenario_.capacity() * part.seconds_;
        const auto fair = limits::weightedMaxMin(possible, demands);
        double lowest = 1e9;
        double highest = 0;
        double smallServed = 0;
        double smallOffered = 0;
        for (std::size_t i = 0; i < teamCount; ++i) {
            lowest = std::min(lowest, part.served_[i] / fair[i]);
            highest = std::max(highest, part.served_[i] / fair[i]);
            if (i >= 2) {
                smallServed += part.served_[i];
                smallOffered += part.offered_[i];
            }
        }
        std::printf(
            "%4.1f %-8s %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f\n",
            scenario_.load_, name, served / possible, smallServed / smallOffered, lowest, highest,
            percentile(part.waits_, 0.5), percentile(part.waits_, 0.99), atOnce(part.refusals_),
            percentile(part.refusals_, 0.99), percentile(part.overshoot_, 0.99),
            percentile(part.overshoot_, 1), part.firstEntry_ / part.allEntries_ * entryCount);
    }

    Scenario scenario_;
    Random random_;
    ManualClock clock_;
    TimePoint start_{};
    routing::RoutingSnapshot base_;
    std::vector<std::unique_ptr<limits::Admission>> entries_;
    std::vector<routing::RoutingSnapshot> snapshots_;
    std::vector<std::vector<routing::DemandReport>> digested_;
    std::vector<char> isDead_;
    std::vector<char> isForgotten_;
    std::unordered_map<RequestId, Request> requests_;
    std::uint64_t count_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t reported_ = 0; ///< By the groups, one period ago.
    std::uint32_t runningAt_[entryCount] = {};
    Part parts_[partCount];
};

} // namespace

int main(int argc, char **argv)
{
    const auto argument = [&](int index, double standard) {
        return argc > index ? std::atof(argv[index]) : standard;
    };
    Scenario scenario;
    scenario.groups_ = static_cast<std::size_t>(argument(1, 12));
    scenario.seconds_ = argument(2, 450);
    scenario.seed_ = static_cast<std::uint64_t>(argument(3, 1));
    scenario.serviceTime_ = argument(4, 5);
    scenario.isSplit_ = argument(5, 0) != 0;
    std::printf("%zu groups of %u slots, seed %llu; served / possible, served / offered of the "
                "small teams,\nserved / fair share (lowest and highest team), waits, refusals "
                "told at once, time to a refusal, overshoot of the slots, running at entry VM 0 "
                "over its equal part\n",
                scenario.groups_, slotsPerGroup, static_cast<unsigned long long>(scenario.seed_));
    std::printf("%4s %-8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "load", "part", "goodput",
                "small", "lowest", "highest", "wait p50", "wait p99", "at once", "shed p99",
                "over p99", "over max", "entry 0");
    for (const double load : {0.5, 1.0, 2.0, 5.0}) {
        scenario.load_ = load;
        Run run(scenario);
        run.run();
        run.report();
    }
    return 0;
}
