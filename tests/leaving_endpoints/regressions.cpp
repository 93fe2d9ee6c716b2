// Tests how soon all entry VMs stop using endpoints that shut down, while some entry VMs or the
// store fail.
#include "support/node_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Required time after which an endpoint that shuts down gets no new requests.
constexpr Duration leavingBound = seconds(2);
/// Time without a fault after which an entry VM or the store counts as undisturbed.
constexpr Duration settledAfter = seconds(3);
constexpr Duration step = milliseconds(10);

/// Shuts down endpoints one after the other while entry VMs and the store fail.
class LeavingSimulation
{
public:
    LeavingSimulation(std::size_t entries, std::size_t zones, std::uint64_t seed)
        : fleet_(entries, zones, entries > 16 ? 1 : 0, seed)
        , random_(seed)
        , faultyUntil_(entries)
    {
        fleet_.faults_ = {0.02, milliseconds(5)};
        fleet_.configure(1, {"key"});
        for (int i = 0; i < endpoints; ++i)
            fleet_.list("e" + std::to_string(i), "d");
        fleet_.start();
        fleet_.pass(seconds(6));
    }

    /// \returns the longest time for which an undisturbed entry VM still used an endpoint after its
    /// shutdown.
    Duration run()
    {
        for (int i = 0; i < endpoints; ++i) {
            injectFaults();
            pass(milliseconds(random_.below(4000)));
            leave(i);
            pass(leavingBound + milliseconds(random_.below(1500)));
        }
        return longest_;
    }

    std::string worst_; ///< Entry VM and endpoint with the longest time.

private:
    static constexpr int endpoints = 12;

    void injectFaults()
    {
        const auto now = fleet_.clock_.now();
        const auto until = now + milliseconds(500 + random_.below(6000));
        if (random_.below(3) == 0) {
            fleet_.platform_.faults_.isDown_ = true;
            storeFaultyUntil_ = until;
        }
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (random_.below(3) != 0 || faultyUntil_[i] > now)
                continue;
            faultyUntil_[i] = until;
            auto &node = fleet_.node(i);
            if (random_.below(3) == 0)
                node.clock_.setPaused(true);
            else if (random_.below(2) == 0)
                node.isStoreSilent_ = true;
            else
                node.store_.isCutOff_ = true;
        }
    }

    void clearFaults()
    {
        const auto now = fleet_.clock_.now();
        if (now >= storeFaultyUntil_)
            fleet_.platform_.faults_.isDown_ = false;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (now < faultyUntil_[i])
                continue;
            auto &node = fleet_.node(i);
            node.isStoreSilent_ = false;
            node.store_.isCutOff_ = false;
            node.clock_.setPaused(false);
        }
    }

    void leave(int index)
    {
        const auto name = "e" + std::to_string(index);
        isAnnounced_ = random_.below(2) == 0;
        if (isAnnounced_)
            fleet_.drain(name);
        else
            fleet_.list(name, "");
        leaving_ = VmId(name);
        leftAt_ = fleet_.clock_.now();
        // No bound applies to changes made while the store is disturbed.
        isJudged_ = leftAt_ - storeFaultyUntil_ >= settledAfter;
    }

    void pass(Duration time)
    {
        for (Duration done{}; done < time; done += step) {
            clearFaults();
            fleet_.pass(step);
            checkUse();
        }
    }

    void checkUse()
    {
        const auto now = fleet_.clock_.now();
        // An entry VM counts as undisturbed only while the store is undisturbed.
        if (!leaving_ || !isJudged_ || now - storeFaultyUntil_ < settledAfter)
            return;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            const auto *known = fleet_.node(i).endpointRegistry_.find(*leaving_);
            const bool isUsed = known != nullptr && !known->isDraining_;
            if (!isUsed || now - faultyUntil_[i] < settledAfter || now - leftAt_ <= longest_)
                continue;
            longest_ = now - leftAt_;
            worst_ = "node " + std::to_string(i) + ", " + leaving_->text()
                     + (isAnnounced_ ? " draining" : " gone");
        }
    }

    NodeFleet fleet_;
    Random random_;
    std::vector<TimePoint> faultyUntil_;
    TimePoint storeFaultyUntil_{};
    std::optional<VmId> leaving_;
    TimePoint leftAt_{};
    bool isAnnounced_ = false;
    bool isJudged_ = false;
    Duration longest_{};
};

/// Distribution of the time for which endpoints were still used after their shutdown.
struct Distribution
{
    void add(Duration time) { times_.push_back(time); }

    [[nodiscard]] Duration longest() const
    {
        return *std::max_element(times_.begin(), times_.end());
    }

    void print(const char *name)
    {
        std::sort(times_.begin(), times_.end());
        const auto at = [this](double share) {
            const auto last = static_cast<double>(times_.size() - 1);
            return static_cast<long long>(
                toMilliseconds(times_[static_cast<std::size_t>(last * share)]));
        };
        std::printf("%s: %zu plays, known after ms: median %lld, 90 in 100 %lld, 99 in 100 %lld, "
                    "longest %lld\n",
                    name, times_.size(), at(0.5), at(0.9), at(0.99), at(1));
    }

