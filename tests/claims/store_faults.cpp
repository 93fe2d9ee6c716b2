// Store outages, delays and lost messages at each step of a claim.
#include "claims/fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(claim_faults, claim_whose_answer_was_lost_is_granted_once)
{
    Fleet fleet;
    fleet.faults().loseNextAnswers_ = 1;

    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(milliseconds(20));
    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(holds<Granted>(first));
    cr_assert(holds<InProgress>(second));
}

Test(claim_faults, claim_whose_request_was_lost_is_granted_by_the_retry)
{
    Fleet fleet;
    fleet.faults().losesRequests_ = true;
    const auto answer = fleet.claim(0, "booking-1");
    fleet.clock_.advance(milliseconds(50));
    fleet.faults().losesRequests_ = false;

    fleet.clock_.advance(seconds(1));

    cr_assert(holds<Granted>(answer));
    cr_assert_eq(fleet.platform_.commits_, 1);
}

Test(claim_faults, other_claim_after_a_lost_request_is_not_mistaken_for_own)
{
    Fleet fleet;
    fleet.faults().losesRequests_ = true;
    const auto first = fleet.claim(0, "booking-1");
    const auto alongside = fleet.claim(0, "booking-2");
    fleet.clock_.advance(milliseconds(8));
    fleet.faults().losesRequests_ = false;
    const auto second = fleet.claim(1, "booking-1");

    fleet.clock_.advance(seconds(1));

    cr_assert(holds<Granted>(second));
    cr_assert(holds<InProgress>(first));
    cr_assert(holds<Granted>(alongside));
}

Test(claim_faults, outage_refuses_at_once_and_leaves_nothing)
{
    Fleet fleet;
    fleet.faults().isDown_ = true;

    const auto answer = fleet.claim(0, "booking-1");
    fleet.clock_.advance(milliseconds(50));

    cr_assert(isRefused(answer));
    cr_assert_eq(fleet.registry(0).openClaims(), 0);
    fleet.faults().isDown_ = false;
    const auto again = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));
    cr_assert(holds<Granted>(again));
}

Test(claim_faults, claim_written_before_an_outage_but_never_used_is_released_after_it)
{
    Fleet fleet;
    fleet.faults().loseNextAnswers_ = 1;
    const auto answer = fleet.claim(0, "booking-1");
    fleet.clock_.advance(milliseconds(9));
    fleet.faults().isDown_ = true;
    fleet.clock_.advance(seconds(30));
    cr_assert(isRefused(answer));
    cr_assert_eq(fleet.platform_.rows().size(), 1);

    fleet.faults().isDown_ = false;
    fleet.clock_.advance(seconds(10));

    cr_assert(fleet.platform_.rows().empty());
    const auto again = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));
    cr_assert(holds<Granted>(again));
}

Test(claim_faults, unused_claim_is_not_run_again_before_it_is_released)
{
    Fleet fleet;
    fleet.faults().loseNextAnswers_ = 1;
    fleet.claim(0, "booking-1");
    fleet.clock_.advance(milliseconds(9));
    fleet.faults().isDown_ = true;
    fleet.clock_.advance(seconds(4));
    fleet.faults().isDown_ = false;

    const auto elsewhere = fleet.claim(1, "booking-1");
    fleet.clock_.advance(milliseconds(100));

    cr_assert(holds<InProgress>(elsewhere));
}

Test(claim_faults, slow_store_refuses_in_time_and_frees_the_key)
{
    Fleet fleet;
    fleet.faults().latency_ = seconds(3);
    const auto answer = fleet.claim(0, "booking-1");

    fleet.clock_.advance(milliseconds(2100));
    cr_assert(isRefused(answer));

    fleet.clock_.advance(seconds(10));
    cr_assert(fleet.platform_.rows().empty());
    cr_assert_eq(fleet.registry(0).openClaims(), 0);
}

Test(claim_faults, outcome_is_written_once_an_outage_is_over)
{
    Fleet fleet;
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    fleet.faults().isDown_ = true;
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith("{}"));
    const auto local = fleet.claim(0, "booking-1");
    const auto remote = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(60));
    cr_assert(holds<Duplicate>(local));
    cr_assert(isRefused(remote));

    fleet.faults().isDown_ = false;
    fleet.clock_.advance(seconds(3));
    const auto later = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(contentOf<Duplicate>(later).stored_ == ranWith("{}"));
}

Test(claim_faults, lost_answer_to_an_outcome_leaves_it_stored)
{
    Fleet fleet;
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    fleet.faults().loseNextAnswers_ = 1;
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith("{}"));
    fleet.clock_.advance(milliseconds(9));
    fleet.faults().isDown_ = true;
    fleet.clock_.advance(seconds(30));
    fleet.faults().isDown_ = false;
    fleet.clock_.advance(seconds(3));

    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(contentOf<Duplicate>(second).stored_ == ranWith("{}"));
    cr_assert_eq(fleet.registry(0).openClaims(), 0);
}

Test(claim_faults, lost_object_keeps_the_outcome_without_the_answer)
{
    Fleet fleet;
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    fleet.faults().isDown_ = true;
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith(std::string(5000, 'x')));
    fleet.clock_.advance(seconds(3));
    fleet.faults().isDown_ = false;
    fleet.clock_.advance(seconds(3));

    const auto second = fleet.claim(1, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(contentOf<Duplicate>(second).stored_
              == StoredOutcome::withoutAnswer(outcomes::Outcome::Ran));
}

Test(claim_faults, outcome_that_cannot_be_written_leaves_the_claim_unknown)
{
    ClaimPolicy policy;
    policy.maxRetries_ = 3;
    Fleet fleet(2, policy);
    const auto first = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));
    fleet.faults().isDown_ = true;
    fleet.registry(0).complete(contentOf<Granted>(first).claim_, ranWith("{}"));
    fleet.clock_.advance(seconds(60));
    cr_assert_eq(fleet.registry(0).counts().dropped_, 1);
    cr_assert_eq(fleet.registry(0).openClaims(), 0);
    fleet.faults().isDown_ = false;

    const auto second = fleet.claim(0, "booking-1");
    fleet.clock_.advance(seconds(1));

    cr_assert(holds<OutcomeUnknown>(second));
}
