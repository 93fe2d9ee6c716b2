// Tests PoisonPills for parts of prompts: what is quarantined, what clears it, and what entry VMs
// tell each other.
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/serving/poison_pills.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using Fingerprints = std::vector<RequestFingerprint>;

const TimePoint start{seconds(100)};

RequestFingerprint part(std::uint64_t id)
{
    return RequestFingerprint(id, FingerprintKind::PromptPart);
}

const auto popular = part(0xa);
const auto deadly = part(0xdead);
const auto companion = part(0xace);

EndpointIncarnation engine(int number)
{
    return {VmId("e-" + std::to_string(number)), 1};
}

/// A request of which no other has the content.
RequestFingerprint content(int number)
{
    return RequestFingerprint(1000 + static_cast<std::uint64_t>(number));
}

RequestAtCrash begun(const RequestFingerprint &fingerprint)
{
    return {fingerprint, false, true};
}

RequestAtCrash waiting(const RequestFingerprint &fingerprint)
{
    return {fingerprint, false, false};
}

/// The crash of endpoint \p number, which had just begun to answer a new request with \p parts.
EndpointCrash crashOf(int number, const Fingerprints &parts)
{
    EndpointCrash result{engine(number), {begun(content(number))}, {}};
    for (const auto &one : parts)
        result.parts_.push_back(begun(one));
    return result;
}

/// Crashes endpoints \p first to \p last, one every 300 ms, as they begin requests with \p parts.
/// \returns the time of the last crash.
TimePoint crash(PoisonPills &pills, int first, int last, TimePoint now, const Fingerprints &parts)
{
    for (int number = first; number <= last; ++number) {
        pills.endpointCrashed(crashOf(number, parts), now);
        if (number < last)
            now += milliseconds(300);
    }
    return now;
}

/// Advances to the end of the objection period.
/// \returns the time then.
TimePoint reviewed(PoisonPills &pills, TimePoint now)
{
    now += PoisonPills::objectionPeriodIfVouched;
    pills.review(now);
    return now;
}

bool isRefused(const PoisonPills &pills, const Fingerprints &request, TimePoint now)
{
    return pills.quarantinedFor(request, now).has_value();
}

/// Passes what \p from has to tell through a digest.
void tell(PoisonPills &from, PoisonPills &to, TimePoint now)
{
    LoadDigest digest;
    digest.from_ = EntryId("entry-1");
    digest.address_ = {"10.0.0.1", 7340};
    digest.poison_ = from.pendingUpdate(now);
    to.take(decodeLoadDigest(encode(digest))->poison_, now);
}

} // namespace

Test(poison_parts, part_of_different_requests_at_two_crashes_is_quarantined)
{
    PoisonPills pills;
    const auto last = crash(pills, 1, 2, start, {deadly});
    cr_assert(pills.awaitsVerdict(Fingerprints{content(9), deadly}));
    cr_assert_not(isRefused(pills, {content(9), deadly}, last));
    pills.review(last + PoisonPills::objectionPeriod);
    cr_assert(isRefused(pills, {content(9), deadly}, last + PoisonPills::objectionPeriod));
    cr_assert_not(isRefused(pills, {content(9), popular}, last + PoisonPills::objectionPeriod));
}

Test(poison_parts, three_crashes_are_needed_if_no_answer_had_begun)
{
    PoisonPills pills;
    auto now = start;
    for (int number = 1; number <= 3; ++number, now += milliseconds(300)) {
        cr_assert_not(pills.awaitsVerdict(Fingerprints{deadly}));
        pills.endpointCrashed({engine(number), {waiting(content(number))}, {waiting(deadly)}}, now);
    }
    cr_assert(isRefused(pills, {deadly}, reviewed(pills, now)));
}

Test(poison_parts, endpoints_that_fail_together_count_once)
{
    PoisonPills pills;
    for (int number = 1; number <= 9; ++number)
        pills.endpointCrashed({engine(number), {waiting(content(number))}, {waiting(popular)}},
                              start + milliseconds(number * 10));
    cr_assert_not(isRefused(pills, {popular}, reviewed(pills, start + milliseconds(90))));
    pills.answered(Fingerprints{popular}, start - seconds(9), start - seconds(8));
    for (int number = 11; number <= 19; ++number)
        pills.endpointCrashed(crashOf(number, {popular}), start + milliseconds(number * 10));
    cr_assert_not(isRefused(pills, {popular}, reviewed(pills, start + milliseconds(190))));
}

