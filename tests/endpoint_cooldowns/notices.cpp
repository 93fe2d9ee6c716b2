// Tests how endpoint notices are stored and exchanged between peers.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/digest_hub.hpp>
#include <cardamombay/serving/endpoint_notices.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EndpointIncarnation engine{VmId("e-1"), 7};
const TimePoint start = TimePoint{} + std::chrono::hours(1);

struct Fixture
{
    void refuse(std::optional<Duration> cooldown, TimePoint now)
    {
        AnswerNotices notices;
        notices.cooldown_ = cooldown;
        notices_.take({engine, now, true}, notices, now);
    }

    metrics::Registry registry_;
    GatewayMetrics metrics_{registry_};
    EndpointNotices notices_{metrics_};
};

} // namespace

Test(endpoint_notices, cooldown_ends_by_itself_and_is_told_for_a_while)
{
    Fixture fixture;
    fixture.refuse(seconds(3), start);
    cr_assert_eq(fixture.notices_.cooldown(engine, start)->until_, start + seconds(3));
    cr_assert_eq(fixture.notices_.updates(start + seconds(1)).at(0).left_, Duration(seconds(2)));
    cr_assert(fixture.notices_.updates(start + seconds(2)).empty());
    cr_assert_not(fixture.notices_.cooldown(engine, start + seconds(3)));
}

Test(endpoint_notices, longer_of_two_cooldowns_holds)
{
    Fixture fixture;
    fixture.refuse(seconds(30), start);
    fixture.refuse(seconds(1), start + seconds(1));
    cr_assert(fixture.notices_.cooldown(engine, start + seconds(29)));
    fixture.refuse(seconds(30), start + seconds(20));
    cr_assert(fixture.notices_.cooldown(engine, start + seconds(49)));
}

Test(endpoint_notices, unreadable_cooldown_changes_nothing_and_is_counted)
{
    Fixture fixture;
    fixture.refuse(seconds(3), start);
    AnswerNotices unreadable;
    unreadable.isCooldownUnreadable_ = true;
    fixture.notices_.take({engine, start, true}, unreadable, start + seconds(1));
    cr_assert_eq(fixture.notices_.cooldown(engine, start + seconds(1))->until_, start + seconds(3));
    cr_assert_eq(fixture.metrics_.unreadableCooldowns_.value(), 1);
}

Test(endpoint_notices, cooldown_of_zero_or_less_is_none)
{
    Fixture fixture;
    fixture.refuse(Duration::zero(), start);
    fixture.refuse(-seconds(1), start);
    cr_assert_not(fixture.notices_.cooldown(engine, start));
}

Test(endpoint_notices, what_peers_tell_bars_nothing)
{
    Fixture fixture;
    fixture.notices_.take({{engine, seconds(3)}}, start);
    cr_assert(fixture.notices_.isDeprioritized(engine, start + seconds(2)));
    cr_assert_not(fixture.notices_.cooldown(engine, start + seconds(2)));
    cr_assert(fixture.notices_.updates(start).empty());
    cr_assert_not(fixture.notices_.isDeprioritized(engine, start + seconds(3)));
}

Test(endpoint_notices, memory_of_them_is_bounded)
{
    Fixture fixture;
    for (std::uint64_t i = 0; i < 20000; ++i) {
        AnswerNotices notices;
        notices.cooldown_ = std::chrono::hours(2);
        notices.isLeaving_ = true;
        fixture.notices_.take({{VmId("e"), i}, start, true}, notices, start);
        fixture.notices_.take({{{VmId("p"), i}, seconds(3)}}, start);
    }
    cr_assert_leq(fixture.notices_.updates(start).size(), 24);
    cr_assert_not(fixture.notices_.isLeaving({VmId("e"), 19999}));
    fixture.notices_.expire(start + std::chrono::hours(1) + seconds(1));
    cr_assert_eq(fixture.metrics_.cooldownsInForce_.value(), 0);
}

Test(endpoint_notices, digests_and_sums_tell_of_cooldowns_and_age_them)
{
    LoadDigest digest;
    digest.from_ = EntryId("entry-1");
    digest.zone_ = AvailabilityZone("z");
    digest.cooldowns_ = {{engine, seconds(3)}};
    const auto read = decodeLoadDigest(encode(digest));
    cr_assert(read.has_value());
    cr_assert_eq(read->cooldowns_.size(), 1);
    cr_assert(read->cooldowns_[0] == digest.cooldowns_[0]);
    DigestHub hub({EntryId("self"), {}, AvailabilityZone("z"), 1}, Incarnation(1));
    hub.take(*read, start);
    const auto sum = hub.fleetSummary(start + milliseconds(200));
    cr_assert_eq(sum.sum_.cooldowns_.at(0).left_, Duration(milliseconds(2800)));
}

Test(endpoint_notices, of_two_peers_news_the_longer_cooldown_is_passed_on)
{
    std::vector<CooldownUpdate> all{{engine, seconds(1)}};
    mergeUpdates(all, {{engine, seconds(3)}}, seconds(1));
    mergeUpdates(all, {{engine, seconds(1)}}, seconds(2));
    cr_assert_eq(all.size(), 1);
    cr_assert_eq(all[0].left_, Duration(seconds(2)));
}
