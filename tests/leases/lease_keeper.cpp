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

/// An entry VM with its own clock and store connection, which can be paused and disconnected.
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

struct LeaseFixture
{
    ManualClock clock_;
    FakePlatform platform_{clock_};
    Node a_{clock_, platform_, "entry-a"};
    Node b_{clock_, platform_, "entry-b"};

    /// Advances the clock in small steps, checking at each that at most one node holds the lease.
    void run(Duration time)
    {
        for (Duration step = milliseconds(50); time > Duration::zero(); time -= step) {
            clock_.advance(step);
            cr_assert_not(a_.lease_.isHeld() && b_.lease_.isHeld(), "two holders at once");
        }
    }
};

} // namespace

Test(lease_keeper, first_candidate_acquires_a_free_lease_immediately)
{
    LeaseFixture fixture;
    fixture.a_.contend();

    fixture.run(milliseconds(100));

    cr_assert(fixture.a_.lease_.isHeld());
    cr_assert_eq(fixture.a_.lease_.epoch().value(), 1U);
    cr_assert(fixture.a_.changes_ == std::vector<bool>{true});
}

Test(lease_keeper, holder_keeps_the_lease_by_renewing_it)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.run(seconds(1));
    fixture.b_.contend();

    fixture.run(seconds(120));

    cr_assert(fixture.a_.lease_.isHeld());
    cr_assert_eq(fixture.a_.lease_.epoch().value(), 1U);
    cr_assert(fixture.a_.changes_ == std::vector<bool>{true});
}

Test(lease_keeper, lease_counts_from_before_the_renewal_was_sent)
{
    LeaseFixture fixture;
    fixture.platform_.faults_.latency_ = seconds(1);
    const TimePoint begin = fixture.clock_.now();
    fixture.a_.contend();

    fixture.run(milliseconds(2100)); // One read and one write, one second each.

    const LeaseSettings settings;
    cr_assert(fixture.a_.lease_.isHeld());
    cr_assert(fixture.a_.lease_.heldUntil()
              <= begin + seconds(1) + settings.duration_ - settings.margin_);
}

Test(lease_keeper, contender_takes_over_only_after_the_old_lease_has_run_out)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.b_.contend(1);
    fixture.run(seconds(10));
    fixture.a_.store_.isCutOff_ = true;

    fixture.run(seconds(60));

    cr_assert_not(fixture.a_.lease_.isHeld());
    cr_assert(fixture.b_.lease_.isHeld());
    cr_assert_eq(fixture.b_.lease_.epoch().value(), 2U);
}

Test(lease_keeper, holder_resumed_after_expiry_does_not_hold_the_lease)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.b_.contend(1);
    fixture.run(seconds(5));

    fixture.a_.clock_.pause();
    fixture.run(seconds(40));
    const bool isHeldBeforeAnyTimer = fixture.a_.lease_.isHeld();
    fixture.a_.clock_.resume();
    fixture.run(seconds(30));

    cr_assert_not(isHeldBeforeAnyTimer);
    cr_assert_not(fixture.a_.lease_.isHeld());
    cr_assert(fixture.b_.lease_.isHeld());
}

Test(lease_keeper, clock_jump_past_the_lease_ends_it_without_a_timer)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.run(seconds(1));

    fixture.clock_.jump(seconds(30));

    cr_assert_not(fixture.a_.lease_.isHeld());
}

Test(lease_keeper, lost_answer_to_the_first_write_still_gains_the_lease)
{
    LeaseFixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    fixture.a_.contend();

    fixture.run(seconds(1));

    cr_assert(fixture.a_.lease_.isHeld());
    cr_assert_eq(fixture.a_.lease_.epoch().value(), 1U);
}

Test(lease_keeper, lost_answers_to_renewals_do_not_lose_the_lease)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.b_.contend(1);
    fixture.run(seconds(2));

    for (int round = 0; round < 20; ++round) {
        fixture.platform_.faults_.loseNextAnswers_ = 1;
        fixture.run(seconds(4));
    }

    cr_assert(fixture.a_.lease_.isHeld());
    cr_assert_eq(fixture.a_.lease_.epoch().value(), 1U);
}

Test(lease_keeper, write_without_known_effect_is_never_assumed)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.run(seconds(2));

    fixture.platform_.faults_.losesRequests_ = true;
    fixture.run(seconds(15));
    const bool isHeldMeanwhile = fixture.a_.lease_.isHeld();
    fixture.platform_.faults_.losesRequests_ = false;
    fixture.run(seconds(30));

    cr_assert_not(isHeldMeanwhile);
    cr_assert(fixture.a_.lease_.isHeld());
}

Test(lease_keeper, holder_resumes_after_a_store_outage_in_which_nobody_took_over)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.b_.contend(1);
    fixture.run(seconds(2));
    fixture.platform_.faults_.isDown_ = true;
    fixture.run(std::chrono::minutes(10));
    const bool isHeldMeanwhile = fixture.a_.lease_.isHeld() || fixture.b_.lease_.isHeld();

    fixture.platform_.faults_.isDown_ = false;
    fixture.run(seconds(30));

    cr_assert_not(isHeldMeanwhile);
    cr_assert(fixture.a_.lease_.isHeld() || fixture.b_.lease_.isHeld());
}

Test(lease_keeper, release_lets_the_next_candidate_acquire_before_expiry)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.b_.contend(1);
    fixture.run(seconds(20));

    fixture.a_.lease_.release();
    cr_assert_not(fixture.a_.lease_.isHeld());
    fixture.run(seconds(10));

    cr_assert(fixture.a_.lease_.isReleased());
    cr_assert(fixture.b_.lease_.isHeld());
}

Test(lease_keeper, holder_without_a_rank_releases_the_lease)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.run(seconds(5));

    fixture.a_.lease_.setCandidateRank(std::nullopt);
    fixture.b_.contend();
    fixture.run(seconds(10));

    cr_assert_not(fixture.a_.lease_.isHeld());
    cr_assert(fixture.b_.lease_.isHeld());
}

Test(lease_keeper, new_holder_waits_for_orders_in_transit)
{
    LeaseFixture fixture;
    fixture.a_.contend();
    fixture.run(seconds(5));
    fixture.a_.lease_.release();
    fixture.b_.contend();

    cr_assert_not(fixture.b_.lease_.isHeld());
    while (!fixture.b_.lease_.isHeld())
        fixture.run(milliseconds(50));

    const Duration quiet = fixture.b_.lease_.previousOrdersUntil() - fixture.clock_.now();
    cr_assert(quiet > LeaseSettings{}.maxOrderTransit_ - milliseconds(100));
}

Test(lease_keeper, restarted_holder_waits_for_expiry_of_its_previous_lease)
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

Test(lease_keeper, non_candidates_do_not_access_the_store)
{
    LeaseFixture fixture;
    fixture.b_.lease_.start();

    fixture.run(seconds(60));

    cr_assert_eq(fixture.platform_.reads_, 0U);
    cr_assert_eq(fixture.platform_.commits_, 0U);
}

/// Three candidates under random pauses, disconnects, lost answers and outages, for fixed seeds.
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
