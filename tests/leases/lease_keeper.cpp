#include "support/fake_store.hpp"
#include "support/pausable_node.hpp"

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/leases/lease_keeper.hpp>

#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::leases;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const FabricDomain domain("fabric-0");

LeaseProgramPtr program()
{
    const auto chart = chart::ChartFolder(SOURCE_FOLDER "/charts").load("lease");
    cr_assert(isOk(chart));
    const auto bound = LeaseKeeper::bind(valueOf(chart));
    cr_assert(isOk(bound));
    return valueOf(bound);
}

/// One entry VM with its own link to the store; it can be paused and cut off.
struct Node
{
    Node(ManualClock &clock, FakePlatform &platform, const std::string &name)
        : clock_(clock)
        , store_(platform)
        , nodeStore_(clock_, store_)
        , lease_(clock_, nodeStore_, Random(name.back()), LeaseSettings{}, EntryId(name),
                 Incarnation(1), domain, program())
    {
        lease_.onChange([this] { changes_.push_back(lease_.isHeld()); });
    }

    void contend(std::uint32_t rank = 0)
    {
        lease_.setCandidateRank(rank);
        lease_.start();
    }

    PausableClock clock_;
    FakeTableStore store_;
    PausableStore nodeStore_;
    LeaseKeeper lease_;
    std::vector<bool> changes_;
};

struct Bench
{
    ManualClock clock_;
    FakePlatform platform_{clock_};
    Node a_{clock_, platform_, "entry-a"};
    Node b_{clock_, platform_, "entry-b"};

    /// Advances in small steps and checks that the lease has at most one holder all the time.
    void run(Duration time)
    {
        for (Duration step = milliseconds(50); time > Duration::zero(); time -= step) {
            clock_.advance(step);
            cr_assert_not(a_.lease_.isHeld() && b_.lease_.isHeld(), "two holders at once");
        }
    }
};

} // namespace

Test(lease_keeper, first_candidate_gains_a_free_lease_at_once)
{
    Bench bench;
    bench.a_.contend();

    bench.run(milliseconds(100));

    cr_assert(bench.a_.lease_.isHeld());
    cr_assert_eq(bench.a_.lease_.epoch().value(), 1U);
    cr_assert(bench.a_.changes_ == std::vector<bool>{true});
}

Test(lease_keeper, holder_keeps_the_lease_by_renewing_it)
{
    Bench bench;
    bench.a_.contend();
    bench.run(seconds(1));
    bench.b_.contend();

    bench.run(seconds(120));

    cr_assert(bench.a_.lease_.isHeld());
    cr_assert_eq(bench.a_.lease_.epoch().value(), 1U);
    cr_assert(bench.a_.changes_ == std::vector<bool>{true});
}

Test(lease_keeper, lease_counts_from_before_the_renewal_was_sent)
{
    Bench bench;
    bench.platform_.faults_.latency_ = seconds(1);
    const TimePoint begin = bench.clock_.now();
    bench.a_.contend();

    bench.run(milliseconds(2100)); // One read, then the write, a second each.

    const LeaseSettings settings;
    cr_assert(bench.a_.lease_.isHeld());
    cr_assert(bench.a_.lease_.heldUntil()
              <= begin + seconds(1) + settings.duration_ - settings.margin_);
}

Test(lease_keeper, contender_takes_over_only_after_the_old_lease_has_run_out)
{
    Bench bench;
    bench.a_.contend();
    bench.b_.contend(1);
    bench.run(seconds(10));
    bench.a_.store_.isCutOff_ = true;

    bench.run(seconds(60));

    cr_assert_not(bench.a_.lease_.isHeld());
    cr_assert(bench.b_.lease_.isHeld());
    cr_assert_eq(bench.b_.lease_.epoch().value(), 2U);
}

Test(lease_keeper, holder_that_wakes_after_expiry_knows_at_once)
{
    Bench bench;
    bench.a_.contend();
    bench.b_.contend(1);
    bench.run(seconds(5));

    bench.a_.clock_.pause();
    bench.run(seconds(40));
    const bool isHeldBeforeAnyTimer = bench.a_.lease_.isHeld();
    bench.a_.clock_.resume();
    bench.run(seconds(30));

    cr_assert_not(isHeldBeforeAnyTimer);
    cr_assert_not(bench.a_.lease_.isHeld());
    cr_assert(bench.b_.lease_.isHeld());
}

Test(lease_keeper, clock_jump_past_the_lease_ends_it_without_a_timer)
{
    Bench bench;
    bench.a_.contend();
    bench.run(seconds(1));

    bench.clock_.jump(seconds(30));

    cr_assert_not(bench.a_.lease_.isHeld());
}

Test(lease_keeper, lost_answer_to_the_first_write_still_gains_the_lease)
{
    Bench bench;
    bench.platform_.faults_.loseNextAnswers_ = 1;
    bench.a_.contend();

    bench.run(seconds(1));

    cr_assert(bench.a_.lease_.isHeld());
    cr_assert_eq(bench.a_.lease_.epoch().value(), 1U);
}

Test(lease_keeper, lost_answers_to_renewals_do_not_lose_the_lease)
{
    Bench bench;
    bench.a_.contend();
    bench.b_.contend(1);
    bench.run(seconds(2));

    for (int round = 0; round < 20; ++round) {
        bench.platform_.faults_.loseNextAnswers_ = 1;
        bench.run(seconds(4));
    }

    cr_assert(bench.a_.lease_.isHeld());
    cr_assert_eq(bench.a_.lease_.epoch().value(), 1U);
}

