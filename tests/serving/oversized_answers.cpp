// Answers of endpoints that are larger than the gateway holds.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t answerLimit = 400 * kilobyte;
constexpr std::size_t eventLimit = 200 * kilobyte;
constexpr std::size_t memory = 1000 * kilobyte;
constexpr std::size_t readSize = 16 * kilobyte;

class SmallGateway : public GatewayFixture
{
public:
    SmallGateway()
    {
        auto bounds = gateway_.bounds();
        bounds.answerBytes_ = answerLimit;
        bounds.eventBytes_ = eventLimit;
        bounds.answerBufferBytes_ = memory;
        gateway_.setBounds(bounds);
    }

    std::shared_ptr<FakeCall> begin(const std::string &path, std::shared_ptr<CallerView> &caller)
    {
        caller = ask(path);
        lastCall()->connect();
        lastCall()->sealedHead();
        return lastCall();
    }

    /// Sends up to \p size bytes of a body until the gateway drops the call.
    static std::size_t sendBody(const FakeCall &call, std::size_t size)
    {
        std::size_t sent = 0;
        for (; sent < size && !call.isDropped(); sent += readSize)
            call.data(std::string(readSize, 'x'));
        return sent;
    }
};

} // namespace

Test(oversized_answers, answer_beyond_the_limit_is_dropped_and_may_have_run)
{
    SmallGateway gateway;
    std::shared_ptr<CallerView> caller;
    const auto call = gateway.begin("/once/1", caller);
    cr_assert_leq(SmallGateway::sendBody(*call, 10 * answerLimit), answerLimit + readSize);
    cr_assert(call->isDropped());
    cr_assert_eq(caller->status(), 502);
}

Test(oversized_answers, idempotent_request_is_tried_at_another_endpoint)
{
    SmallGateway gateway;
    std::shared_ptr<CallerView> caller;
    const auto call = gateway.begin("/again/1", caller);
    (void)SmallGateway::sendBody(*call, 10 * answerLimit);
    cr_assert_eq(gateway.upstream_.calls_.size(), 2);
    const auto next = gateway.lastCall();
    cr_assert_neq(next->field("endpoint"), call->field("endpoint"));
    next->connect();
    next->sealedHead();
    next->end("ordinary");
    cr_assert_eq(caller->status(), 200);
    cr_assert_eq(caller->answer_->body_, "ordinary");
}

Test(oversized_answers, answer_at_the_limit_is_delivered_whole)
{
    SmallGateway gateway;
    std::shared_ptr<CallerView> caller;
    const auto call = gateway.begin("/once/1", caller);
    (void)SmallGateway::sendBody(*call, answerLimit);
    call->end("");
    cr_assert_eq(caller->status(), 200);
    cr_assert_eq(caller->answer_->body_.size(), answerLimit);
}

Test(oversized_answers, answers_without_end_leave_memory_for_small_ones)
{
    SmallGateway gateway;
    std::vector<std::shared_ptr<CallerView>> callers(40);
    std::vector<std::shared_ptr<FakeCall>> calls;
    calls.reserve(callers.size());
    for (auto &caller : callers)
        calls.push_back(gateway.begin("/once/1", caller));
    std::size_t held = 0;
    for (const auto &call : calls) {
        const auto sent = SmallGateway::sendBody(*call, answerLimit - readSize);
        held += call->isDropped() ? 0 : sent;
    }
    cr_expect_leq(held, memory);
    cr_expect_gt(held, 0);
    std::shared_ptr<CallerView> ordinary;
    const auto call = gateway.begin("/again/1", ordinary);
    (void)SmallGateway::sendBody(*call, readSize);
    call->end("");
    cr_assert_eq(ordinary->status(), 200);
}

Test(oversized_answers, memory_is_free_again_once_answers_have_ended)
{
    SmallGateway gateway;
    for (int i = 0; i < 20; ++i) {
        std::shared_ptr<CallerView> caller;
        const auto call = gateway.begin("/once/1", caller);
        (void)SmallGateway::sendBody(*call, answerLimit);
        call->end("");
        cr_assert_eq(caller->status(), 200);
    }
}

Test(oversized_answers, event_beyond_the_limit_breaks_the_stream_off)
{
    SmallGateway gateway;
    gateway.addGroup("e-0");
    std::shared_ptr<CallerView> caller;
    const auto call = gateway.begin("/raw/1", caller);
    std::string event = "id: 1\ndata: ";
    for (; event.size() < 10 * eventLimit && !call->isDropped(); event.append(readSize, 'x'))
        call->data(event);
    cr_assert_leq(event.size(), eventLimit + 2 * readSize);
    cr_assert(call->isDropped());
    cr_assert_eq(caller->status(), 502);
}

Test(oversized_answers, endpoint_that_sends_answers_without_end_is_left_for_another_one)
{
    SmallGateway gateway;
    std::size_t atFirst = 0;
    std::string troubled;
    for (int i = 0; i < 30; ++i) {
        std::shared_ptr<CallerView> caller;
        const auto call = gateway.begin("/once/" + std::to_string(i), caller);
        if (troubled.empty())
            troubled = call->field("endpoint");
        if (call->field("endpoint") == troubled) {
            ++atFirst;
            (void)SmallGateway::sendBody(*call, 10 * answerLimit);
        } else {
            call->end("ordinary");
        }
    }
    cr_assert_lt(atFirst, 10);
}
