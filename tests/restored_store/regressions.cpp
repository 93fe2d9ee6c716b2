// The platform's store comes back from a backup that is some seconds old: versions go back and are
// given out again, and what was acknowledged since is gone. Whole control sides on a paused clock.
//
// None of this was seen by callers. Each case was read off the code, in which versions of the store
// only rose, and failed before versions carried the timeline that they belong to.
#include "support/node_fleet.hpp"

#include <algorithm>
#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration step = milliseconds(10);
/// Operators, engines and the product have written again what was lost by then.
constexpr Duration writtenAgain = milliseconds(1700);

struct RestoredFleet
{
    explicit RestoredFleet(std::size_t entries = 7, std::uint64_t seed = 5)
        : fleet_(entries, entries > 16 ? 5 : 3, entries > 16 ? 1 : 0, seed)
    {
        fleet_.faults_ = {0.01, milliseconds(5)};
        fleet_.configure(1, {"old"});
        for (const auto *name : {"e0", "e1", "e2"})
            fleet_.list(name, "d");
        fleet_.start();
        fleet_.pass(seconds(6));
    }

    /// True if no entry VM uses the endpoint.
    [[nodiscard]] bool isUnused(const std::string &endpoint)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            const auto *known = fleet_.node(i).endpointRegistry_.find(VmId(endpoint));
            if (known != nullptr && !known->isDraining_)
                return false;
        }
        return true;
    }

    /// True if all entry VMs use the endpoint.
    [[nodiscard]] bool isUsed(const std::string &endpoint)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            const auto *known = fleet_.node(i).endpointRegistry_.find(VmId(endpoint));
            if (known == nullptr || known->isDraining_)
                return false;
        }
        return true;
    }

    /// Advances the clock; \p holds is checked all the while.
    template<typename Check>
    void pass(Duration time, Check holds, const char *what)
    {
        for (Duration done{}; done < time; done += step) {
            fleet_.pass(step);
            cr_assert(holds(), "%s, after %lld ms", what,
                      static_cast<long long>(toMilliseconds(done)));
        }
    }

    [[nodiscard]] std::size_t holders()
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            result += fleet_.node(i).lease_->isHeld() ? 1 : 0;
        return result;
    }

    NodeFleet fleet_;
};

} // namespace

Test(restored_store, endpoint_that_said_it_leaves_gets_nothing_new_though_the_copy_has_it_ready)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.drain("e0");
    bench.fleet_.pass(seconds(2));
    cr_assert(bench.isUnused("e0"));
    bench.fleet_.platform_.restore(backup);
    bench.pass(
        writtenAgain, [&] { return bench.isUnused("e0"); }, "leaving is forgotten");
    bench.fleet_.drain("e0");
    bench.pass(
        seconds(6), [&] { return bench.isUnused("e0"); }, "leaving is forgotten later");
}

Test(restored_store, endpoint_that_had_ended_is_not_used_until_its_entry_in_the_copy_lapses)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.list("e0", "");
    bench.fleet_.pass(seconds(2));
    bench.fleet_.platform_.restore(backup);
    bench.pass(
        milliseconds(4000), [&] { return bench.isUnused("e0"); }, "the end is forgotten");
    bench.fleet_.list("e0", "");
    bench.pass(
        seconds(4), [&] { return bench.isUnused("e0"); }, "the end is forgotten later");
}

Test(restored_store, endpoint_that_the_copy_lacks_is_used_until_it_is_written_again)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.list("new", "d");
    bench.fleet_.pass(seconds(1));
    cr_assert(bench.isUsed("new"));
    bench.fleet_.platform_.restore(backup);
    bench.pass(
        writtenAgain, [&] { return bench.isUsed("new"); }, "a live endpoint is dropped");
    bench.fleet_.list("new", "d");
    bench.pass(
        seconds(6), [&] { return bench.isUsed("new"); }, "a live endpoint is dropped later");
}

Test(restored_store, endpoint_that_the_copy_lacks_and_nobody_writes_again_is_gone)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.list("dead", "d");
    bench.fleet_.pass(seconds(1));
    bench.fleet_.platform_.restore(backup);
    bench.fleet_.pass(milliseconds(3500));
    cr_assert(bench.isUnused("dead"));
}