Test(lease_keeper, write_without_known_effect_is_never_assumed)
{
    Bench bench;
    bench.a_.contend();
    bench.run(seconds(2));

    bench.platform_.faults_.losesRequests_ = true;
    bench.run(seconds(15));
    const bool isHeldMeanwhile = bench.a_.lease_.isHeld();
    bench.platform_.faults_.losesRequests_ = false;
    bench.run(seconds(30));

    cr_assert_not(isHeldMeanwhile);
    cr_assert(bench.a_.lease_.isHeld());
}

Test(lease_keeper, holder_resumes_after_a_store_outage_in_which_nobody_took_over)
{
    Bench bench;
    bench.a_.contend();
    bench.b_.contend(1);
    bench.run(seconds(2));
    bench.platform_.faults_.isDown_ = true;
    bench.run(std::chrono::minutes(10));
    const bool isHeldMeanwhile = bench.a_.lease_.isHeld() || bench.b_.lease_.isHeld();

    bench.platform_.faults_.isDown_ = false;
    bench.run(seconds(30));

    cr_assert_not(isHeldMeanwhile);
    cr_assert(bench.a_.lease_.isHeld() || bench.b_.lease_.isHeld());
}

Test(lease_keeper, release_lets_the_next_candidate_in_without_waiting_the_lease_out)
{
    Bench bench;
    bench.a_.contend();
    bench.b_.contend(1);
    bench.run(seconds(20));

    bench.a_.lease_.release();
    cr_assert_not(bench.a_.lease_.isHeld());
    bench.run(seconds(10));

    cr_assert(bench.a_.lease_.isReleased());
    cr_assert(bench.b_.lease_.isHeld());
}

Test(lease_keeper, candidate_that_loses_its_place_hands_the_lease_over)
{
    Bench bench;
    bench.a_.contend();
    bench.run(seconds(5));

    bench.a_.lease_.setCandidateRank(std::nullopt);
    bench.b_.contend();
    bench.run(seconds(10));

    cr_assert_not(bench.a_.lease_.isHeld());
    cr_assert(bench.b_.lease_.isHeld());
}

Test(lease_keeper, new_holder_is_quiet_for_the_longest_flight_of_an_order)
{
    Bench bench;
    bench.a_.contend();
    bench.run(seconds(5));
    bench.a_.lease_.release();
    bench.b_.contend();

    cr_assert_not(bench.b_.lease_.isHeld());
    while (!bench.b_.lease_.isHeld())
        bench.run(milliseconds(50));

    const Duration quiet = bench.b_.lease_.quietUntil() - bench.clock_.now();
    cr_assert(quiet > LeaseSettings{}.orderFlight_ - milliseconds(100));
}

Test(lease_keeper, restarted_holder_is_another_process_and_waits_the_old_lease_out)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore store(platform);
    auto before
        = std::make_unique<LeaseKeeper>(clock, store, Random(1), LeaseSettings{},
                                        EntryId("entry-a"), Incarnation(1), domain, program());
    before->setCandidateRank(0);
    before->start();
    clock.advance(seconds(1));
    before.reset();

    LeaseKeeper after(clock, store, Random(2), LeaseSettings{}, EntryId("entry-a"), Incarnation(2),
                      domain, program());
    after.setCandidateRank(0);
    after.start();
    clock.advance(seconds(11));
    const bool isHeldEarly = after.isHeld();
    clock.advance(seconds(20));

    cr_assert_not(isHeldEarly);
    cr_assert(after.isHeld());
    cr_assert_eq(after.epoch().value(), 2U);
}

Test(lease_keeper, others_than_candidates_leave_the_store_alone)
{
    Bench bench;
    bench.b_.lease_.start();

    bench.run(seconds(60));

    cr_assert_eq(bench.platform_.reads_, 0U);
    cr_assert_eq(bench.platform_.commits_, 0U);
}

/// Seeded interleavings of pauses, cut-offs, lost answers and outages with three contenders.
Test(lease_keeper, random_faults_never_make_two_holders)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        ManualClock clock;
        FakePlatform platform(clock);
        Random random(seed);
        std::vector<std::unique_ptr<Node>> nodes;
        for (const auto *name : {"entry-a", "entry-b", "entry-c"}) {
            nodes.push_back(std::make_unique<Node>(clock, platform, name));
            nodes.back()->contend(static_cast<std::uint32_t>(nodes.size() - 1));
        }
        Epoch highest;
        for (int step = 0; step < 400; ++step) {
            Node &node = *nodes[random.below(nodes.size())];
            switch (random.below(12)) {
            case 0:
                node.clock_.pause();
                break;
            case 1:
                node.store_.isCutOff_ = !node.store_.isCutOff_;
                break;
            case 2:
                platform.faults_.loseNextAnswers_ = 2;
                break;
            case 3:
                platform.faults_.isDown_ = !platform.faults_.isDown_;
                break;
            case 4:
                platform.faults_.losesRequests_ = !platform.faults_.losesRequests_;
                break;
            case 5:
                platform.faults_.latency_ = milliseconds(5 + random.below(1500));
                break;
            default:
                for (auto &each : nodes)
                    each->clock_.resume();
            }
            clock.advance(milliseconds(random.below(3000)));
            int holders = 0;
            for (const auto &each : nodes) {
                if (!each->lease_.isHeld())
                    continue;
                ++holders;
                cr_assert(each->lease_.epoch() >= highest, "epoch went back, seed %zu",
                          static_cast<std::size_t>(seed));
                highest = each->lease_.epoch();
            }
            cr_assert_leq(holders, 1, "seed %zu step %d", static_cast<std::size_t>(seed), step);
        }
    }
}
