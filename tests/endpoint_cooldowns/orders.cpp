// Orders and questions to engines that ask for a pause.
#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/serving/gated_orders.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Counts what is sent; answers name what notices_ holds.
class FakeOrders final : public ReplicaOrders
{
public:
    void send(const Endpoint &engine, const Order & /*order*/, std::uint64_t /*fence*/,
              Callback<OrderAnswer> done) override
    {
        ++sent_;
        tellNotices(engine.incarnation(), notices_);
        done(OrderAnswer::Begun);
    }
    void state(const Endpoint &engine, Callback<Endpoint> done) override
    {
        ++sent_;
        tellNotices(engine.incarnation(), notices_);
        done(engine);
    }

    int sent_ = 0;
    AnswerNotices notices_;
};

struct Bench
{
    Bench() { engine_.id_ = VmId("e-1"); }

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
    Bench bench;
    bench.coolDown(seconds(3));
    cr_assert_eq(valueOf(bench.order()), OrderAnswer::Withheld);
    cr_assert(isError<EndpointCoolingDown>(bench.ask()));
    cr_assert_eq(bench.orders_.sent_, 0);
    bench.clock_.advance(seconds(3));
    cr_assert_eq(valueOf(bench.order()), OrderAnswer::Begun);
    cr_assert(isOk(bench.ask()));
}

Test(gated_orders, cooldown_that_an_order_is_answered_with_holds_for_all_sends)
{
    Bench bench;
    bench.orders_.notices_.cooldown_ = seconds(3);
    (void)bench.order();
    cr_assert(bench.notices_.cooldown(bench.engine_.incarnation(), bench.clock_.now()));
    cr_assert_eq(valueOf(bench.order()), OrderAnswer::Withheld);
    cr_assert_eq(bench.orders_.sent_, 1);
}

Test(gated_orders, engine_that_leaves_still_takes_orders)
{
    Bench bench;
    bench.orders_.notices_.isLeaving_ = true;
    (void)bench.order();
    cr_assert(bench.notices_.isLeaving(bench.engine_.incarnation()));
    cr_assert_eq(valueOf(bench.order()), OrderAnswer::Begun);
}

Test(gated_orders, later_life_of_an_engine_takes_orders_in_the_cooldown_of_an_earlier_one)
{
    Bench bench;
    bench.coolDown(seconds(30));
    bench.engine_.startedAt_ = 2;
    cr_assert_eq(valueOf(bench.order()), OrderAnswer::Begun);
}
