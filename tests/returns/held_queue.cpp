// Guards the order of held requests and who gives way in a full queue. Both depend on the requests
// only, never on the order in which they are passed.
#include <cardamombay/core/random.hpp>
#include <cardamombay/overload/held_queue.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;

namespace {

const TimePoint start{std::chrono::seconds(100)};

HeldRequest held(Rank rank, int arrivedMs, const std::string &id)
{
    return {rank, false, false, start + milliseconds(arrivedMs), RequestId(id), 0.1};
}

HeldRequest returned(Rank rank, int arrivedMs, const std::string &id)
{
    auto request = held(rank, arrivedMs, id);
    request.hasReturned_ = true;
    return request;
}

HeldRequest mayHaveRun(HeldRequest request)
{
    request.mayHaveRun_ = true;
    return request;
}

std::vector<HeldRequest> randomQueue(std::size_t size, Random &random)
{
    std::vector<HeldRequest> queue;
    for (std::size_t i = 0; i < size; ++i) {
        auto request = held(static_cast<Rank>(random.below(4)), static_cast<int>(random.below(5)),
                            "r-" + std::to_string(i));
        request.hasReturned_ = random.below(2) == 0;
        request.mayHaveRun_ = random.below(8) == 0;
        request.work_ = random.unit();
        queue.push_back(request);
    }
    return queue;
}

void shuffle(std::vector<HeldRequest> &queue, Random &random)
{
    for (std::size_t i = queue.size(); i > 1; --i)
        std::swap(queue[i - 1], queue[random.below(i)]);
}

std::vector<HeldRequest> fullQueue(Rank rank)
{
    std::vector<HeldRequest> queue;
    for (std::size_t i = 0; i < maxHeldPerModel; ++i)
        queue.push_back(held(rank, static_cast<int>(i), "r-" + std::to_string(100 + i)));
    return queue;
}

} // namespace

// Guards against an order in which a less urgent or later request is sent first.
Test(held_queue, is_ordered_by_rank_then_returned_then_arrival_then_id)
{
    const std::vector<HeldRequest> order{returned(0, 9, "a"), held(0, 1, "b"),     held(0, 2, "c"),
                                         held(0, 2, "d"),     returned(1, 0, "e"), held(1, 0, "f")};

    for (std::size_t i = 0; i < order.size(); ++i) {
        for (std::size_t k = 0; k < order.size(); ++k)
            cr_assert(isServedBefore(order[i], order[k]) == (i < k), "%zu and %zu", i, k);
    }
}

// Guards against results that depend on the order of the input: the sorted queue, the work ahead of
// each request (to the last bit) and the displaced request.
Test(held_queue, results_do_not_depend_on_the_order_of_the_input)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random random(seed);
        const auto queue = randomQueue(maxHeldPerModel, random);
        const auto arrival = held(static_cast<Rank>(random.below(4)), 7, "arrival");
        auto sorted = queue;
        std::sort(sorted.begin(), sorted.end(), isServedBefore);
        const auto ahead = workAhead(queue, arrival);
        const auto displaced = displacedBy(queue, arrival);
        for (int round = 0; round < 20; ++round) {
            auto other = queue;
            shuffle(other, random);
            cr_assert(workAhead(other, arrival) == ahead, "seed %lu", seed);
            const auto again = displacedBy(other, arrival);
            cr_assert(again.has_value() == displaced.has_value(), "seed %lu", seed);
            if (again)
                cr_assert(other[*again].id_ == queue[*displaced].id_, "seed %lu", seed);
            std::sort(other.begin(), other.end(), isServedBefore);
            cr_assert(std::equal(other.begin(), other.end(), sorted.begin(),
                                 [](const auto &left, const auto &right) {
                                     return left.id_ == right.id_;
                                 }),
                      "seed %lu", seed);
        }
    }
}

// Guards against counting the request itself, later requests or invalid work.
Test(held_queue, work_ahead_counts_requests_that_are_served_before)
{
    auto broken = held(0, 0, "broken");
    broken.work_ = -3;
    const std::vector<HeldRequest> queue{held(1, 5, "a"), held(0, 8, "b"), held(1, 6, "c"),
                                         held(2, 0, "d"), broken};

    cr_assert_float_eq(workAhead(queue, queue[2]), 0.2, 1e-9);
    cr_assert_float_eq(workAhead(queue, queue[3]), 0.3, 1e-9);
}

// Guards against displacement while there is room.
Test(held_queue, nothing_is_displaced_below_the_limit)
{
    auto queue = fullQueue(3);
    queue.pop_back();

    cr_assert_not(displacedBy(queue, held(0, 99, "new")).has_value());
    cr_assert_not(isRefusedByFullQueue(queue, held(9, 99, "new")));
}

// Guards against refusing an urgent request while a less urgent one is held.
Test(held_queue, more_urgent_arrival_displaces_the_least_urgent_request)
{
    auto queue = fullQueue(2);
    queue[17] = held(5, 0, "least");

    const auto displaced = displacedBy(queue, held(1, 99, "new"));
    cr_assert(displaced == std::optional<std::size_t>(17));
    cr_assert_not(isRefusedByFullQueue(queue, held(1, 99, "new")));
}

// Guards against a newcomer of the same rank that takes the place of a request that waited longer.
Test(held_queue, later_arrival_of_the_same_rank_is_refused)
{
    const auto queue = fullQueue(2);

    cr_assert_not(displacedBy(queue, held(2, 999, "new")).has_value());
    cr_assert(isRefusedByFullQueue(queue, held(2, 999, "new")));
}

// Guards against refusing a returned caller, who will not come again, for a new one of its rank.
Test(held_queue, returned_arrival_displaces_a_new_request_of_its_rank)
{
    cr_assert(displacedBy(fullQueue(2), returned(2, 999, "new"))
              == std::optional<std::size_t>(maxHeldPerModel - 1));
}

// Guards against telling the caller of a request that may have run that it has not.
Test(held_queue, request_that_may_have_run_is_never_refused)
{
    auto queue = fullQueue(2);
    for (auto &request : queue)
        request = mayHaveRun(request);

    cr_assert_not(displacedBy(queue, held(0, 99, "new")).has_value());
    cr_assert(isRefusedByFullQueue(queue, held(0, 99, "new")));
    cr_assert_not(isRefusedByFullQueue(fullQueue(2), mayHaveRun(held(9, 999, "old"))));
}
