#include "support/run_ledger.hpp"

#include <criterion/criterion.h>

using namespace cardamombay::support;

namespace {

CallRecord completeCall(std::string mark)
{
    CallRecord call;
    call.callId_ = std::move(mark);
    call.status_ = 200;
    call.outcome_ = "ran";
    call.isWhole_ = true;
    call.hasEnd_ = true;
    call.text_ = " a b c";
    call.expected_ = " a b c";
    return call;
}

RunRecord run(std::string mark, std::string attempt = "r.1", std::string key = "")
{
    return {"vm-1", std::move(attempt), std::move(mark), std::move(key)};
}

bool findsOnly(ViolationKind kind, std::vector<RunRecord> runs, std::vector<CallRecord> calls)
{
    const auto violations = compareLedgers(runs, calls);
    return violations.size() == 1 && violations[0].kind_ == kind;
}

} // namespace

Test(ledger_comparison, complete_matching_responses_give_no_violation)
{
    const std::vector<RunRecord> runs{run("c-1"), run("c-1", "r.2"), run("c-2")};
    const std::vector<CallRecord> calls{completeCall("c-1"), completeCall("c-2")};

    cr_assert(compareLedgers(runs, calls).empty());
}

Test(ledger_comparison, second_run_of_a_non_idempotent_call_is_found)
{
    auto call = completeCall("c-1");
    call.isNonIdempotent_ = true;

    cr_assert(findsOnly(ViolationKind::Doubled, {run("c-1"), run("c-1", "r.2")}, {call}));
}

Test(ledger_comparison, second_run_under_one_key_is_found_although_two_calls_made_it)
{
    auto first = completeCall("c-1");
    auto second = completeCall("c-2");
    for (auto *call : {&first, &second}) {
        call->isNonIdempotent_ = true;
        call->idempotencyKey_ = "k";
    }

    cr_assert(findsOnly(ViolationKind::Doubled, {run("c-1", "r.1", "k"), run("c-2", "r.2", "k")},
                        {first, second}));
    cr_assert(
        compareLedgers(std::vector{run("c-1", "r.1", "k")}, std::vector{first, second}).empty());
}

Test(ledger_comparison, run_of_a_call_told_not_run_is_found)
{
    CallRecord call;
    call.callId_ = "c-1";
    call.status_ = 503;
    call.isWhole_ = true;
    call.outcome_ = "not-run";

    cr_assert(findsOnly(ViolationKind::RanAnyway, {run("c-1")}, {call}));
    cr_assert(compareLedgers({}, std::vector{call}).empty());
}

Test(ledger_comparison, success_without_end_or_with_less_text_is_found)
{
    auto withoutEnd = completeCall("c-1");
    withoutEnd.hasEnd_ = false;
    auto shorter = completeCall("c-1");
    shorter.text_ = " a b";

    cr_assert(findsOnly(ViolationKind::Truncated, {run("c-1")}, {withoutEnd}));
    cr_assert(findsOnly(ViolationKind::Truncated, {run("c-1")}, {shorter}));
}

Test(ledger_comparison, visibly_incomplete_stream_is_no_violation)
{
    auto cut = completeCall("c-1");
    cut.isWhole_ = false;
    cut.hasEnd_ = false;
    auto failed = completeCall("c-2");
    failed.hasEnd_ = false;
    failed.hasErrorEvent_ = true;

    cr_assert(
        compareLedgers(std::vector{run("c-1"), run("c-2")}, std::vector{cut, failed}).empty());
}

Test(ledger_comparison, answer_of_another_call_is_found)
{
    auto call = completeCall("c-1");
    call.text_ = " x y z";

    cr_assert(findsOnly(ViolationKind::Crossed, {run("c-1")}, {call}));
}

Test(ledger_comparison, success_that_no_endpoint_ran_is_found)
{
    cr_assert(findsOnly(ViolationKind::Unrecorded, {}, {completeCall("c-1")}));
}

Test(ledger_comparison, error_without_outcome_is_found)
{
    CallRecord call;
    call.callId_ = "c-1";
    call.status_ = 502;
    call.isWhole_ = true;

    cr_assert(findsOnly(ViolationKind::NoOutcome, {}, {call}));
}
