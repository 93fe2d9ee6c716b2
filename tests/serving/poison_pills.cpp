// Tests PoisonPills: which requests are quarantined, for how long, and what entry VMs exchange.
#include <cardamombay/core/random.hpp>
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/poison_pills.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};
const RequestFingerprint pill(7);
const RequestFingerprint other(8);

EndpointIncarnation engine(int number, std::uint64_t bornAt = 1)
{
    return {VmId("e-" + std::to_string(number)), bornAt};
}

/// Crashes endpoints \p first to \p last during the poison pill.
void crash(PoisonPills &pills, int first, int last, TimePoint now, bool hadEvents = false)
{
    for (int number = first; number <= last; ++number)
        pills.endpointCrashed({engine(number), {{pill, hadEvents}}}, now);
}

PoisonUpdate newsOf(const EndpointCrash &crash)
{
    PoisonUpdate update;
    update.crashes_[crash.endpoint_] = crash.requests_;
    return update;
}

} // namespace

Test(poison_pills, third_crash_during_a_request_quarantines_it)
{
    PoisonPills pills;
    std::size_t verdicts = 0;
    pills.onVerdict([&](const PoisonVerdict &verdict) {
        cr_assert_eq(verdict.fingerprint_, pill);
        ++verdicts;
    });
    crash(pills, 1, 2, start);
    cr_assert(pills.isSuspect(pill));
    cr_assert_not(pills.quarantinedFor(pill, start));
    crash(pills, 3, 3, start);
    cr_assert_eq(*pills.quarantinedFor(pill, start), PoisonPills::firstQuarantine);
    crash(pills, 4, 9, start);
    cr_assert_eq(verdicts, 1);
}

Test(poison_pills, retracted_crash_lifts_the_quarantine_that_rests_on_it_here_and_at_peers)
{
    PoisonPills pills;
    PoisonPills peer;
    crash(pills, 1, 3, start);
    peer.take(pills.pendingUpdate(start), start);
    cr_assert(peer.quarantinedFor(pill, start));
    pills.retract(engine(2), start);
    cr_assert_not(pills.quarantinedFor(pill, start));
    const auto update = pills.pendingUpdate(start);
    cr_assert(update.verdicts_.empty());
    peer.take(update, start);
    cr_assert_not(peer.quarantinedFor(pill, start));
    // A report that was under way does not count again, another crash does.
    pills.take(newsOf({engine(2), {{pill, false}}}), start);
    cr_assert_not(pills.quarantinedFor(pill, start));
}

Test(poison_pills, crash_reported_by_several_entry_vms_counts_once)
{
    PoisonPills pills;
    crash(pills, 1, 1, start);
    for (int i = 0; i < 5; ++i)
        pills.take(newsOf({engine(1), {{pill, false}}}), start);
    cr_assert_not(pills.quarantinedFor(pill, start));
}

Test(poison_pills, restarted_endpoint_with_the_same_id_can_crash_again)
{
    PoisonPills pills;
    for (std::uint64_t bornAt = 1; bornAt <= 3; ++bornAt)
        pills.endpointCrashed({engine(1, bornAt), {{pill, false}}}, start);
    cr_assert(pills.quarantinedFor(pill, start));
}

Test(poison_pills, crash_during_an_answer_has_half_the_weight)
{
    PoisonPills pills;
    crash(pills, 1, 5, start, true);
    cr_assert_not(pills.quarantinedFor(pill, start));
    crash(pills, 6, 6, start, true);
    cr_assert(pills.quarantinedFor(pill, start));
}

Test(poison_pills, crash_that_a_peer_saw_before_the_answer_has_full_weight)
{
    PoisonPills pills;
    crash(pills, 1, 3, start, true);
    for (int number = 1; number <= 3; ++number)
        pills.take(newsOf({engine(number), {{pill, false}}}), start);
    cr_assert(pills.quarantinedFor(pill, start));
}

Test(poison_pills, request_served_in_between_is_not_a_poison_pill)
{
    PoisonPills pills;
    crash(pills, 1, 2, start);
    pills.served(pill, start);
    cr_assert_not(pills.isSuspect(pill));
    // Late reports of the earlier crashes no longer count.
    crash(pills, 1, 2, start);
    const auto later = start + seconds(20);
    crash(pills, 3, 4, later);
    cr_assert_not(pills.quarantinedFor(pill, later));
    crash(pills, 5, 5, later);
    cr_assert(pills.quarantinedFor(pill, later));
}

