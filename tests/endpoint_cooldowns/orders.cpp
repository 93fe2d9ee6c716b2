// Tests control requests to engines that are in a cooldown.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/gated_orders.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Counts sent requests; answers carry notices_.
class FakeOrders final : public ReplicaOrders
{
public:
    void send(const Endpoint &engine, const Order & /*order*/, std::uint64_t /*fence*/,
              Callback<OrderAnswer> done) override
    {
        ++sent_;
        reportNotices(engine.incarnation(), notices_);
        done(OrderAnswer::Begun);
    }
    void state(const Endpoint &engine, Callback<Endpoint> done) override
    {
        ++sent_;
        reportNotices(engine.incarnation(), notices_);
        done(engine);
    }

    int sent_ = 0;
    AnswerNotices notices_;
};

struct Fixture
{
    Fixture() { engine_.id_ = VmId("e-1"); }

    void coolDown(Duration time)
    {
        AnswerNotices notices;
        notices.cooldown_ = time;
        notices_.take({engine_.incarnation(), {}, true}, notices, clock_.now());
    }

    Result<OrderAnswer> order()
    {
        std::optional<Result<OrderAnswer>> result;
        gated_.send(engine_, StageOrder{ModelName("m")}, 1,
                    [&result](const auto &one) { result = one; });
        clock_.advance(milliseconds(1));
        return *result;
    }

    Result<Endpoint> ask()
    {
        std::optional<Result<Endpoint>> result;
        gated_.state(engine_, [&result](const auto &one) { result = one; });
        clock_.advance(milliseconds(1));
        return *result;
    }

    ManualClock clock_;
    metrics::Registry registry_;
    GatewayMetrics metrics_{registry_};
    EndpointNotices notices_{metrics_};
    FakeOrders orders_;
    GatedOrders gated_{clock_, orders_, notices_};
    Endpoint engine_;
};

} // namespace

Test(gated_orders, engine_in_a_cooldown_gets_neither_orders_nor_questions)
{
    Fixture fixture;
    fixture.coolDown(seconds(3));
    cr_assert_eq(valueOf(fixture.order()), OrderAnswer::Withheld);
    cr_assert(isError<EndpointCoolingDown>(fixture.ask()));
    cr_assert_eq(fixture.orders_.sent_, 0);
    fixture.clock_.advance(seconds(3));
    cr_assert_eq(valueOf(fixture.order()), OrderAnswer::Begun);
    cr_assert(isOk(fixture.ask()));
}

Test(gated_orders, cooldown_that_an_order_is_answered_with_holds_for_all_sends)
{
    Fixture fixture;
    fixture.orders_.notices_.cooldown_ = seconds(3);
    (void)fixture.order();
    cr_assert(fixture.notices_.cooldown(fixture.engine_.incarnation(), fixture.clock_.now()));
    cr_assert_eq(valueOf(fixture.order()), OrderAnswer::Withheld);
    cr_assert_eq(fixture.orders_.sent_, 1);
}

Test(gated_orders, engine_that_leaves_still_takes_orders)
{
    Fixture fixture;
    fixture.orders_.notices_.isLeaving_ = true;
    (void)fixture.order();
    cr_assert(fixture.notices_.isLeaving(fixture.engine_.incarnation()));
    cr_assert_eq(valueOf(fixture.order()), OrderAnswer::Begun);
}

Test(gated_orders, later_life_of_an_engine_takes_orders_in_the_cooldown_of_an_earlier_one)
{
    Fixture fixture;
    fixture.coolDown(seconds(30));
    fixture.engine_.startedAt_ = 2;
    cr_assert_eq(valueOf(fixture.order()), OrderAnswer::Begun);
}
