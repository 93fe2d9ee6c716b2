// Tests which rate limit of an endpoint is in force, whoever received it and in whatever order.
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{seconds(100)};
const EndpointIncarnation engine{VmId("e-1"), 7};

std::vector<LimitUpdate> allUpdatesOf(EndpointLimits &limits, TimePoint now)
{
    return limits.updates(now, [](const EndpointIncarnation & /*endpoint*/) { return true; });
}

std::vector<LimitUpdate> recentUpdatesOf(EndpointLimits &limits, TimePoint now)
{
    return limits.updates(now, [](const EndpointIncarnation & /*endpoint*/) { return false; });
}

} // namespace

Test(endpoint_limits_known, newest_word_of_the_endpoint_is_in_force)
{
    EndpointLimits limits;
    cr_assert_not(limits.find(engine));
    limits.recordLimit(engine, 20, start);
    limits.recordLimit(engine, 2, start + seconds(1));
    cr_assert_eq(limits.find(engine)->perSecond_, 2);
    cr_assert_eq(limits.find(engine)->since_, start);
}

Test(endpoint_limits_known, limit_ends_with_an_answer_to_a_request_that_was_sent_after_it_was_named)
{
    EndpointLimits limits;
    limits.recordLimit(engine, 2, start);
    limits.recordNoLimit(engine, start - milliseconds(1), start + milliseconds(10));
    cr_assert(limits.find(engine));
    limits.recordNoLimit(engine, start + milliseconds(1), start + milliseconds(50));
    cr_assert_not(limits.find(engine));
}

Test(endpoint_limits_known, unreadable_limit_leaves_the_earlier_one_in_force)
{
    EndpointLimits limits;
    limits.recordUnreadable(engine);
    cr_assert_not(limits.find(engine));
    limits.recordLimit(engine, 2, start);
    limits.recordUnreadable(engine);
    cr_assert_eq(limits.find(engine)->perSecond_, 2);
}

Test(endpoint_limits_known, an_endpoint_that_starts_again_has_no_limit)
{
    EndpointLimits limits;
    limits.recordLimit(engine, 2, start);
    cr_assert_not(limits.find({engine.id_, engine.startedAt_ + 1}));
}

Test(endpoint_limits_known, peers_learn_limits_and_their_ends)
{
    EndpointLimits here;
    EndpointLimits peer;
    here.recordLimit(engine, 2, start);
    peer.take(recentUpdatesOf(here, start), start + milliseconds(3));
    cr_assert_eq(peer.find(engine)->perSecond_, 2);
    cr_assert_eq(peer.find(engine)->source_, LimitSource::Peer);
    here.recordNoLimit(engine, start + seconds(1), start + seconds(1));
    peer.take(recentUpdatesOf(here, start + seconds(1)), start + seconds(1));
    cr_assert_not(peer.find(engine));
}

Test(endpoint_limits_known, older_words_of_peers_change_nothing)
{
    EndpointLimits limits;
    limits.recordLimit(engine, 2, start);
    limits.take({{engine, 20, seconds(2)}}, start + seconds(1));
    limits.take({{engine, std::nullopt, seconds(2)}}, start + seconds(1));
    cr_assert_eq(limits.find(engine)->perSecond_, 2);
    limits.recordNoLimit(engine, start + seconds(2), start + seconds(2));
    limits.take({{engine, 2, seconds(1)}}, start + seconds(2) + milliseconds(500));
    cr_assert_not(limits.find(engine));
}

Test(endpoint_limits_known, own_word_that_comes_back_through_peers_does_not_grow_younger)
{
    EndpointLimits limits;
    limits.recordLimit(engine, 2, start);
    for (int i = 1; i <= 100; ++i) {
        const auto now = start + i * milliseconds(300);
        limits.take(allUpdatesOf(limits, now), now + milliseconds(20));
    }
    cr_assert_eq(limits.find(engine)->statedAt_, start);
    limits.expire(start + seconds(31));
    cr_assert_not(limits.find(engine));
}

Test(endpoint_limits_known, digests_stay_small_and_tell_of_all_endpoints_in_turn)
{
    EndpointLimits limits;
    for (int i = 0; i < 100; ++i)
        limits.recordLimit({VmId("e-" + std::to_string(i)), 1}, 2, start);
    EndpointLimits peer;
    for (int i = 0; i < 5; ++i) {
        const auto updates = recentUpdatesOf(limits, start);
        cr_assert_leq(updates.size(), 24);
        peer.take(updates, start);
    }
    for (int i = 0; i < 100; ++i)
        cr_assert(peer.find({VmId("e-" + std::to_string(i)), 1}));
}

Test(endpoint_limits_known, sums_hold_the_youngest_word_of_their_members)
{
    DigestHub hub({EntryId("r"), {"10.0.0.1", 7340}, AvailabilityZone("a"), 1}, Incarnation(1));
    LoadDigest digest;
    digest.zone_ = AvailabilityZone("a");
    digest.from_ = EntryId("m");
    digest.limits_ = {{engine, 2, milliseconds(500)}};
    hub.take(digest, start);
    digest.from_ = EntryId("n");
    digest.limits_ = {{engine, 3, milliseconds(100)}};
    hub.take(digest, start);
    const auto sum = hub.zoneSummary(start + milliseconds(50)).sum_;
    cr_assert_eq(sum.limits_.size(), 1);
    cr_assert_eq(sum.limits_[0], (LimitUpdate{engine, 3, milliseconds(150)}));
}

Test(endpoint_limits_known, digests_carry_limits_and_leave_out_what_cannot_be_read)
{
    LoadDigest digest;
    digest.from_ = EntryId("m");
    digest.limits_ = {{engine, 1.9, milliseconds(500)}, {engine, std::nullopt, milliseconds(100)}};
    auto text = encode(digest);
    cr_assert_eq(decodeLoadDigest(text)->limits_, digest.limits_);
    text.replace(text.find("1.9"), 5, "\"x\" ");
    const auto read = decodeLoadDigest(text);
    cr_assert(!read || read->limits_.size() <= 1);
}
