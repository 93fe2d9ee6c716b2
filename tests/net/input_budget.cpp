// Which callers give way when their input exceeds the bound.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/net/input_budget.hpp>

#include <memory>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::net;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t bound = 1024 * kilobyte;
constexpr std::size_t small = 40 * kilobyte;

class Connection final : public InputHolder
{
public:
    explicit Connection(InputBudget &budget)
        : budget_(budget)
    {
        share_.holder_ = this;
        budget_.add(share_);
    }
    ~Connection() override { budget_.remove(share_); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void releaseInput() override { ++releases_; }
    bool set(InputUse use, std::size_t bytes) { return budget_.update(share_, use, bytes); }

    InputBudget &budget_;
    InputShare share_;
    int releases_ = 0;
};

struct Fixture
{
    Connection &add()
    {
        connections_.push_back(std::make_unique<Connection>(budget_));
        return *connections_.back();
    }

    Connection &add(InputUse use, std::size_t bytes)
    {
        auto &connection = add();
        cr_assert(connection.set(use, bytes));
        return connection;
    }

    ManualClock clock_;
    BoundedInputBudget budget_{clock_, bound};
    std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace

Test(input_budget, large_request_that_fell_silent_gives_way_to_one_that_goes_on)
{
    Fixture fixture;
    auto &silent = fixture.add(InputUse::Receiving, bound / 4);
    auto &active = fixture.add(InputUse::Receiving, bound / 4);
    fixture.clock_.advance(seconds(1));
    cr_assert(active.set(InputUse::Receiving, bound / 2));
    cr_assert_eq(silent.releases_, 0);
    cr_assert(active.set(InputUse::Receiving, bound * 5 / 8));
    cr_assert_eq(silent.releases_, 1);
    cr_assert_eq(active.releases_, 0);
    cr_assert_eq(fixture.budget_.bytes(), bound * 5 / 8);
}

Test(input_budget, transfers_that_go_on_are_not_cut_off_in_favour_of_later_ones)
{
    Fixture fixture;
    auto &first = fixture.add();
    auto &second = fixture.add();
    auto &third = fixture.add();
    bool isThirdRefused = false;
    for (std::size_t bytes = 16 * kilobyte; bytes <= bound * 3 / 8; bytes += 16 * kilobyte) {
        cr_assert(first.set(InputUse::Receiving, bytes));
        cr_assert(second.set(InputUse::Receiving, bytes));
        isThirdRefused
            = isThirdRefused || third.releases_ > 0 || !third.set(InputUse::Receiving, bytes / 2);
        fixture.clock_.advance(milliseconds(1));
    }
    cr_assert(isThirdRefused);
    cr_assert_eq(first.releases_ + second.releases_, 0);
}

Test(input_budget, large_request_that_trickles_gives_way)
{
    Fixture fixture;
    std::size_t held = bound / 2;
    auto &trickling = fixture.add(InputUse::Receiving, held);
    for (int i = 0; i < 10; ++i) {
        fixture.clock_.advance(milliseconds(100));
        cr_assert(trickling.set(InputUse::Receiving, ++held));
    }
    cr_assert(fixture.add().set(InputUse::Receiving, bound / 2));
    cr_assert_eq(trickling.releases_, 1);
}

Test(input_budget, complete_requests_are_never_released)
{
    Fixture fixture;
    auto &complete = fixture.add(InputUse::Answering, bound / 2);
    fixture.clock_.advance(seconds(10));
    cr_assert_not(fixture.add().set(InputUse::Receiving, bound / 2));
    cr_assert_eq(complete.releases_, 0);
}

Test(input_budget, small_requests_find_room_beside_large_complete_ones)
{
    Fixture fixture;
    while (fixture.add().set(InputUse::Receiving, bound / 8))
        cr_assert(fixture.connections_.back()->set(InputUse::Answering, bound / 8));
    cr_assert_eq(fixture.budget_.bytes(), bound / 4 * 3);
    cr_assert(fixture.add().set(InputUse::Receiving, small));
}

Test(input_budget, length_that_cannot_fit_beside_complete_requests_is_known)
{
    Fixture fixture;
    fixture.add(InputUse::Answering, bound / 2);
    fixture.add(InputUse::Receiving, bound / 8);
    const auto &share = fixture.add().share_;
    cr_assert(fixture.budget_.canHold(share, bound / 4));
    cr_assert_not(fixture.budget_.canHold(share, bound / 2));
    cr_assert_not(fixture.budget_.canHold(share, SIZE_MAX / 2));
}

Test(input_budget, connections_that_only_stay_open_make_room_for_requests)
{
    Fixture fixture;
    for (std::size_t i = 0; i < bound / small; ++i)
        fixture.add(i % 2 == 0 ? InputUse::Idle : InputUse::Receiving, small);
    cr_assert_not(fixture.add().set(InputUse::Receiving, small));
    fixture.clock_.advance(seconds(1));
    cr_assert(fixture.connections_[0]->set(InputUse::Receiving, small));
    cr_assert(fixture.add().set(InputUse::Receiving, small));
    cr_assert_eq(fixture.connections_[0]->releases_, 0);
}

Test(input_budget, connections_that_drop_their_input_are_released_first)
{
    Fixture fixture;
    fixture.add(InputUse::Idle, small);
    for (std::size_t i = 1; i < bound / small; ++i)
        fixture.add(i == 7 ? InputUse::Closing : InputUse::Answering, small);
    fixture.clock_.advance(seconds(1));
    cr_assert(fixture.connections_[7]->set(InputUse::Closing, small));
    cr_assert(fixture.add().set(InputUse::Receiving, small));
    cr_assert_eq(fixture.connections_[7]->releases_ + fixture.connections_[0]->releases_, 1);
}

Test(input_budget, nobody_is_released_for_a_connection_that_drops_its_input)
{
    Fixture fixture;
    auto &incomplete = fixture.add(InputUse::Receiving, bound / 4 * 3);
    fixture.clock_.advance(seconds(1));
    cr_assert(fixture.add().set(InputUse::Closing, bound / 4));
    cr_assert_not(fixture.add().set(InputUse::Closing, small));
    cr_assert_eq(incomplete.releases_, 0);
}

Test(input_budget, lowered_bound_releases_requests_as_others_grow)
{
    Fixture fixture;
    auto &silent = fixture.add(InputUse::Receiving, bound / 2);
    fixture.budget_.setBound(bound / 4);
    fixture.clock_.advance(seconds(1));
    cr_assert(fixture.add().set(InputUse::Receiving, small));
    cr_assert_eq(silent.releases_, 1);
    cr_assert_eq(fixture.budget_.bytes(), small);
}

Test(input_budget, largest_body_is_accepted_in_calm)
{
    Fixture fixture;
    const auto overhead = 2 * 64 * kilobyte;
    auto &connection = fixture.add();
    cr_assert(connection.set(InputUse::Receiving, fixture.budget_.largestBody() + overhead));
    cr_assert(connection.set(InputUse::Answering, fixture.budget_.largestBody() + overhead));
}

Test(input_budget, removed_share_gives_its_bytes_back)
{
    Fixture fixture;
    for (const auto use :
         {InputUse::Idle, InputUse::Receiving, InputUse::Answering, InputUse::Closing})
        fixture.add(use, small);
    fixture.connections_.clear();
    cr_assert_eq(fixture.budget_.bytes(), 0);
    cr_assert(fixture.add().set(InputUse::Receiving, bound / 4 * 3));
}