Test(poison_parts, part_is_not_judged_for_the_crashes_of_one_repeated_request)
{
    PoisonPills pills;
    auto now = start;
    for (int number = 1; number <= 2; ++number, now += milliseconds(300))
        pills.endpointCrashed({engine(number), {begun(content(7))}, {begun(companion)}}, now);
    now = reviewed(pills, now);
    cr_assert_not(isRefused(pills, {content(8), companion}, now));
    pills.endpointCrashed({engine(3), {begun(content(7))}, {begun(companion)}}, now);
    now = reviewed(pills, now);
    cr_assert(isRefused(pills, {content(7), companion}, now));
    cr_assert_not(isRefused(pills, {content(8), companion}, now));
}

Test(poison_parts, request_that_waited_beside_a_begun_one_is_not_judged_in_its_stead)
{
    PoisonPills pills;
    auto now = start;
    const RequestFingerprint victim(7);
    for (int number = 1; number <= 4; ++number, now += milliseconds(300)) {
        auto one = crashOf(number, {deadly});
        one.requests_.push_back(waiting(victim));
        pills.endpointCrashed(one, now);
    }
    cr_assert_not(pills.quarantinedFor(victim, now));
}

Test(poison_parts, verdict_on_a_part_lifts_those_on_requests_at_the_same_crashes)
{
    PoisonPills pills;
    auto now = start;
    const RequestFingerprint victim(7);
    for (int number = 1; number <= 3; ++number, now += milliseconds(300)) {
        EndpointCrash one{engine(number), {waiting(victim), waiting(content(number))}, {}};
        one.parts_ = {waiting(deadly)};
        pills.endpointCrashed(one, now);
    }
    pills.endpointCrashed({engine(4), {waiting(content(4))}, {waiting(deadly)}}, now);
    cr_assert(isRefused(pills, {victim}, now));
    now = reviewed(pills, now);
    cr_assert(isRefused(pills, {content(5), deadly}, now));
    cr_assert_not(isRefused(pills, {victim}, now));
}

Test(poison_parts, answer_clears_a_part_of_earlier_crashes_only)
{
    PoisonPills pills;
    const auto last = crash(pills, 1, 2, start, {deadly});
    const Fingerprints answeredPart{deadly};
    pills.answered(answeredPart, start + milliseconds(100), last + milliseconds(100));
    cr_assert_not(isRefused(pills, {deadly}, reviewed(pills, last)));
    cr_assert_eq(pills.suspects(), 3);
    pills.answered(answeredPart, last + milliseconds(100), last + milliseconds(700));
    cr_assert_not(pills.isSuspect(deadly));
}

Test(poison_parts, part_that_was_answered_before_needs_more_evidence)
{
    PoisonPills pills;
    pills.answered(Fingerprints{popular, deadly}, start - seconds(9), start - seconds(8));
    for (int i = 0; i < 9; ++i)
        pills.answered(Fingerprints{popular}, start - seconds(9), start - seconds(8));
    auto now = crash(pills, 1, 3, start, {popular, deadly});
    now = reviewed(pills, now);
    cr_assert_not(isRefused(pills, {popular, deadly}, now));
    cr_assert_not(pills.mainSuspect(Fingerprints{popular, deadly}));
    now = reviewed(pills, crash(pills, 4, 5, now, {popular, deadly}));
    cr_assert(isRefused(pills, {popular, deadly}, now));
    cr_assert_not(isRefused(pills, {popular}, now));
    cr_assert_leq(*pills.quarantinedFor(deadly, now), PoisonPills::firstQuarantineIfVouched);
}

Test(poison_parts, part_that_most_callers_share_is_not_judged_while_nothing_is_answered)
{
    PoisonPills pills;
    pills.answered(Fingerprints{popular}, start - seconds(9), start - seconds(8));
    const auto now = crash(pills, 1, 20, start, {popular});
    cr_assert_not(isRefused(pills, {popular}, reviewed(pills, now)));
}

Test(poison_parts, answers_at_a_peer_prevent_a_verdict)
{
    PoisonPills here;
    PoisonPills there;
    there.answered(Fingerprints{companion}, start - minutes(5), start - minutes(5));
    const auto last = crash(here, 1, 2, start, {companion});
    tell(here, there, last);
    tell(there, here, last + milliseconds(100));
    cr_assert_not(isRefused(here, {companion}, reviewed(here, last)));
    cr_assert_not(isRefused(there, {companion}, reviewed(there, last)));
}

