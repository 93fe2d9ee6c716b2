/// \file
/// \brief Compares the router with random, round-robin and least-loaded on the same arrivals.
/// \details Usage: bench_routing_policies [groups] [load] [seconds] [seed]. Seven entry VMs route
/// conversations with growing prompts to groups over three availability zones. Load reports and
/// peers' digests lag by half a second.
#include "endpoint_model.hpp"

#include <cardamombay/core/hash.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/routing/router.hpp>

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
constexpr std::size_t zoneCount = 3;
constexpr std::size_t teamCount = 10;
constexpr std::size_t systemBlocks = 16; ///< Shared by all conversations of a team.
constexpr std::size_t openingBlocks = 8;
constexpr std::size_t turnBlocks = 4; ///< Added by each turn.
constexpr std::size_t maxBlocks = 96;
constexpr double meanTokens = 200;
constexpr Duration digestPeriod = std::chrono::milliseconds(500);
const ServiceName serviceName("lm");

struct Scenario
{
    std::size_t groups_ = 12;
    double load_ = 0.7;
    double seconds_ = 600;
    std::uint64_t seed_ = 1;
    bool hasStraggler_ = false;
    bool hasCacheEvents_ = false;
    double eventLoss_ = 0;
    double hedgeAfter_ = 0; ///< Seconds without a token until a second attempt; zero for never.
};

/// \brief One arrival; the same list is given to every policy.
struct Arrival
{
    double at_ = 0;
    std::size_t entry_ = 0;
    double tokens_ = 0;
    std::vector<std::uint64_t> blocks_;
};

/// \brief Conversations of teams of unequal size; each turn repeats the prompt and adds to it.
std::vector<Arrival> makeArrivals(const Scenario &scenario, double perSecond)
{
    Random random(scenario.seed_);
    struct Conversation
    {
        std::vector<std::uint64_t> blocks_;
    };
    std::vector<Conversation> open;
    std::vector<Arrival> arrivals;
    const auto grow = [&random](Conversation &conversation, std::size_t count) {
        for (std::size_t i = 0; i < count && conversation.blocks_.size() < maxBlocks; ++i)
            conversation.blocks_.push_back(random.bits());
    };
    const auto start = [&] {
        // Team sizes fall as 1, 1/2, 1/3 and so on.
        const double draw = std::exp(random.unit() * std::log(double(teamCount) + 1)) - 1;
        Conversation conversation;
        for (std::size_t i = 0; i < systemBlocks; ++i)
            conversation.blocks_.push_back(
                stableHash("system", static_cast<std::uint64_t>(draw) * 100 + i));
        grow(conversation, openingBlocks);
        return conversation;
    };
    const auto conversations = static_cast<std::size_t>(perSecond * 30);
    for (std::size_t i = 0; i < conversations; ++i)
        open.push_back(start());
    for (double at = 0; at < scenario.seconds_;) {
        at += -std::log(1 - random.unit()) / perSecond;
        Conversation &conversation = open[random.below(open.size())];
        if (random.unit() < 0.15)
            conversation = start();
        grow(conversation, turnBlocks);
        const double tokens = std::max(8.0, -std::log(1 - random.unit()) * meanTokens);
        arrivals.push_back({at, random.below(entryCount), tokens, conversation.blocks_});
    }
    return arrivals;
}

/// \brief A way to choose a group; one object for each entry VM.
class Chooser
{
public:
    Chooser() = default;
    Chooser(const Chooser &) = delete;
    Chooser &operator=(const Chooser &) = delete;
    virtual ~Chooser() = default;

    virtual std::size_t choose(const routing::RoutingSnapshot &snapshot,
                               std::span<const std::uint64_t> blocks, TimePoint now)
        = 0;
    virtual void finished(std::size_t group, const routing::RequestSample &sample, TimePoint now)
        = 0;
    virtual void cacheChanged(const routing::CacheEvent &, TimePoint) {}
    [[nodiscard]] virtual std::uint32_t inFlight(std::size_t group) const = 0;
};

