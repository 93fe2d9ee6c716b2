#include "claims/fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(claim_registry, stored_outcome_is_returned_to_a_second_caller_at_another_entry)
{
    Fleet fleet;
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    cr_assert(holds<Granted>(first));
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith("{\"slot\":4}"));
    fleet.clock_.advance(seconds(1));

    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(holds<Duplicate>(second));
    cr_assert(contentOf<Duplicate>(second).stored_ == ranWith("{\"slot\":4}"));
    cr_assert_eq(fleet.registry(0).openClaims(), 0);
}

Test(claim_registry, long_answer_goes_through_the_object_store)
{
    Fleet fleet;
    const std::string body(5000, 'x');
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith(body));
    fleet.clock_.advance(seconds(1));
    cr_assert_lt(fleet.platform_.rows().begin()->second.value_.size(), 1000);

    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(contentOf<Duplicate>(second).stored_ == ranWith(body));
}

Test(claim_registry, second_caller_during_the_run_is_told_in_progress)
{
    Fleet fleet;
    fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));

    const auto same = fleet.claim(0, "booking-1");
    const auto other = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(holds<InProgress>(same));
    cr_assert(holds<InProgress>(other));
}

Test(claim_registry, claim_of_a_failed_entry_is_unknown_and_never_granted_again)
{
    Fleet fleet;
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    cr_assert(holds<Granted>(first));
    fleet.kill(0);

    fleet.clock_.advance(std::chrono::hours(1));
    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(holds<OutcomeUnknown>(second));
}

Test(claim_registry, key_used_for_another_request_is_a_mismatch)
{
    Fleet fleet;
    fleet.claim(0, "booking-1");
    const auto local = fleet.claim(0, "booking-1", "other body");
    fleet.clock_.advance(seconds(1));

    const auto remote = fleet.claim(1, "booking-1", "other body");
    fleet.clock_.advance(seconds(1));

    cr_assert(holds<KeyMismatch>(local));
    cr_assert(holds<KeyMismatch>(remote));
}

Test(claim_registry, teams_do_not_share_keys)
{
    cr_assert(rowKeyOf(TeamName("a"), IdempotencyKey("k"))
              != rowKeyOf(TeamName("b"), IdempotencyKey("k")));
}

Test(claim_registry, released_key_may_be_claimed_again)
{
    Fleet fleet;
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    bool isFree = false;
    fleet.registry(0).release(contentOf<Granted>(first).claim_, [&] { isFree = true; });
    const auto waiting = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(isFree);
    cr_assert(holds<Granted>(waiting));
    fleet.registry(0).release(contentOf<Granted>(waiting).claim_);
    fleet.clock_.advance(seconds(1));
    const auto elsewhere = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));
    cr_assert(holds<Granted>(elsewhere));
}

Test(claim_registry, concurrent_claims_at_two_entries_grant_one)
{
    Fleet fleet;

    const auto one = fleet.claim(0, "booking-1");
    const auto two = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert_eq(holds<Granted>(one) + holds<Granted>(two), 1);
    cr_assert_eq(holds<InProgress>(one) + holds<InProgress>(two), 1);
}

Test(claim_registry, conflicts_in_a_batch_do_not_delay_other_changes)
{
    Fleet fleet;
    std::vector<std::shared_ptr<Fleet::Answer>> taken;
    for (int i = 0; i < 3; ++i)
        taken.push_back(fleet.claim(0, "taken-" + std::to_string(i)));
    fleet.clock_.advance(seconds(1));

    std::vector<std::shared_ptr<Fleet::Answer>> fresh;
    for (int i = 0; i < 40; ++i)
        fresh.push_back(fleet.claim(1, "fresh-" + std::to_string(i)));
    for (int i = 0; i < 3; ++i)
        taken.push_back(fleet.claim(1, "taken-" + std::to_string(i)));
    fleet.clock_.advance(milliseconds(200));

    for (const auto &answer : fresh)
        cr_assert(holds<Granted>(answer));
    for (int i = 3; i < 6; ++i)
        cr_assert(holds<InProgress>(taken[i]));
    cr_assert_eq(fleet.registry(1).batchCounts().transactions_, 2);
}

Test(claim_registry, pause_between_claim_and_hand_over_forbids_the_hand_over)
{
    Fleet fleet;
    const auto answer = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    const auto granted = contentOf<Granted>(answer);
    cr_assert(granted.mayHandOver(fleet.clock_.now()));

    fleet.clock_.jump(seconds(60));

    cr_assert_not(granted.mayHandOver(fleet.clock_.now()));
}

Test(claim_registry, answer_over_the_size_limit_is_dropped_but_not_the_outcome)
{
    ClaimPolicy policy;
    policy.maxStoredBytes_ = 10;
    Fleet fleet(2, policy);
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith("longer than ten"));
    fleet.clock_.advance(seconds(1));

    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(contentOf<Duplicate>(second).stored_
              == StoredOutcome::withoutAnswer(outcomes::Outcome::Ran));
}