    std::vector<Duration> times_;
};

/// Cuts some entry VMs off from the store and shuts down an endpoint while all others reach it.
class StoreLossSimulation
{
public:
    StoreLossSimulation(std::size_t entries, std::size_t zones, std::uint64_t seed)
        : fleet_(entries, zones, entries > 16 ? 1 : 0, seed)
    {
        fleet_.faults_ = {0.01, milliseconds(5)};
        fleet_.configure(1, {"key"});
        for (int i = 0; i < endpoints; ++i)
            fleet_.list("e" + std::to_string(i), "d");
        fleet_.start();
        fleet_.pass(seconds(6));
    }

    /// \param silent entry VMs that get no answer from the store.
    /// \param before how long before the shutdown they lose the store.
    /// \returns the time until no other entry VM uses the endpoint.
    Duration simulation(const std::vector<std::size_t> &silent, Duration before, bool isAnnounced)
    {
        for (const auto index : silent)
            fleet_.node(index).isStoreSilent_ = true;
        fleet_.pass(before);
        const auto name = "e" + std::to_string(next_);
        if (isAnnounced)
            fleet_.drain(name);
        else
            fleet_.list(name, "");
        const auto leftAt = fleet_.clock_.now();
        while (isUsed(VmId(name)) && fleet_.clock_.now() - leftAt < seconds(10))
            fleet_.pass(step);
        const auto result = fleet_.clock_.now() - leftAt;
        for (const auto index : silent)
            fleet_.node(index).isStoreSilent_ = false;
        fleet_.list(name, "d");
        next_ = (next_ + 1) % endpoints;
        fleet_.pass(settledAfter + milliseconds(fleet_.random_.below(1500)));
        return result;
    }

    [[nodiscard]] std::size_t size() const { return fleet_.size(); }
    [[nodiscard]] Random &random() { return fleet_.random_; }

private:
    static constexpr int endpoints = 12;

    bool isUsed(const VmId &endpoint)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            const auto *known = fleet_.node(i).endpointRegistry_.find(endpoint);
            if (!fleet_.node(i).isStoreSilent_ && known != nullptr && !known->isDraining_)
                return true;
        }
        return false;
    }

    NodeFleet fleet_;
    int next_ = 0;
};

/// Shuts down an endpoint 6 s after a store outage, while all datagrams are lost.
/// \returns the time until no entry VM uses it.
Duration timeToKnowEndAfter(Duration outage)
{
    NodeFleet fleet(7, 3, 0, 5);
    fleet.configure(1, {"key"});
    fleet.list("e0", "d");
    fleet.start();
    fleet.pass(seconds(6));
    fleet.platform_.faults_.isDown_ = true;
    fleet.pass(outage);
    fleet.platform_.faults_.isDown_ = false;
    fleet.pass(seconds(6));
    fleet.list("e0", "");
    const auto endedAt = fleet.clock_.now();
    // Relayed updates are lost, so that all entry VMs have to query the store.
    fleet.faults_.lossShare_ = 1;
    fleet.pass(milliseconds(100));
    fleet.faults_.lossShare_ = 0;
    const auto isListed = [&fleet] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.node(i).endpointRegistry_.find(VmId("e0")) != nullptr)
                return true;
        }
        return false;
    };
    while (isListed() && fleet.clock_.now() - endedAt < seconds(10))
        fleet.pass(step);
    return fleet.clock_.now() - endedAt;
}

/// Number of seeds: LEAVING_SEEDS if set, otherwise a few.
std::uint64_t seedCount()
{
    const auto *text = std::getenv("LEAVING_SEEDS");
    return text == nullptr ? 10 : std::strtoull(text, nullptr, 10);
}

} // namespace

/// Guards against requests reaching an endpoint up to 2.2 s after its shutdown notice, where 2 s
/// are allowed. This happened when half of the entry VMs had just lost the store, on entry VMs that
/// still reached it.
Test(leaving_endpoints, none_is_used_after_its_bound_whichever_entry_vms_lose_the_store)
{
    Distribution times;
    StoreLossSimulation simulation(7, 3, 3);
    for (std::size_t mask = 0; mask + 1 < std::size_t{1} << simulation.size(); ++mask) {
        std::vector<std::size_t> silent;
        for (std::size_t i = 0; i < simulation.size(); ++i) {
            if ((mask >> i & 1U) != 0)
                silent.push_back(i);
        }
        const milliseconds before(simulation.random().below(1600));
        const auto time = simulation.simulation(silent, before, mask % 2 == 0);
        times.add(time);
        cr_expect_lt(time.count(), leavingBound.count(), "mask %zx before %lld: %lld ms", mask,
                     static_cast<long long>(before.count()),
                     static_cast<long long>(toMilliseconds(time)));
    }
    times.print("7 entry VMs, each set of them without the store");
}