/// A rack with four endpoints fails while the same popular request is in flight at each of them.
Test(poison_pills, popular_request_is_not_quarantined_when_several_endpoints_crash_at_once)
{
    PoisonPills here;
    PoisonPills there;
    there.served(pill, start - seconds(5));
    crash(here, 1, 4, start);
    const auto update = here.pendingUpdate(start);
    there.take(update, start);
    here.take(there.pendingUpdate(start), start);
    cr_assert_not(here.quarantinedFor(pill, start));
    cr_assert_not(there.quarantinedFor(pill, start));
    // The request was served long ago by now, and only later crashes count.
    crash(there, 5, 7, start + seconds(30));
    cr_assert(there.quarantinedFor(pill, start + seconds(30)));
}

Test(poison_pills, peers_hear_that_a_request_was_served)
{
    PoisonPills here;
    PoisonPills there;
    crash(here, 1, 2, start);
    there.take(here.pendingUpdate(start), start);
    there.served(pill, start);
    here.take(there.pendingUpdate(start), start);
    crash(here, 3, 3, start);
    cr_assert_not(here.quarantinedFor(pill, start));
}

Test(poison_pills, crashes_are_announced_briefly_and_verdicts_while_active)
{
    PoisonPills pills;
    crash(pills, 1, 3, start);
    cr_assert_eq(pills.pendingUpdate(start + milliseconds(500)).crashes_.size(), 3);
    pills.expire(start + seconds(2));
    const auto later = pills.pendingUpdate(start + seconds(2));
    cr_assert(later.crashes_.empty());
    cr_assert_eq(later.verdicts_.size(), 1);
}

Test(poison_pills, all_verdicts_are_announced_in_turn)
{
    PoisonPills pills;
    for (std::uint64_t request = 1; request <= 11; ++request)
        pills.restore(RequestFingerprint(request), start);
    std::set<RequestFingerprint> announced;
    for (int i = 0; i < 3; ++i) {
        const auto update = pills.pendingUpdate(start);
        cr_assert_leq(update.verdicts_.size(), 4);
        for (const auto &verdict : update.verdicts_)
            announced.insert(verdict.fingerprint_);
    }
    cr_assert_eq(announced.size(), 11);
}

Test(poison_pills, crash_after_a_quarantine_leads_to_one_twice_as_long)
{
    PoisonPills pills;
    crash(pills, 1, 3, start);
    const auto over = start + PoisonPills::firstQuarantine;
    pills.expire(over);
    cr_assert_not(pills.quarantinedFor(pill, over));
    crash(pills, 4, 4, over);
    cr_assert_eq(*pills.quarantinedFor(pill, over), PoisonPills::firstQuarantine * 2);
}

Test(poison_pills, request_that_is_served_after_its_quarantine_is_forgotten)
{
    PoisonPills pills;
    crash(pills, 1, 3, start);
    const auto over = start + PoisonPills::firstQuarantine;
    pills.expire(over);
    pills.served(pill, over);
    crash(pills, 4, 5, over);
    cr_assert_not(pills.quarantinedFor(pill, over));
    pills.expire(over + minutes(30));
    cr_assert_eq(pills.suspects(), 0);
}

Test(poison_pills, entry_vms_do_not_extend_each_others_quarantine)
{
    PoisonPills here;
    PoisonPills there;
    crash(here, 1, 3, start);
    const Duration way = milliseconds(200);
    auto now = start;
    for (; now < start + PoisonPills::firstQuarantine + seconds(1); now += way) {
        const auto update = here.pendingUpdate(now);
        there.take(update, now + way);
        here.take(there.pendingUpdate(now), now + way);
        here.expire(now);
        there.expire(now);
    }
    cr_assert_not(here.quarantinedFor(pill, now));
    cr_assert_not(there.quarantinedFor(pill, now));
}

Test(poison_pills, lifted_quarantine_is_not_brought_back_by_a_peer_that_was_cut_off)
{
    PoisonPills here;
    PoisonPills cutOff;
    crash(here, 1, 3, start);
    cutOff.take(here.pendingUpdate(start), start);
    here.lift(pill, start);
    cr_assert_not(here.quarantinedFor(pill, start));
    here.take(cutOff.pendingUpdate(start + seconds(2)), start + seconds(2));
    cr_assert_not(here.quarantinedFor(pill, start + seconds(2)));
}