/// \brief What the simple policies share: a count of own requests.
class CountingChooser : public Chooser
{
public:
    CountingChooser(std::uint64_t seed, std::size_t groups)
        : random_(seed)
        , inFlight_(groups)
    {
    }

    std::size_t choose(const routing::RoutingSnapshot &snapshot, std::span<const std::uint64_t>,
                       TimePoint) final
    {
        const std::size_t group = pick(snapshot);
        ++inFlight_[group];
        return group;
    }
    void finished(std::size_t group, const routing::RequestSample &, TimePoint) final
    {
        --inFlight_[group];
    }
    [[nodiscard]] std::uint32_t inFlight(std::size_t group) const final { return inFlight_[group]; }

protected:
    [[nodiscard]] virtual std::size_t pick(const routing::RoutingSnapshot &snapshot) = 0;

    Random random_;
    std::vector<std::uint32_t> inFlight_;
};

class RandomChooser final : public CountingChooser
{
    using CountingChooser::CountingChooser;
    std::size_t pick(const routing::RoutingSnapshot &) override
    {
        return random_.below(inFlight_.size());
    }
};

class RoundRobinChooser final : public CountingChooser
{
    using CountingChooser::CountingChooser;
    std::size_t pick(const routing::RoutingSnapshot &) override
    {
        return next_++ % inFlight_.size();
    }

    std::size_t next_ = random_.below(inFlight_.size());
};

/// \brief Least of the reported load or what is known to be in flight now; ties at random.
class LeastLoadedChooser final : public CountingChooser
{
    using CountingChooser::CountingChooser;
    std::size_t pick(const routing::RoutingSnapshot &snapshot) override
    {
        const auto &groups = snapshot.services_[0].groups_;
        std::size_t best = 0;
        double bestLoad = 1e9;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            const double reported = groups[i].load_.running_ + groups[i].load_.queued_;
            const double known = groups[i].peerInFlight_ + inFlight_[i];
            const double load = std::max(reported, known) + 0.001 * random_.unit();
            if (load < bestLoad) {
                bestLoad = load;
                best = i;
            }
        }
        return best;
    }
};

class RouterChooser final : public Chooser
{
public:
    RouterChooser(std::uint64_t seed, routing::RouterPolicy policy, bool usesPrefixes)
        : router_(seed, policy)
        , usesPrefixes_(usesPrefixes)
    {
    }

    std::size_t choose(const routing::RoutingSnapshot &snapshot,
                       std::span<const std::uint64_t> blocks, TimePoint now) override
    {
        const auto hashes = usesPrefixes_ ? blocks : std::span<const std::uint64_t>{};
        const auto decision
            = router_.choose(snapshot, {.service_ = serviceName, .prefixHashes_ = hashes}, now);
        router_.started(decision.group_->group_, hashes, now);
        return static_cast<std::size_t>(decision.group_ - snapshot.services_[0].groups_.data());
    }
    void finished(std::size_t group, const routing::RequestSample &sample, TimePoint now) override
    {
        router_.finished(idOf(group), sample, now);
    }
    void cacheChanged(const routing::CacheEvent &event, TimePoint now) override
    {
        router_.cacheChanged(event, now);
    }
    [[nodiscard]] std::uint32_t inFlight(std::size_t group) const override
    {
        return router_.inFlight(idOf(group));
    }

    [[nodiscard]] static GroupId idOf(std::size_t group)
    {
        return GroupId("lm/" + std::to_string(group));
    }

private:
    routing::Router router_;
    bool usesPrefixes_;
};

struct Results
{
    std::vector<double> times_;
    double blocks_ = 0;
    double hits_ = 0;
    double imbalance_ = 0;
    std::size_t samples_ = 0;
    double local_ = 0;
    double attempts_ = 0;