/// Guards against using an endpoint for 1.9 s after the entry VM learned that it was no longer
/// listed. This happened 6 s after a store outage: most entry VMs do not watch the store and had
/// not called it since. When one queried a missed change, the first answer counted as the store's
/// return, which starts a grace period for missing entries, and the change was the endpoint's
/// removal.
Test(leaving_endpoints, end_is_not_excused_by_an_outage_that_is_long_over)
{
    Distribution times;
    for (int outage = 2000; outage <= 6000; outage += 200)
        times.add(timeToKnowEndAfter(milliseconds(outage)));
    times.print("end after an outage");
    cr_assert_lt(times.longest().count(), leavingBound.count());
}

/// The grace period covers entries that expire during a store outage: live endpoints rewrite them
/// within two seconds of the store's return.
Test(leaving_endpoints, entry_that_lapsed_in_an_outage_is_used_until_it_is_back)
{
    for (int outage = 2400; outage <= 6000; outage += 600) {
        NodeFleet fleet(7, 3, 0, 5);
        fleet.configure(1, {"key"});
        fleet.list("e0", "d");
        fleet.start();
        fleet.pass(seconds(6));
        fleet.platform_.faults_.isDown_ = true;
        fleet.pass(milliseconds(outage));
        fleet.list("e0", "");
        fleet.platform_.faults_.isDown_ = false;
        for (int passed = 0; passed < 1800; passed += 10) {
            fleet.pass(step);
            for (std::size_t i = 0; i < fleet.size(); ++i)
                cr_assert_not_null(fleet.node(i).endpointRegistry_.find(VmId("e0")),
                                   "node %zu, %d ms after an outage of %d ms", i, passed, outage);
        }
        fleet.list("e0", "d");
        fleet.pass(seconds(3));
        for (std::size_t i = 0; i < fleet.size(); ++i)
            cr_assert_not_null(fleet.node(i).endpointRegistry_.find(VmId("e0")), "node %zu", i);
    }
}

/// Random sets of entry VMs lose the store in fleets whose digests are relayed by reporters.
Test(leaving_endpoints, none_is_used_after_its_bound_in_large_fleets)
{
    for (const std::size_t entries : {40U, 195U}) {
        Distribution times;
        StoreLossSimulation simulation(entries, 5, 4);
        for (int i = 0; i < (entries > 100 ? 6 : 30); ++i) {
            std::vector<std::size_t> silent;
            const double share = simulation.random().unit();
            for (std::size_t index = 0; index < entries; ++index) {
                // Every second run includes the entry VMs that watch the store for all others, the
                // largest ones.
                if (simulation.random().unit() < share || (i % 2 == 0 && index < 5))
                    silent.push_back(index);
            }
            times.add(simulation.simulation(silent, milliseconds(simulation.random().below(1600)),
                                            i % 4 < 2));
        }
        const auto name = std::to_string(entries) + " entry VMs, sets of them without the store";
        times.print(name.c_str());
        cr_expect_lt(times.longest().count(), Duration(seconds(3)).count());
    }
}

/// Guards against a race found by reading the code: connecting may take 250 ms, and the process may
/// be paused before it writes the request. The endpoint may announce its shutdown in the meantime.
Test(leaving_endpoints, request_is_not_sent_to_an_endpoint_that_left_before_the_connection_was_up)
{
    for (const bool isAnnounced : {true, false}) {
        GatewayFixture fixture;
        const auto caller = fixture.ask("/once/7");
        const auto first = fixture.lastCall();
        auto endpoint = *fixture.endpointRegistry_.find(VmId(first->field("endpoint")));
        endpoint.isDraining_ = true;
        if (isAnnounced)
            fixture.endpointRegistry_.put(endpoint);
        else
            fixture.endpointRegistry_.remove(endpoint.id_, fixture.clock_.now());
        cr_assert_not(first->connect());
        cr_assert_eq(fixture.upstream_.calls_.size(), 2);
        cr_assert_neq(fixture.lastCall()->field("endpoint"), endpoint.id_.text());
        cr_assert(fixture.lastCall()->connect());
        cr_assert_not(caller->answer_);
    }
}

/// Shutdowns combined with entry VM pauses, connection losses and store outages, which follow each
/// other and overlap.
Test(leaving_endpoints, none_is_used_after_its_bound_by_an_undisturbed_entry_vm)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        LeavingSimulation simulation(7, 3, seed);
        const auto longest = simulation.run();
        std::printf("seed %llu: %lld ms (%s)\n", static_cast<unsigned long long>(seed),
                    static_cast<long long>(toMilliseconds(longest)), simulation.worst_.c_str());
        cr_expect_lt(longest.count(), leavingBound.count(), "seed %llu",
                     static_cast<unsigned long long>(seed));
    }
}