/// The numbers of versions are below those that entry VMs have taken already.
Test(restored_store, changes_after_a_restore_are_known_as_soon_as_others)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    for (int i = 0; i < 40; ++i)
        bench.fleet_.list("e2", "d" + std::to_string(i));
    bench.fleet_.pass(seconds(2));
    bench.fleet_.platform_.restore(backup);
    bench.fleet_.pass(milliseconds(300));
    bench.fleet_.drain("e1");
    const auto leftAt = bench.fleet_.clock_.now();
    while (!bench.isUnused("e1") && bench.fleet_.clock_.now() - leftAt < seconds(10))
        bench.fleet_.pass(step);
    cr_assert_lt(bench.fleet_.clock_.now() - leftAt, seconds(2));
}

/// A configuration that was acknowledged and lost may have taken any key away. Until operators have
/// had the time to write it again, nothing that the store says confirms the present one.
Test(restored_store, configuration_is_neither_taken_back_nor_confirmed_by_the_copy)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.configure(2, {"new"});
    bench.fleet_.pass(seconds(2));
    bench.fleet_.platform_.restore(backup);
    const auto restoredAt = bench.fleet_.clock_.now();
    bench.pass(
        writtenAgain,
        [&] {
            for (std::size_t i = 0; i < bench.fleet_.size(); ++i) {
                auto &node = bench.fleet_.node(i);
                const auto age = node.clock_.now() - node.gateway_.confirmedAt();
                const bool isConfirmed = age < bench.fleet_.clock_.now() - restoredAt;
                if (node.honours("old") || node.configuration() != ConfigVersion(2) || isConfirmed)
                    return false;
            }
            return true;
        },
        "the configuration is taken back or confirmed");
    bench.fleet_.configure(2, {"new"});
    bench.fleet_.pass(seconds(2));
    for (std::size_t i = 0; i < bench.fleet_.size(); ++i)
        cr_assert(bench.fleet_.node(i).honours("new"), "node %zu", i);
}

/// A planner from before the copy and one after it must not both be obeyed: its lease ends, the
/// next one begins when it would have lapsed, and its epoch is above all that engines have seen.
Test(restored_store, lease_that_the_copy_lacks_ends_and_the_next_epoch_is_higher)
{
    for (const int age : {1, 3}) {
        RestoredFleet bench(7, 5 + static_cast<std::uint64_t>(age));
        auto *first = bench.fleet_.planner();
        cr_assert_not_null(first);
        const auto backup = bench.fleet_.platform_.backup();
        // The lease changes hands after the backup.
        first->clock_.setPaused(true);
        bench.fleet_.pass(seconds(5));
        first->clock_.setPaused(false);
        bench.fleet_.pass(seconds(age));
        auto *second = bench.fleet_.planner();
        cr_assert_not_null(second);
        cr_assert_neq(second, first);
        const auto before = second->lease_->epoch();
        bench.fleet_.platform_.restore(backup);
        bench.pass(
            seconds(8), [&] { return bench.holders() <= 1; }, "two planners");
        auto *third = bench.fleet_.planner();
        cr_assert_not_null(third);
        cr_assert_gt(third->lease_->epoch(), before);
    }
}

Test(restored_store, quarantine_that_the_copy_lacks_is_written_again)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    const auto request = *RequestFingerprint::parse("1954003e77ac2cbb");
    for (std::size_t i = 0; i < bench.fleet_.size(); ++i) {
        auto &node = bench.fleet_.node(i);
        node.gateway_.poisonPills().restore(request, node.clock_.now());
    }
    const platform::RowKey key{"quarantine", request.text()};
    bench.fleet_.pass(seconds(1));
    cr_assert_not_null(bench.fleet_.platform_.row(key));
    bench.fleet_.platform_.restore(backup);
    cr_assert_null(bench.fleet_.platform_.row(key));
    bench.fleet_.pass(seconds(8));
    cr_assert_not_null(bench.fleet_.platform_.row(key));
}

