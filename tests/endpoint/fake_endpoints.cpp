#include "support/fake_endpoints.hpp"

#include <cardamombay/core/manual_clock.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using endpoint::EndpointState;
using endpoint::EnginePhase;
using endpoint::OrderKind;
using std::chrono::seconds;
using support::FakeEndpointOrders;
using support::FakeEndpoints;

namespace {

using Answer = std::optional<Result<EndpointState>>;

const VmId vm{"vm-1"};
const Address address{"10.0.0.1", 9000};

struct Fixture
{
    ManualClock clock_;
    FakeEndpoints endpoints_{clock_};
    FakeEndpointOrders link_{endpoints_, EntryId{"entry-1"}};

    explicit Fixture(bool checksFencing = true) { endpoints_.addVm(vm, address, checksFencing); }

    static endpoint::EndpointOrder order(OrderKind kind, std::uint64_t fencing, std::string id)
    {
        endpoint::EndpointOrder order;
        order.id_ = OrderId{std::move(id)};
        order.kind_ = kind;
        order.vm_ = vm;
        order.fencing_ = Epoch{fencing};
        order.assignment_ = {GroupId{"lm/a/0"}, Generation{1}, 0};
        return order;
    }

    Answer send(endpoint::EndpointOrder order)
    {
        Answer answer;
        link_.send(address, std::move(order), [&](auto result) { answer = std::move(result); });
        clock_.advance(endpoints_.timeout_);
        return answer;
    }

    Answer probe()
    {
        Answer answer;
        link_.probe(vm, address, [&](auto result) { answer = std::move(result); });
        clock_.advance(endpoints_.timeout_);
        return answer;
    }
};

} // namespace

Test(fake_endpoints, assigned_vm_becomes_ready_after_its_load_time)
{
    Fixture fixture;

    const auto taken = fixture.send(Fixture::order(OrderKind::Assign, 1, "o-1"));
    cr_assert(valueOf(*taken).phase_ == EnginePhase::Loading);
    fixture.clock_.advance(fixture.endpoints_.loadTime_);

    const auto state = valueOf(*fixture.probe());
    cr_assert(state.phase_ == EnginePhase::Ready);
    cr_assert(state.assignment_->group_ == GroupId{"lm/a/0"});
}

Test(fake_endpoints, old_fencing_number_is_refused_only_where_it_is_checked)
{
    Fixture checking(true);
    Fixture ignoring(false);
    for (Fixture *fixture : {&checking, &ignoring})
        fixture->send(Fixture::order(OrderKind::Assign, 5, "o-1"));

    const auto refused = checking.send(Fixture::order(OrderKind::Release, 4, "o-2"));
    const auto taken = ignoring.send(Fixture::order(OrderKind::Release, 4, "o-2"));

    cr_assert(isError<EndpointRefused>(*refused));
    cr_assert(valueOf(*taken).phase_ == EnginePhase::Idle);
}

Test(fake_endpoints, order_whose_answer_was_lost_took_effect_and_its_repeat_changes_nothing)
{
    Fixture fixture;
    fixture.endpoints_.faults(vm).loseNextAnswers_ = 1;

    const auto lost = fixture.send(Fixture::order(OrderKind::Assign, 1, "o-1"));
    const auto repeated = fixture.send(Fixture::order(OrderKind::Assign, 1, "o-1"));

    cr_assert(isError<TimedOut>(*lost));
    cr_assert(isOk(*repeated));
    cr_assert_not(fixture.endpoints_.orders()[0].isRepeat_);
    cr_assert(fixture.endpoints_.orders()[1].isRepeat_);
}

Test(fake_endpoints, paused_vm_carries_out_an_order_when_it_wakes)
{
    Fixture fixture;
    fixture.endpoints_.pause(vm);

    const auto unanswered = fixture.send(Fixture::order(OrderKind::Assign, 1, "o-1"));
    cr_assert(isError<TimedOut>(*unanswered));
    cr_assert(fixture.endpoints_.state(vm).phase_ == EnginePhase::Idle);
    fixture.endpoints_.resume(vm);

    cr_assert(fixture.endpoints_.state(vm).phase_ == EnginePhase::Loading);
}

Test(fake_endpoints, dead_vm_is_unreachable_and_forgets_its_assignment_on_restart)
{
    Fixture fixture;
    fixture.send(Fixture::order(OrderKind::Assign, 1, "o-1"));

    fixture.endpoints_.kill(vm);
    cr_assert(isError<EndpointUnreachable>(*fixture.probe()));
    fixture.endpoints_.restart(vm);
    fixture.clock_.advance(fixture.endpoints_.loadTime_);

    const auto state = valueOf(*fixture.probe());
    cr_assert(state.incarnation_ == Incarnation{2});
    cr_assert(state.phase_ == EnginePhase::Idle);
}

Test(fake_endpoints, busy_vm_refuses_another_group)
{
    Fixture fixture;
    fixture.send(Fixture::order(OrderKind::Assign, 1, "o-1"));
    auto other = Fixture::order(OrderKind::Assign, 2, "o-2");
    other.assignment_.group_ = GroupId{"lm/a/1"};

    const auto refused = fixture.send(other);

    cr_assert(isError<EndpointRefused>(*refused));
    cr_assert(fixture.endpoints_.state(vm).assignment_->group_ == GroupId{"lm/a/0"});
}

Test(fake_endpoints, node_that_is_cut_off_reaches_nothing_while_another_does)
{
    Fixture fixture;
    FakeEndpointOrders other(fixture.endpoints_, EntryId{"entry-2"});
    fixture.link_.isCutOff_ = true;
    Answer reached;

    const auto cut = fixture.probe();
    other.probe(vm, address, [&](auto result) { reached = std::move(result); });
    fixture.clock_.advance(seconds(1));

    cr_assert(isError<TimedOut>(*cut));
    cr_assert(isOk(*reached));
}

Test(fake_endpoints, order_of_a_destroyed_node_still_arrives)
{
    Fixture fixture;
    auto sender = std::make_unique<FakeEndpointOrders>(fixture.endpoints_);
    sender->send(address, Fixture::order(OrderKind::Assign, 1, "o-1"),
                 [](auto) { cr_assert(false, "a destroyed node was answered"); });

    sender.reset();
    fixture.clock_.advance(seconds(2));

    cr_assert_eq(fixture.endpoints_.orders().size(), 1);
}