Test(poison_parts, answers_at_a_peer_lift_a_verdict_reached_without_them)
{
    PoisonPills here;
    PoisonPills there;
    there.answered(Fingerprints{companion}, start - minutes(5), start - minutes(5));
    const auto now = reviewed(here, crash(here, 1, 2, start, {companion}));
    cr_assert(isRefused(here, {companion}, now));
    tell(here, there, now);
    cr_assert_not(isRefused(there, {companion}, now));
    tell(there, here, now);
    cr_assert_not(isRefused(here, {companion}, now));
}

Test(poison_parts, answer_that_began_after_the_crashes_is_told_to_peers)
{
    PoisonPills here;
    PoisonPills there;
    const auto last = crash(here, 1, 2, start, {companion});
    tell(here, there, last);
    const auto begunAt = last + milliseconds(400);
    there.answered(Fingerprints{companion}, begunAt, begunAt + milliseconds(500));
    tell(there, here, begunAt + milliseconds(550));
    cr_assert_not(here.isSuspect(companion));
}

Test(poison_parts, proven_verdict_is_adopted_by_a_peer_that_has_answered_the_part)
{
    PoisonPills here;
    PoisonPills there;
    for (auto *pills : {&here, &there}) {
        pills->answered(Fingerprints{popular, deadly}, start - seconds(9), start - seconds(8));
        for (int i = 0; i < 9; ++i)
            pills->answered(Fingerprints{popular}, start - seconds(9), start - seconds(8));
    }
    const auto now = reviewed(here, crash(here, 1, 5, start, {popular, deadly}));
    cr_assert(isRefused(here, {deadly}, now));
    tell(here, there, now + seconds(1));
    cr_assert(isRefused(there, {deadly}, now + seconds(1)));
}

Test(poison_parts, parts_that_were_always_together_are_refused_only_together)
{
    PoisonPills pills;
    auto now = reviewed(pills, crash(pills, 1, 3, start, {deadly, companion}));
    cr_assert(isRefused(pills, {deadly, companion}, now));
    cr_assert_not(isRefused(pills, {companion}, now));
    cr_assert_not(isRefused(pills, {deadly}, now));
    // Without the evidence, others would refuse each of them.
    cr_assert(pills.pendingUpdate(now).verdicts_.empty());
    cr_assert_not(pills.standsAlone(deadly));
    // An answer clears one of them, and the other one stands alone.
    pills.answered(Fingerprints{companion}, now, now + milliseconds(500));
    now += milliseconds(500);
    cr_assert_not(isRefused(pills, {companion}, now));
    cr_assert(isRefused(pills, {deadly}, now));
    cr_assert(pills.standsAlone(deadly));
}

Test(poison_parts, another_crash_tells_parts_apart_that_were_always_together)
{
    PoisonPills pills;
    auto now = reviewed(pills, crash(pills, 1, 3, start, {deadly, companion}));
    now = reviewed(pills, crash(pills, 4, 4, now, {deadly}));
    cr_assert(isRefused(pills, {deadly}, now));
    cr_assert_not(isRefused(pills, {companion}, now));
}

Test(poison_parts, two_deadly_parts_are_both_quarantined)
{
    PoisonPills pills;
    const auto other = part(0xbad);
    auto now = start;
    for (int number = 1; number <= 6; ++number, now += milliseconds(300))
        pills.endpointCrashed(crashOf(number, {number % 2 == 0 ? deadly : other}), now);
    now = reviewed(pills, now);
    cr_assert(isRefused(pills, {deadly}, now));
    cr_assert(isRefused(pills, {other}, now));
}

Test(poison_parts, retracted_crashes_lift_the_verdict_on_a_part)
{
    PoisonPills pills;
    const auto now = reviewed(pills, crash(pills, 1, 2, start, {deadly}));
    cr_assert(isRefused(pills, {deadly}, now));
    pills.retract(engine(1), now);
    cr_assert_not(isRefused(pills, {deadly}, now));
}

Test(poison_parts, operator_lifts_a_verdict_on_a_part)
{
    PoisonPills pills;
    const auto now = reviewed(pills, crash(pills, 1, 2, start, {deadly}));
    pills.lift(deadly, now);
    cr_assert_not(isRefused(pills, {deadly}, now));
}