    [[nodiscard]] double percentile(double share)
    {
        std::sort(times_.begin(), times_.end());
        return times_[static_cast<std::size_t>(share * double(times_.size() - 1))];
    }
};

using ChooserFactory = std::function<std::unique_ptr<Chooser>(std::uint64_t)>;

/// \brief Runs one policy over the arrivals.
class Run
{
public:
    Run(const Scenario &scenario, const ChooserFactory &factory)
        : scenario_(scenario)
        , random_(scenario.seed_ + 17)
    {
        for (std::size_t i = 0; i < scenario.groups_; ++i) {
            GroupShape shape;
            if (scenario.hasStraggler_ && i == 0)
                shape.slowness_ = 4;
            groups_.push_back(std::make_unique<GroupModel>(clock_, shape));
            if (scenario.hasCacheEvents_)
                groups_[i]->onCache_ = [this, i](const auto &stored, const auto &evicted) {
                    publish(i, routing::CacheEventKind::Removed, evicted);
                    publish(i, routing::CacheEventKind::Stored, stored);
                };
        }
        sequences_.resize(scenario.groups_);
        for (std::size_t i = 0; i < entryCount; ++i) {
            choosers_.push_back(factory(scenario.seed_ * 100 + i));
            snapshots_.push_back(makeSnapshot(i));
        }
        refresh();
        sample();
    }

    Results run(const std::vector<Arrival> &arrivals)
    {
        const TimePoint start = clock_.now();
        for (const Arrival &arrival : arrivals) {
            clock_.advance(start + cardamombay::fromSeconds(arrival.at_) - clock_.now());
            submit(arrival);
        }
        return std::move(results_);
    }

private:
    [[nodiscard]] static AvailabilityZone zoneOf(std::size_t index)
    {
        return AvailabilityZone("zone-" + std::to_string(index % zoneCount));
    }

    routing::RoutingSnapshot makeSnapshot(std::size_t entry)
    {
        routing::RoutingSnapshot snapshot;
        snapshot.zone_ = zoneOf(entry);
        snapshot.services_.push_back({serviceName, {}});
        for (std::size_t i = 0; i < groups_.size(); ++i) {
            routing::SnapshotGroup group;
            group.group_ = RouterChooser::idOf(i);
            group.zone_ = zoneOf(i);
            group.freshUntil_ = TimePoint::max();
            group.capacity_ = GroupShape{}.slots_;
            snapshot.services_[0].groups_.push_back(group);
        }
        return snapshot;
    }

    /// \brief Publishes to all entry VMs what was true one period ago.
    void refresh()
    {
        for (std::size_t entry = 0; entry < entryCount; ++entry) {
            ++snapshots_[entry].sequence_;
            auto &views = snapshots_[entry].services_[0].groups_;
            for (std::size_t i = 0; i < groups_.size() && !reported_.empty(); ++i) {
                views[i].load_ = reported_[i];
                views[i].loadTakenAt_ = reportedAt_;
                views[i].peerInFlight_ = 0;
                for (std::size_t peer = 0; peer < entryCount; ++peer) {
                    if (peer != entry)
                        views[i].peerInFlight_ += digested_[peer][i];
                }
            }
        }
        reported_.clear();
        digested_.assign(entryCount, {});
        for (std::size_t i = 0; i < groups_.size(); ++i) {
            reported_.push_back({groups_[i]->running(), groups_[i]->queued(), 0, {}});
            for (std::size_t entry = 0; entry < entryCount; ++entry)
                digested_[entry].push_back(choosers_[entry]->inFlight(i));
        }
        reportedAt_ = clock_.now();
        clock_.schedule(digestPeriod, [this] { refresh(); });
    }