Test(restored_store, all_know_of_a_restore_within_a_second)
{
    for (const std::size_t entries : {7U, 40U, 195U}) {
        RestoredFleet bench(entries);
        const auto backup = bench.fleet_.platform_.backup();
        bench.fleet_.pass(seconds(3));
        bench.fleet_.platform_.restore(backup);
        bench.fleet_.list("e2", "other");
        const auto before = bench.fleet_.storeCalls();
        Duration known{};
        for (Duration done{}; done < seconds(1); done += step) {
            bench.fleet_.pass(step);
            bool areAllNew = true;
            for (std::size_t i = 0; i < entries; ++i)
                areAllNew = areAllNew && bench.fleet_.node(i).metrics_.storeRestores_.value() >= 1;
            if (areAllNew && known == Duration::zero())
                known = done + step;
        }
        std::printf("%zu entry VMs: a restore is known to all after %lld ms; %.1f calls of the "
                    "store by each in the first second\n",
                    entries, static_cast<long long>(toMilliseconds(known)),
                    static_cast<double>(bench.fleet_.storeCalls() - before)
                        / static_cast<double>(entries));
        cr_expect_gt(known.count(), 0, "%zu entry VMs", entries);
    }
}

/// One peer's digests name a version that the store has never had, on this timeline or on one that
/// is far ahead. It costs neither calls without end nor what is known.
Test(restored_store, absurd_version_of_a_peer_is_not_chased)
{
    for (const auto *absurd : {"1099511627000", "9007199254740000"}) {
        RestoredFleet bench;
        bench.fleet_.pass(seconds(2));
        auto before = bench.fleet_.storeCalls();
        bench.fleet_.pass(seconds(5));
        const auto usual = bench.fleet_.storeCalls() - before;
        std::string liar; // The first one that tells of the store.
        std::size_t lies = 0;
        bench.fleet_.spoils_ = [&, absurd](std::string &text) {
            const std::string mark = "\"endpoints\":";
            const auto from = text.find("\"from\":");
            if (from == std::string::npos || text.find("\"relay\"") == std::string::npos)
                return;
            const auto sender = text.substr(from, text.find(',', from) - from);
            if (liar.empty())
                liar = sender;
            if (liar != sender)
                return;
            ++lies;
            for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
                const auto begin = at + mark.size();
                text.replace(begin, text.find_first_not_of("0123456789", begin) - begin, absurd);
            }
        };
        before = bench.fleet_.storeCalls();
        bench.fleet_.pass(seconds(5));
        const auto spoiled = bench.fleet_.storeCalls() - before;
        std::printf("calls of seven entry VMs in 5 s: %zu, %zu with an absurd version of one\n",
                    usual, spoiled);
        // No process spins: five calls a second of each are far from a call for each digest.
        cr_expect_lt(spoiled, 5 * 5 * bench.fleet_.size(), "%s", absurd);
        cr_expect_gt(lies, 0);
        cr_expect(bench.isUsed("e0"), "%s", absurd);
        cr_expect_eq(bench.holders(), 1, "%s", absurd);
    }
}

/// Restores that come twice within a second, beside entry VMs that are cut off and see them late.
Test(restored_store, leavings_stand_through_restores_that_come_twice_and_are_seen_late)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RestoredFleet bench(7, seed);
        auto &random = bench.fleet_.random_;
        const auto backup = bench.fleet_.platform_.backup();
        bench.fleet_.pass(milliseconds(random.below(1500)));
        bench.fleet_.drain("e0");
        bench.fleet_.list("e1", "");
        bench.fleet_.pass(seconds(2));
        auto &late = bench.fleet_.node(random.below(bench.fleet_.size()));
        late.store_.isCutOff_ = true;
        bench.fleet_.pass(milliseconds(random.below(1000)));
        bench.fleet_.platform_.restore(backup);
        const auto isLeft = [&] { return bench.isUnused("e0") && bench.isUnused("e1"); };
        bench.pass(milliseconds(random.below(1000)), isLeft, "after the first restore");
        bench.fleet_.platform_.restore(backup);
        bench.pass(writtenAgain, isLeft, "after the second restore");
        bench.fleet_.drain("e0");
        bench.pass(seconds(1), isLeft, "written again");
        late.store_.isCutOff_ = false;
        bench.fleet_.list("e1", "");
        bench.pass(seconds(6), isLeft, "all reach the store");
        cr_assert_eq(bench.holders(), 1, "seed %llu", static_cast<unsigned long long>(seed));
    }
}
