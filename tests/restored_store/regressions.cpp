// The platform's store is restored from a backup that is some seconds old: versions decrease and
// are reused, and writes acknowledged since the backup are lost. Runs complete control planes on a
// simulated clock.
//
// The cases guard against code that assumes that store versions only increase. They failed before
// versions carried their timeline; the failures were found by code review, not reported by callers.
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
/// Time after which operators, engines and the product have rewritten the lost rows.
constexpr Duration rewriteTime = milliseconds(1700);

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
            const auto *entry = fleet_.node(i).endpointRegistry_.find(VmId(endpoint));
            if (entry != nullptr && !entry->isDraining_)
                return false;
        }
        return true;
    }

    /// True if all entry VMs use the endpoint.
    [[nodiscard]] bool isUsed(const std::string &endpoint)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            const auto *entry = fleet_.node(i).endpointRegistry_.find(VmId(endpoint));
            if (entry == nullptr || entry->isDraining_)
                return false;
        }
        return true;
    }

    /// Advances the clock and checks \p holds after each step.
    template<typename Check>
    void pass(Duration time, Check holds, const char *what)
    {
        for (Duration done{}; done < time; done += step) {
            fleet_.pass(step);
            cr_assert(holds(), "%s, after %lld ms", what,
                      static_cast<long long>(toMilliseconds(done)));
        }
    }

    [[nodiscard]] std::size_t leaseHolders()
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < fleet_.size(); ++i)
            result += fleet_.node(i).lease_->isHeld() ? 1 : 0;
        return result;
    }

    NodeFleet fleet_;
};

} // namespace

Test(restored_store, draining_endpoint_stays_unused_though_the_backup_has_it_ready)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.drain("e0");
    bench.fleet_.pass(seconds(2));
    cr_assert(bench.isUnused("e0"));
    bench.fleet_.platform_.restore(backup);
    bench.pass(
        rewriteTime, [&] { return bench.isUnused("e0"); }, "a draining endpoint is used again");
    bench.fleet_.drain("e0");
    bench.pass(
        seconds(6), [&] { return bench.isUnused("e0"); },
        "a draining endpoint is used again after its entry was rewritten");
}

Test(restored_store, removed_endpoint_stays_unused_until_its_entry_in_the_backup_expires)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.list("e0", "");
    bench.fleet_.pass(seconds(2));
    bench.fleet_.platform_.restore(backup);
    bench.pass(
        milliseconds(4000), [&] { return bench.isUnused("e0"); },
        "a removed endpoint is used again");
    bench.fleet_.list("e0", "");
    bench.pass(
        seconds(4), [&] { return bench.isUnused("e0"); },
        "a removed endpoint is used again after its entry was rewritten");
}

Test(restored_store, endpoint_missing_in_the_backup_is_used_until_it_is_rewritten)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.list("new", "d");
    bench.fleet_.pass(seconds(1));
    cr_assert(bench.isUsed("new"));
    bench.fleet_.platform_.restore(backup);
    bench.pass(
        rewriteTime, [&] { return bench.isUsed("new"); }, "a live endpoint is dropped");
    bench.fleet_.list("new", "d");
    bench.pass(
        seconds(6), [&] { return bench.isUsed("new"); },
        "a live endpoint is dropped after its entry was rewritten");
}

Test(restored_store, endpoint_missing_in_the_backup_and_never_rewritten_is_dropped)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.list("dead", "d");
    bench.fleet_.pass(seconds(1));
    bench.fleet_.platform_.restore(backup);
    bench.fleet_.pass(milliseconds(3500));
    cr_assert(bench.isUnused("dead"));
}

/// New version numbers are below those that entry VMs have already processed.
Test(restored_store, changes_after_a_restore_propagate_as_fast_as_others)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    for (int i = 0; i < 40; ++i)
        bench.fleet_.list("e2", "d" + std::to_string(i));
    bench.fleet_.pass(seconds(2));
    bench.fleet_.platform_.restore(backup);
    bench.fleet_.pass(milliseconds(300));
    bench.fleet_.drain("e1");
    const auto drainedAt = bench.fleet_.clock_.now();
    while (!bench.isUnused("e1") && bench.fleet_.clock_.now() - drainedAt < seconds(10))
        bench.fleet_.pass(step);
    cr_assert_lt(bench.fleet_.clock_.now() - drainedAt, seconds(2));
}

/// An acknowledged but lost configuration may have revoked any key. Until operators have had time
/// to rewrite it, no response of the store may confirm the present configuration.
Test(restored_store, configuration_is_neither_reverted_nor_confirmed_by_the_backup)
{
    RestoredFleet bench;
    const auto backup = bench.fleet_.platform_.backup();
    bench.fleet_.configure(2, {"new"});
    bench.fleet_.pass(seconds(2));
    bench.fleet_.platform_.restore(backup);
    const auto restoredAt = bench.fleet_.clock_.now();
    bench.pass(
        rewriteTime,
        [&] {
            for (std::size_t i = 0; i < bench.fleet_.size(); ++i) {
                auto &node = bench.fleet_.node(i);
                const auto age = node.clock_.now() - node.gateway_.confirmedAt();
                const bool isConfirmed = age < bench.fleet_.clock_.now() - restoredAt;
                if (node.acceptsKey("old") || node.configuration() != ConfigVersion(2)
                    || isConfirmed)
                    return false;
            }
            return true;
        },
        "the configuration is reverted or confirmed");
    bench.fleet_.configure(2, {"new"});
    bench.fleet_.pass(seconds(2));
    for (std::size_t i = 0; i < bench.fleet_.size(); ++i)
        cr_assert(bench.fleet_.node(i).acceptsKey("new"), "node %zu", i);
}