    void sample()
    {
        double highest = 0;
        double sum = 0;
        for (const auto &group : groups_) {
            highest = std::max(highest, group->load());
            sum += group->load();
        }
        if (sum > 0 && isWarm()) {
            results_.imbalance_ += highest / (sum / double(groups_.size()));
            ++results_.samples_;
        }
        clock_.schedule(std::chrono::milliseconds(100), [this] { sample(); });
    }

    [[nodiscard]] bool isWarm() const
    {
        return clock_.now() - TimePoint(std::chrono::hours(1)) > std::chrono::seconds(60);
    }

    /// \brief A request with one attempt, or two if it is hedged.
    struct Request
    {
        std::size_t entry_ = 0;
        const Arrival *arrival_ = nullptr;
        TimePoint arrivedAt_{};
        bool counts_ = false;
        bool hasToken_ = false;
        std::vector<std::shared_ptr<bool>> cancels_;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void submit(const Arrival &arrival)
    {
        const auto request = std::make_shared<Request>();
        request->entry_ = arrival.entry_;
        request->arrival_ = &arrival;
        request->arrivedAt_ = clock_.now();
        request->counts_ = isWarm();
        attempt(request);
        if (scenario_.hedgeAfter_ <= 0)
            return;
        clock_.schedule(cardamombay::fromSeconds(scenario_.hedgeAfter_), [this, request] {
            if (!request->hasToken_)
                attempt(request);
        });
    }

    void attempt(const RequestPtr &request)
    {
        const std::size_t entry = request->entry_;
        const auto &blocks = request->arrival_->blocks_;
        const std::size_t chosen
            = choosers_[entry]->choose(snapshots_[entry], blocks, clock_.now());
        if (request->counts_) {
            results_.local_ += zoneOf(chosen) == zoneOf(entry);
            results_.attempts_ += 1;
        }
        auto time = std::make_shared<Duration>();
        ModelRequest attempted;
        attempted.blocks_ = blocks;
        attempted.tokens_ = request->arrival_->tokens_;
        attempted.arrivedAt_ = request->arrivedAt_;
        const std::size_t number = request->cancels_.size();
        request->cancels_.push_back(attempted.isCancelled_);
        attempted.onFirstToken_ = [this, time, request, number](Duration taken, std::size_t held) {
            *time = taken;
            request->hasToken_ = true;
            for (std::size_t i = 0; i < request->cancels_.size(); ++i)
                *request->cancels_[i] = i != number;
            if (!request->counts_)
                return;
            results_.times_.push_back(cardamombay::toSeconds(taken));
            results_.blocks_ += double(request->arrival_->blocks_.size());
            results_.hits_ += double(held);
        };
        attempted.onEnd_ = [this, entry, chosen, time](Duration perToken) {
            choosers_[entry]->finished(chosen, {*time, true, perToken}, clock_.now());
        };
        groups_[chosen]->submit(std::move(attempted));
    }

    /// \brief An event reaches each entry VM half a second to a second later, or is lost.
    void publish(std::size_t group, routing::CacheEventKind kind,
                 const std::vector<std::uint64_t> &blocks)
    {
        if (blocks.empty())
            return;
        auto event = std::make_shared<routing::CacheEvent>();
        event->group_ = RouterChooser::idOf(group);
        event->sequence_ = ++sequences_[group];
        event->kind_ = kind;
        event->blocks_ = blocks;
        for (const auto &chooser : choosers_) {
            if (random_.unit() < scenario_.eventLoss_)
                continue;
            clock_.schedule(digestPeriod, [this, event, &chooser] {
                chooser->cacheChanged(*event, clock_.now());
            });
        }
    }