Test(poison_pills, flood_of_suspects_is_bounded_and_evicts_no_verdict)
{
    PoisonPills pills;
    crash(pills, 1, 3, start);
    for (std::uint64_t i = 0; i < 20'000; ++i)
        pills.endpointCrashed({engine(100), {{RequestFingerprint(1000 + i), false}}},
                              start + milliseconds(i));
    cr_assert_leq(pills.suspects(), 4096);
    cr_assert(pills.quarantinedFor(pill, start + seconds(20)));
}

Test(poison_pills, digest_and_sums_carry_the_news)
{
    PoisonPills pills;
    crash(pills, 1, 3, start);
    pills.endpointCrashed({engine(4), {{other, true}, {pill, false}}}, start);
    pills.served(other, start);
    LoadDigest digest;
    digest.from_ = EntryId("entry-1");
    digest.address_ = {"10.0.0.1", 7340};
    digest.poison_ = pills.pendingUpdate(start);
    cr_assert_eq(digest.poison_.crashes_.size(), 4);
    cr_assert_eq(digest.poison_.cleared_.size(), 1);
    const auto read = decodeLoadDigest(encode(digest));
    cr_assert(read->poison_ == digest.poison_);
    DigestHub hub({EntryId("entry-2"), {"10.0.0.2", 7340}, AvailabilityZone("a")}, Incarnation(1));
    hub.take(digest, start);
    digest.from_ = EntryId("entry-3");
    hub.take(digest, start);
    PoisonPills reader;
    reader.take(decodeLoadSummary(encode(hub.fleetSummary(start)))->sum_.poison_, start);
    cr_assert(reader.quarantinedFor(pill, start));
    cr_assert_not(reader.isSuspect(other));
}

Test(poison_pills, malformed_news_are_ignored)
{
    for (
        const auto *text :
        {R"("poison":7)", R"("poison":{"crashes":[1],"verdicts":3,"cleared":"x"})",
         R"("poison":{"crashes":{"e-1":[["zz",4],["0000000000000007"]],"e-2":7},"verdicts":{"x":1,"0000000000000009":-4},"cleared":[1,"00"]})"}) {
        const auto digest = decodeLoadDigest(
            R"({"jsonrpc":"2.0","method":"load","params":{"from":"a",)" + std::string(text) + "}}");
        cr_assert(digest);
        PoisonPills pills;
        pills.take(digest->poison_, start);
        cr_assert(pills.quarantined(start).empty());
    }
}

/// Five entry VMs exchange messages that are lost, delayed or duplicated, and restart at random. In
/// no order of events may fewer than three crashes lead to a quarantine.
Test(poison_pills,
     no_order_of_messages_losses_and_restarts_quarantines_for_fewer_than_three_crashes)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        std::vector<PoisonPills> fleet(5);
        std::vector<std::pair<TimePoint, PoisonUpdate>> onTheWay;
        std::map<RequestFingerprint, std::set<EndpointIncarnation>> ends;
        auto now = start;
        const auto check = [&] {
            for (const auto &one : fleet) {
                for (const auto &[request, endpoints] : one.quarantined(now))
                    cr_assert_geq(ends[request].size(), 3, "seed %llu",
                                  static_cast<unsigned long long>(seed));
            }
        };
        for (int step = 0; step < 400; ++step) {
            now += milliseconds(50);
            auto &one = fleet[random.below(fleet.size())];
            if (random.below(12) == 0) {
                const RequestFingerprint request(random.below(6));
                const auto life = engine(static_cast<int>(random.below(5)), random.below(3));
                ends[request].insert(life);
                one.endpointCrashed({life, {{request, random.below(4) == 0}}}, now);
            }
            if (random.below(60) == 0)
                one.served(RequestFingerprint(random.below(3)), now);
            if (random.below(80) == 0)
                one = PoisonPills();
            for (auto &sender : fleet) {
                sender.expire(now);
                if (random.below(3) > 0)
                    onTheWay.emplace_back(now + milliseconds(random.below(600)),
                                          sender.pendingUpdate(now));
            }
            std::erase_if(onTheWay, [&](const auto &message) {
                if (message.first > now)
                    return false;
                for (auto &receiver : fleet) {
                    if (random.below(3) > 0)
                        receiver.take(message.second, now);
                }
                return true;
            });
            check();
        }
    }
}