Test(poison_parts, part_that_crashes_again_after_its_quarantine_is_refused_at_once)
{
    PoisonPills pills;
    auto now = reviewed(pills, crash(pills, 1, 2, start, {deadly}));
    now += PoisonPills::firstQuarantine;
    pills.expire(now);
    cr_assert_not(isRefused(pills, {deadly}, now));
    pills.endpointCrashed(crashOf(3, {deadly}), now);
    cr_assert_eq(*pills.quarantinedFor(deadly, now), 2 * PoisonPills::firstQuarantine);
}

Test(poison_parts, long_suspension_of_the_process_leaves_no_expired_verdict)
{
    PoisonPills pills;
    auto now = reviewed(pills, crash(pills, 1, 2, start, {deadly}));
    now += minutes(200);
    pills.expire(now);
    cr_assert_not(isRefused(pills, {deadly}, now));
    cr_assert_eq(pills.suspects(), 0);
    (void)crash(pills, 3, 3, now, {companion});
}

Test(poison_parts, flood_of_invented_parts_is_bounded_and_evicts_no_verdict)
{
    PoisonPills pills;
    auto now = reviewed(pills, crash(pills, 1, 2, start, {deadly}));
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        now += milliseconds(1);
        pills.endpointCrashed({engine(100), {}, {begun(part(0x100000 + i))}}, now);
        pills.answered(Fingerprints{part(0x900000 + i)}, now, now);
    }
    cr_assert_leq(pills.suspects(), 4096);
    cr_assert(isRefused(pills, {deadly}, now));
}

Test(poison_parts, digests_carry_all_news_of_parts)
{
    PoisonPills pills;
    pills.answered(Fingerprints{companion}, start - seconds(2), start - seconds(1));
    auto now = crash(pills, 1, 2, start, {deadly, companion});
    cr_assert_eq(pills.pendingUpdate(now).vouched_, Fingerprints{companion});
    pills.answered(Fingerprints{companion}, now + milliseconds(1), now + milliseconds(600));
    now += milliseconds(600);
    pills.review(now);
    LoadDigest digest;
    digest.from_ = EntryId("entry-1");
    digest.address_ = {"10.0.0.1", 7340};
    digest.poison_ = pills.pendingUpdate(now);
    cr_assert_eq(digest.poison_.answered_.size(), 1);
    cr_assert_eq(digest.poison_.verdicts_.size(), 1);
    digest.poison_.verdicts_.front().isProven_ = true;
    digest.poison_.vouched_ = {companion};
    cr_assert(decodeLoadDigest(encode(digest))->poison_ == digest.poison_);
}

Test(poison_parts, digest_of_the_release_before_is_read)
{
    const auto digest = decodeLoadDigest(
        R"({"jsonrpc":"2.0","method":"load","params":{"from":"a","poison":{"crashes":{"e-1@1":)"
        R"([["0000000000000007"],["0000000000000008"]]},"verdicts":{"0000000000000009":600000000},)"
        R"("cleared":[]}}})");
    cr_assert(digest);
    cr_assert_eq(digest->poison_.crashes_.size(), 1);
    PoisonPills pills;
    pills.take(digest->poison_, start);
    cr_assert(pills.isSuspect(RequestFingerprint(7)));
    cr_assert(pills.quarantinedFor(RequestFingerprint(9), start));
}

/// The release before reads exactly two lists for each crash, and skips texts that it cannot parse.
Test(poison_parts, crashes_in_digests_keep_the_form_of_the_release_before)
{
    PoisonPills pills;
    (void)crash(pills, 1, 1, start, {deadly});
    LoadDigest digest;
    digest.from_ = EntryId("entry-1");
    digest.poison_ = pills.pendingUpdate(start);
    cr_assert_neq(
        encode(digest).find(R"("crashes":{"e-1@1":[["part-dead","00000000000003e9"],[]]})"),
        std::string::npos);
}

Test(poison_parts, text_of_a_part_is_read_back)
{
    for (const auto &one : {deadly, part(0), part(~std::uint64_t{0})})
        cr_assert_eq(*RequestFingerprint::parse(one.text()), one);
    cr_assert_eq(deadly.text(), "part-dead");
    for (const auto *text : {"part-", "part-xyz", "part-1123456789abcdef0", "dead"})
        cr_assert_not(RequestFingerprint::parse(text), "%s", text);
}