    Scenario scenario_;
    Random random_;
    ManualClock clock_;
    std::vector<std::unique_ptr<GroupModel>> groups_;
    std::vector<std::unique_ptr<Chooser>> choosers_;
    std::vector<routing::RoutingSnapshot> snapshots_;
    std::vector<endpoint::LoadReport> reported_;
    std::vector<std::vector<std::uint32_t>> digested_;
    std::vector<std::uint64_t> sequences_;
    TimePoint reportedAt_{};
    Results results_;
};

void compare(const Scenario &scenario, const char *title)
{
    const double decode = meanTokens * GroupShape{}.secondsPerToken_ * 1.35;
    const double slots = double(scenario.groups_) * GroupShape{}.slots_;
    const auto arrivals = makeArrivals(scenario, scenario.load_ * slots / decode);
    std::printf("\n%s: %zu groups, load %.2f, %zu requests, seed %llu\n", title, scenario.groups_,
                scenario.load_, arrivals.size(), static_cast<unsigned long long>(scenario.seed_));
    std::printf("%-24s %8s %8s %8s %8s %10s %8s %9s\n", "policy", "p50 s", "p95 s", "p99 s", "hits",
                "imbalance", "in zone", "attempts");
    const auto report = [&](const char *name, const ChooserFactory &factory, double hedge = 0) {
        Scenario run = scenario;
        run.hedgeAfter_ = hedge;
        Results results = Run(run, factory).run(arrivals);
        const double count = double(results.times_.size());
        std::printf("%-24s %8.3f %8.3f %8.3f %8.3f %10.3f %8.3f %9.3f\n", name,
                    results.percentile(0.5), results.percentile(0.95), results.percentile(0.99),
                    results.hits_ / results.blocks_, results.imbalance_ / double(results.samples_),
                    results.local_ / results.attempts_, results.attempts_ / count);
    };
    const auto simple = [&]<typename Policy>(std::type_identity<Policy>) -> ChooserFactory {
        return [&](std::uint64_t seed) { return std::make_unique<Policy>(seed, scenario.groups_); };
    };
    const auto router = [](routing::RouterPolicy policy, bool usesPrefixes) -> ChooserFactory {
        return [=](std::uint64_t seed) {
            return std::make_unique<RouterChooser>(seed, policy, usesPrefixes);
        };
    };
    report("random", simple(std::type_identity<RandomChooser>{}));
    report("round-robin", simple(std::type_identity<RoundRobinChooser>{}));
    report("least-loaded", simple(std::type_identity<LeastLoadedChooser>{}));
    report("router, no prefixes", router({}, false));
    routing::RouterPolicy standard;
    report("router", router(standard, true));
    routing::RouterPolicy variant = standard;
    variant.affinitySlack_ = 0.1;
    report("router, slack 0.1", router(variant, true));
    variant.affinitySlack_ = 0.5;
    report("router, slack 0.5", router(variant, true));
    variant = standard;
    variant.affinityZoneSlack_ = 0;
    report("router, any zone", router(variant, true));
    variant.affinityZoneSlack_ = standard.zoneSlack_;
    report("router, zone first", router(variant, true));
    variant = standard;
    variant.stragglerRatio_ = 1e9;
    report("router, no ejection", router(variant, true));
    report("router, hedge 0.3 s", router(standard, true), 0.3);
    report("router, hedge 0.5 s", router(standard, true), 0.5);
    report("router, hedge 1 s", router(standard, true), 1.0);
}

} // namespace

int main(int argc, char **argv)
{
    const auto argument = [&](int index, double standard) {
        return argc > index ? std::atof(argv[index]) : standard;
    };
    Scenario scenario;
    scenario.groups_ = static_cast<std::size_t>(argument(1, 12));
    scenario.load_ = argument(2, 0.7);
    scenario.seconds_ = argument(3, 600);
    scenario.seed_ = static_cast<std::uint64_t>(argument(4, 1));
    compare(scenario, "even groups");
    scenario.hasStraggler_ = true;
    compare(scenario, "one group four times slower");
    scenario.hasStraggler_ = false;
    scenario.hasCacheEvents_ = true;
    compare(scenario, "cache events late");
    scenario.eventLoss_ = 0.05;
    compare(scenario, "cache events late, 5 % lost");
    return 0;
}
