#include <cardamombay/serving/gated_orders.hpp>

#include <utility>

namespace cardamombay::serving {

GatedOrders::GatedOrders(Clock &clock, ReplicaOrders &orders, EndpointNotices &notices)
    : clock_(clock)
    , orders_(orders)
    , notices_(notices)
{
    orders_.onNotices([this](const EndpointIncarnation &engine, const AnswerNotices &told) {
        const auto now = clock_.now();
        notices_.take({engine, now, true}, told, now);
    });
}

std::optional<Duration> GatedOrders::withheldFor(const Endpoint &engine)
{
    const auto now = clock_.now();
    const auto cooldown = notices_.cooldown(engine.incarnation(), now);
    if (!cooldown)
        return std::nullopt;
    notices_.countWithheld(engine.incarnation());
    return cooldown->left(now);
}

void GatedOrders::send(const Endpoint &engine, const Order &order, std::uint64_t fence,
                       Callback<OrderAnswer> done)
{
    if (withheldFor(engine))
        clock_.schedule({}, [done = std::move(done)] { done(OrderAnswer::Withheld); });
    else
        orders_.send(engine, order, fence, std::move(done));
}

void GatedOrders::state(const Endpoint &engine, Callback<Endpoint> done)
{
    if (const auto left = withheldFor(engine))
        clock_.schedule({}, [id = engine.id_, left = *left, done = std::move(done)] {
            done(Error(EndpointCoolingDown{id, left}));
        });
    else
        orders_.state(engine, std::move(done));
}

} // namespace cardamombay::serving