/// Engines must never obey a planner from before the restore and one from after it at the same
/// time: the old lease ends, the next one begins no earlier than the old one would have expired,
/// and its epoch is above all epochs that engines have seen.
Test(restored_store, lease_missing_in_the_backup_ends_and_the_next_epoch_is_higher)
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
            seconds(8), [&] { return bench.leaseHolders() <= 1; }, "two planners hold the lease");
        auto *third = bench.fleet_.planner();
        cr_assert_not_null(third);
        cr_assert_gt(third->lease_->epoch(), before);
    }
}

Test(restored_store, quarantine_missing_in_the_backup_is_rewritten)
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

Test(restored_store, restore_is_known_to_all_within_a_second)
{
    for (const std::size_t entries : {7U, 40U, 195U}) {
        RestoredFleet bench(entries);
        const auto backup = bench.fleet_.platform_.backup();
        bench.fleet_.pass(seconds(3));
        bench.fleet_.platform_.restore(backup);
        bench.fleet_.list("e2", "other");
        const auto before = bench.fleet_.storeCalls();
        Duration knownAfter{};
        for (Duration done{}; done < seconds(1); done += step) {
            bench.fleet_.pass(step);
            bool doAllKnow = true;
            for (std::size_t i = 0; i < entries; ++i)
                doAllKnow = doAllKnow && bench.fleet_.node(i).metrics_.storeRestores_.value() >= 1;
            if (doAllKnow && knownAfter == Duration::zero())
                knownAfter = done + step;
        }
        std::printf("%zu entry VMs: a restore is known to all after %lld ms; %.1f calls of the "
                    "store by each in the first second\n",
                    entries, static_cast<long long>(toMilliseconds(knownAfter)),
                    static_cast<double>(bench.fleet_.storeCalls() - before)
                        / static_cast<double>(entries));
        cr_expect_gt(knownAfter.count(), 0, "%zu entry VMs", entries);
    }
}

/// One peer's digests name a version that the store has never had, on this timeline or on a much
/// later one. This must cause neither endless store calls nor the loss of known state.
Test(restored_store, invalid_version_announced_by_a_peer_is_not_pursued)
{
    for (const auto *invalidVersion : {"1099511627000", "9007199254740000"}) {
        RestoredFleet bench;
        bench.fleet_.pass(seconds(2));
        auto before = bench.fleet_.storeCalls();
        bench.fleet_.pass(seconds(5));
        const auto usualCalls = bench.fleet_.storeCalls() - before;
        std::string faultySender; // The first sender of a digest with a store version.
        std::size_t alteredDigests = 0;
        bench.fleet_.corrupt_ = [&, invalidVersion](std::string &text) {
            const std::string mark = "\"endpoints\":";
            const auto from = text.find("\"from\":");
            if (from == std::string::npos || text.find("\"relay\"") == std::string::npos)
                return;
            const auto sender = text.substr(from, text.find(',', from) - from);
            if (faultySender.empty())
                faultySender = sender;
            if (faultySender != sender)
                return;
            ++alteredDigests;
            for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1)) {
                const auto begin = at + mark.size();
                text.replace(begin, text.find_first_not_of("0123456789", begin) - begin,
                             invalidVersion);
            }
        };
        before = bench.fleet_.storeCalls();
        bench.fleet_.pass(seconds(5));
        const auto callsWithInvalidVersion = bench.fleet_.storeCalls() - before;
        std::printf(
            "calls of seven entry VMs in 5 s: %zu, %zu with an invalid version from one peer\n",
            usualCalls, callsWithInvalidVersion);
        // At most five calls a second per entry VM, far fewer than one per digest.
        cr_expect_lt(callsWithInvalidVersion, 5 * 5 * bench.fleet_.size(), "%s", invalidVersion);
        cr_expect_gt(alteredDigests, 0);
        cr_expect(bench.isUsed("e0"), "%s", invalidVersion);
        cr_expect_eq(bench.leaseHolders(), 1, "%s", invalidVersion);
    }
}

/// Two restores within a second, while one entry VM cannot reach the store and sees them late.
Test(restored_store, draining_persists_through_two_restores_that_are_seen_late)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RestoredFleet bench(7, seed);
        auto &random = bench.fleet_.random_;
        const auto backup = bench.fleet_.platform_.backup();
        bench.fleet_.pass(milliseconds(random.below(1500)));
        bench.fleet_.drain("e0");
        bench.fleet_.list("e1", "");
        bench.fleet_.pass(seconds(2));
        auto &cutOffNode = bench.fleet_.node(random.below(bench.fleet_.size()));
        cutOffNode.store_.isCutOff_ = true;
        bench.fleet_.pass(milliseconds(random.below(1000)));
        bench.fleet_.platform_.restore(backup);
        const auto areUnused = [&] { return bench.isUnused("e0") && bench.isUnused("e1"); };
        bench.pass(milliseconds(random.below(1000)), areUnused, "after the first restore");
        bench.fleet_.platform_.restore(backup);
        bench.pass(rewriteTime, areUnused, "after the second restore");
        bench.fleet_.drain("e0");
        bench.pass(seconds(1), areUnused, "after the rows were rewritten");
        cutOffNode.store_.isCutOff_ = false;
        bench.fleet_.list("e1", "");
        bench.pass(seconds(6), areUnused, "after all entry VMs reach the store");
        cr_assert_eq(bench.leaseHolders(), 1, "seed %llu", static_cast<unsigned long long>(seed));
    }
}
