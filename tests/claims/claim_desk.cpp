#include <cardamombay/claims/claim_desk.hpp>

#include "claims/fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::claims;
using outcomes::Outcome;
using std::chrono::seconds;
using traffic::ClaimVerdict;

namespace {

struct Desks
{
    Fleet fleet_;
    ClaimDesk first_{fleet_.book(0)};
    ClaimDesk second_{fleet_.book(1)};

    traffic::ClaimAnswer claim(ClaimDesk &desk, const char *request, std::uint64_t bodyHash = 7)
    {
        traffic::ClaimAnswer answer;
        desk.claim(
            {TeamName("t"), IdempotencyKey("k"), ServiceName("s"), RequestId(request), bodyHash},
            [&](traffic::ClaimAnswer given) { answer = std::move(given); });
        fleet_.clock_.advance(seconds(1));
        return answer;
    }

    void complete(ClaimDesk &desk, const char *request, Outcome outcome,
                  traffic::StoredAnswer answer = {})
    {
        desk.complete(
            {TeamName("t"), IdempotencyKey("k"), RequestId(request), outcome, std::move(answer)});
        fleet_.clock_.advance(seconds(1));
    }
};

} // namespace

Test(claim_desk, answer_of_a_run_is_returned_elsewhere)
{
    Desks desks;
    cr_assert(desks.claim(desks.first_, "r1").verdict_ == ClaimVerdict::Granted);
    cr_assert(desks.claim(desks.second_, "r2").verdict_ == ClaimVerdict::Pending);
    desks.complete(desks.first_, "r1", Outcome::Ran, {201, "text/plain", "booked"});

    const auto answer = desks.claim(desks.second_, "r3");

    cr_assert(answer.verdict_ == ClaimVerdict::Finished);
    cr_assert_eq(answer.stored_.status_, 201);
    cr_assert_eq(answer.stored_.body_, "booked");
    cr_assert(desks.claim(desks.second_, "r4", 8).verdict_ == ClaimVerdict::Mismatch);
}

Test(claim_desk, unknown_outcome_keeps_the_key_taken)
{
    Desks desks;
    desks.claim(desks.first_, "r1");

    desks.complete(desks.first_, "r1", Outcome::Unknown);

    cr_assert(desks.claim(desks.first_, "r2").verdict_ == ClaimVerdict::Pending);
    cr_assert(desks.claim(desks.second_, "r3").verdict_ == ClaimVerdict::Pending);
}

Test(claim_desk, request_that_was_not_run_frees_its_key)
{
    Desks desks;
    desks.claim(desks.first_, "r1");

    desks.complete(desks.first_, "r1", Outcome::NotRun);

    cr_assert(desks.claim(desks.second_, "r2").verdict_ == ClaimVerdict::Granted);
}

Test(claim_desk, completion_of_a_request_without_a_claim_changes_nothing)
{
    Desks desks;
    desks.claim(desks.first_, "r1");
    desks.claim(desks.first_, "r2");

    desks.complete(desks.first_, "r2", Outcome::NotRun);

    cr_assert(desks.claim(desks.second_, "r3").verdict_ == ClaimVerdict::Pending);
}

Test(claim_desk, outage_is_unavailable_with_a_time_to_retry)
{
    Desks desks;
    desks.fleet_.faults().isDown_ = true;

    const auto answer = desks.claim(desks.first_, "r1");

    cr_assert(answer.verdict_ == ClaimVerdict::Unavailable);
    cr_assert(answer.retryAfter_ > Duration::zero());
}
