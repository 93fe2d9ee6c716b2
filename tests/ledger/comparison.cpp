#include "support/run_ledger.hpp"

#include <criterion/criterion.h>

using namespace cardamombay::support;

namespace {

CallRecord toldWhole(std::string mark)
{
    CallRecord told;
    told.callId_ = std::move(mark);
    told.status_ = 200;
    told.outcome_ = "ran";
    told.isWhole_ = true;
    told.hasEnd_ = true;
    told.text_ = " a b c";
    told.expected_ = " a b c";
    return told;
}

RunRecord run(std::string mark, std::string attempt = "r.1", std::string key = "")
{
    return {"vm-1", std::move(attempt), std::move(mark), std::move(key)};
}

bool finds(LedgerFault fault, std::vector<RunRecord> runs, std::vector<CallRecord> told)
{
    const auto findings = compareLedgers(runs, told);
    return findings.size() == 1 && findings[0].fault_ == fault;
}

} // namespace

Test(ledger_comparison, whole_own_answers_give_no_finding)
{
    const std::vector<RunRecord> runs{run("c-1"), run("c-1", "r.2"), run("c-2")};
    const std::vector<CallRecord> told{toldWhole("c-1"), toldWhole("c-2")};

    cr_assert(compareLedgers(runs, told).empty());
}

Test(ledger_comparison, second_run_of_a_non_idempotent_call_is_found)
{
    auto told = toldWhole("c-1");
    told.isNonIdempotent_ = true;

    cr_assert(finds(LedgerFault::Doubled, {run("c-1"), run("c-1", "r.2")}, {told}));
}

Test(ledger_comparison, second_run_under_one_key_is_found_although_two_calls_made_it)
{
    auto first = toldWhole("c-1");
    auto second = toldWhole("c-2");
    for (auto *told : {&first, &second}) {
        told->isNonIdempotent_ = true;
        told->idempotencyKey_ = "k";
    }

    cr_assert(finds(LedgerFault::Doubled, {run("c-1", "r.1", "k"), run("c-2", "r.2", "k")},
                    {first, second}));
    cr_assert(
        compareLedgers(std::vector{run("c-1", "r.1", "k")}, std::vector{first, second}).empty());
}

Test(ledger_comparison, run_of_a_call_told_not_run_is_found)
{
    CallRecord told;
    told.callId_ = "c-1";
    told.status_ = 503;
    told.isWhole_ = true;
    told.outcome_ = "not-run";

    cr_assert(finds(LedgerFault::RanAnyway, {run("c-1")}, {told}));
    cr_assert(compareLedgers({}, std::vector{told}).empty());
}

Test(ledger_comparison, success_without_end_or_with_less_text_is_found)
{
    auto withoutEnd = toldWhole("c-1");
    withoutEnd.hasEnd_ = false;
    auto shorter = toldWhole("c-1");
    shorter.text_ = " a b";

    cr_assert(finds(LedgerFault::Truncated, {run("c-1")}, {withoutEnd}));
    cr_assert(finds(LedgerFault::Truncated, {run("c-1")}, {shorter}));
}

Test(ledger_comparison, stream_that_visibly_broke_is_no_finding)
{
    auto cut = toldWhole("c-1");
    cut.isWhole_ = false;
    cut.hasEnd_ = false;
    auto failed = toldWhole("c-2");
    failed.hasEnd_ = false;
    failed.hasErrorEvent_ = true;

    cr_assert(
        compareLedgers(std::vector{run("c-1"), run("c-2")}, std::vector{cut, failed}).empty());
}

Test(ledger_comparison, answer_of_another_call_is_found)
{
    auto told = toldWhole("c-1");
    told.text_ = " x y z";

    cr_assert(finds(LedgerFault::Crossed, {run("c-1")}, {told}));
}

Test(ledger_comparison, success_that_no_endpoint_ran_is_found)
{
    cr_assert(finds(LedgerFault::Unrecorded, {}, {toldWhole("c-1")}));
}

Test(ledger_comparison, error_without_outcome_is_found)
{
    CallRecord told;
    told.callId_ = "c-1";
    told.status_ = 502;
    told.isWhole_ = true;

    cr_assert(finds(LedgerFault::NoOutcome, {}, {told}));
}
