#include <cardamombay/membership/peer_link.hpp>
#include <cardamombay/membership/update_queue.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::membership;
using std::chrono::seconds;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

} // namespace

Test(peer_link, echo_bounds_the_age_by_sending_time_and_hold)
{
    PeerLink link;
    link.noteSent(7, start);

    const auto made = link.madeAfter(EchoEntry{7, seconds(2)}, start + seconds(30));

    cr_assert(made.has_value());
    cr_assert(*made == start + seconds(2));
}

Test(peer_link, hold_longer_than_possible_does_not_reach_into_the_future)
{
    PeerLink link;
    link.noteSent(7, start);

    const auto made = link.madeAfter(EchoEntry{7, seconds(90)}, start + seconds(30));

    cr_assert(made.has_value());
    cr_assert(*made == start + seconds(30));
}

Test(peer_link, echo_of_what_was_not_sent_or_was_sent_long_ago_bounds_nothing)
{
    PeerLink link;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence)
        link.noteSent(sequence, start);

    cr_assert_not(link.madeAfter(EchoEntry{}, start).has_value());
    cr_assert_not(link.madeAfter(EchoEntry{99, {}}, start).has_value());
    cr_assert_not(link.madeAfter(EchoEntry{1, {}}, start).has_value());
}

Test(update_queue, channels_count_apart_and_least_sent_goes_first)
{
    UpdateQueue queue;
    queue.add(EntryId("a"), start);
    cr_assert_eq(queue.take(Channel::Scope, 8, 2).size(), 1);
    queue.add(EntryId("b"), start);

    cr_assert(queue.take(Channel::Scope, 1, 2) == std::vector{EntryId("b")});
    cr_assert_eq(queue.take(Channel::Scope, 8, 2).size(), 2);
    cr_assert(queue.take(Channel::Scope, 8, 2).empty());
    cr_assert_eq(queue.take(Channel::Region, 8, 2).size(), 2);
}

Test(update_queue, old_changes_are_dropped)
{
    UpdateQueue queue;
    queue.add(EntryId("a"), start);
    queue.add(EntryId("b"), start + seconds(10));

    queue.dropBefore(start + seconds(5));

    cr_assert_eq(queue.size(), 1);
}
