// Upper bounds for the age of stamped messages, independent of clock offsets and queueing.
#include <cardamombay/core/random.hpp>
#include <cardamombay/serving/peer_clocks.hpp>

#include <algorithm>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EntryId peer("peer");
const Incarnation life(7);
const TimePoint start{seconds(1000)};
/// Offset of the peer's clock: its machine booted later.
constexpr Duration clockOffset = seconds(900);

ClockStamp stampAt(TimePoint now, Incarnation since = life)
{
    return {since, readingOf(now) - clockOffset};
}

/// Exchanges a question that takes \p there to reach the peer and an answer that takes \p back.
void exchange(PeerClocks &clocks, TimePoint asked, Duration there, Duration back)
{
    cr_assert(clocks.isQuestionDue(peer, life, asked));
    clocks.take({peer, stampAt(asked + there), readingOf(asked)}, asked + there + back);
}

} // namespace

Test(peer_clocks, message_that_waited_in_a_queue_is_old_when_it_is_read)
{
    PeerClocks clocks;
    cr_assert_not(clocks.maxAge(peer, stampAt(start), start));
    exchange(clocks, start, milliseconds(2), milliseconds(2));
    const auto now = start + seconds(1);
    const auto age = clocks.maxAge(peer, stampAt(now - milliseconds(800)), now);
    cr_assert(age);
    cr_assert_geq(age->count(), Duration(milliseconds(800)).count());
    cr_assert_leq(age->count(), Duration(milliseconds(803)).count());
}

Test(peer_clocks, age_is_never_taken_for_less_than_it_is)
{
    Random random(11);
    for (int round = 0; round < 200; ++round) {
        PeerClocks clocks;
        auto now = start;
        for (int i = 0; i < 20; ++i) {
            now += seconds(1) + milliseconds(random.below(300));
            exchange(clocks, now, microseconds(random.below(900'000)),
                     microseconds(random.below(900'000)));
            now += seconds(2);
            const Duration real = microseconds(random.below(3'000'000));
            const auto age = clocks.maxAge(peer, stampAt(now - real), now);
            cr_assert(age);
            cr_assert_geq(age->count(), real.count(), "round %d", round);
        }
    }
}

Test(peer_clocks, answer_that_waited_does_not_spoil_a_better_one)
{
    PeerClocks clocks;
    exchange(clocks, start, milliseconds(1), milliseconds(1));
    exchange(clocks, start + seconds(2), milliseconds(700), milliseconds(700));
    const auto now = start + seconds(4);
    const auto age = clocks.maxAge(peer, stampAt(now), now);
    cr_assert(age);
    cr_assert_leq(age->count(), Duration(milliseconds(3)).count());
}

Test(peer_clocks, clock_of_another_life_says_nothing)
{
    PeerClocks clocks;
    exchange(clocks, start, milliseconds(1), milliseconds(1));
    cr_assert_not(clocks.maxAge(peer, stampAt(start, Incarnation(8)), start));
    clocks.take({peer, stampAt(start, Incarnation(8)), readingOf(start)}, start);
    cr_assert_not(clocks.maxAge(peer, stampAt(start, Incarnation(8)), start));
    cr_assert(clocks.isQuestionDue(peer, Incarnation(8), start));
}

Test(peer_clocks, peer_is_asked_once_a_second_and_sooner_until_it_answers)
{
    PeerClocks clocks;
    cr_assert(clocks.isQuestionDue(peer, life, start));
    cr_assert_not(clocks.isQuestionDue(peer, life, start + milliseconds(100)));
    cr_assert(clocks.isQuestionDue(peer, life, start + milliseconds(300)));
    clocks.take({peer, stampAt(start + milliseconds(301)), readingOf(start + milliseconds(300))},
                start + milliseconds(302));
    cr_assert_not(clocks.isQuestionDue(peer, life, start + milliseconds(900)));
    cr_assert(clocks.isQuestionDue(peer, life, start + milliseconds(1400)));
}

Test(peer_clocks, messages_survive_the_wire_and_others_are_told_apart)
{
    const ClockQuestion question{"10.0.0.1:7340", milliseconds(12)};
    cr_assert(decodeClockQuestion(encode(question)) == question);
    const ClockAnswer answer{peer, {life, seconds(3)}, milliseconds(12)};
    cr_assert(decodeClockAnswer(encode(answer)) == answer);
    cr_assert_not(decodeClockAnswer(encode(question)));
    cr_assert_not(decodeClockQuestion(encode(answer)));
    for (const auto *text : {"", "{}", R"({"jsonrpc":"2.0","method":"clock-answer","params":7})",
                             R"({"jsonrpc":"2.0","method":"clock-answer","params":{"from":""}})"})
        cr_assert_not(decodeClockAnswer(text));
}
