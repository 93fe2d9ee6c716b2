// StoreClient and EngineOrders against handwritten HTTP responses.
#include <platform/engine_orders.hpp>
#include <platform/store_client.hpp>

#include <functional>
#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::adapter;
using namespace cardamombay::platform;
using std::chrono::seconds;

namespace {

/// Completes each request with the result that the test has set.
class FakeClient final : public net::HttpClient
{
public:
    void send(net::HttpRequest request, std::function<void(net::HttpResult)> done) override
    {
        requests_.push_back(std::move(request));
        done(result_);
    }

    net::HttpResult result_;
    std::vector<net::HttpRequest> requests_;
};

struct Bench
{
    void answer(std::uint32_t status, std::string body)
    {
        client_.result_ = net::HttpResponse{status, {}, std::move(body)};
    }

    /// Sets a response whose timeline field is \p timeline.
    void answer(std::uint32_t status, std::string body, const std::string &timeline)
    {
        client_.result_ = net::HttpResponse{status, {{"Store-Era", timeline}}, std::move(body)};
    }

    Result<CommitReceipt> commit(RowVersion expected = RowVersion(4))
    {
        Transaction transaction;
        transaction.writer_ = WriterToken("w");
        transaction.conditions_ = {{{"t", "k"}, expected}};
        transaction.writes_ = {{{"t", "k"}, "v"}, {{"t", "gone"}, std::nullopt}};
        std::optional<Result<CommitReceipt>> result;
        store_.commit(transaction, [&result](const auto &one) { result = one; });
        return *result;
    }

    Result<ScanPage> list()
    {
        std::optional<Result<ScanPage>> result;
        platform::Scan scan;
        scan.table_ = "t";
        store_.scan(scan, [&result](const auto &one) { result = one; });
        return *result;
    }

    Result<ChangePage> changes(RowVersion after = RowVersion(3))
    {
        std::optional<Result<ChangePage>> result;
        store_.changes({"t", after, seconds(1)}, [&result](const auto &one) { result = one; });
        return *result;
    }

    FakeClient client_;
    StoreClient store_{client_, {{"10.0.0.1", 1}, seconds(1)}};
};

} // namespace

Test(store_client, transaction_is_sent_with_conditions_writes_and_removals)
{
    Bench bench;
    bench.answer(200, R"({"Ver":9,"NowMs":1})");
    const auto result = bench.commit();
    cr_assert_eq(valueOf(result).version_, RowVersion(9));
    const auto &body = bench.client_.requests_[0].body_;
    cr_assert_neq(
        body.find(R"("Precondition":[{"Table":"t","part":"cardamombay","Key":"k","Ver":4}])"),
        std::string::npos);
    cr_assert_neq(body.find(R"("Value":"dwp2")"), std::string::npos); // "w\nv"
    cr_assert_neq(body.find(R"("Remove":[{"Table":"t","part":"cardamombay","Key":"gone"}])"),
                  std::string::npos);
}

Test(store_client, rows_of_foreign_tables_are_read_from_the_unnamed_partition)
{
    Bench bench;
    bench.answer(200, R"({"Rows":[],"Truncated":false,"Ver":9,"NowMs":1})");
    bench.store_.scan({"servers", {}, {}, {}, 10}, [](const auto &) {});
    bench.store_.scan({"entries", {}, {}, {}, 10}, [](const auto &) {});
    cr_assert_eq(bench.client_.requests_[0].target_, "/-/rows-get?Table=servers&part=&Limit=10");
    cr_assert_eq(bench.client_.requests_[1].target_,
                 "/-/rows-get?Table=entries&part=cardamombay&Limit=10");
}

Test(store_client, failed_condition_names_the_row_and_its_writer)
{
    Bench bench;
    bench.answer(412,
                 R"({"Rows":[{"Table":"t","part":"","Key":"k","Value":"eAp2","Ver":6}],"Ver":9})");
    const auto result = bench.commit();
    cr_assert(isError<StoreConflict>(result));
    const auto &conflict = std::get<StoreConflict>(errorOf(result));
    cr_assert_eq(conflict.found_, RowVersion(6));
    cr_assert_eq(conflict.writer_, WriterToken("x"));
}

Test(store_client, lost_response_of_a_write_is_not_a_failure)
{
    Bench bench;
    bench.client_.result_ = net::HttpFailure{true, true, "timeout"};
    cr_assert(isError<StoreAnswerLost>(bench.commit()));
    bench.client_.result_ = net::HttpFailure{false, false, "refused"};
    cr_assert(isError<StoreUnavailable>(bench.commit()));
    bench.answer(503, "");
    cr_assert(isError<StoreUnavailable>(bench.commit()));
    bench.answer(429, "");
    cr_assert(isError<StoreThrottled>(bench.commit()));
    bench.answer(200, "not json");
    cr_assert(isError<StoreAnswerLost>(bench.commit()));
}

Test(store_client, changes_carry_values_and_removals)
{
    Bench bench;
    bench.answer(200, R"({"Rows":[{"Table":"t","Key":"a","Value":"eyJ4IjoxfQ==","Ver":4},
{"Table":"t","Key":"b","Ver":5,"Removed":true}],"Ver":5,"NowMs":1})");
    const auto result = bench.changes();
    const auto &page = valueOf(result);
    cr_assert_eq(page.changes_[0].row_.value_, R"({"x":1})");
    cr_assert(page.changes_[1].isRemoved_);
    cr_assert_eq(page.version_, RowVersion(5));
    cr_assert_eq(bench.client_.requests_[0].target_, "/-/rows-feed?Table=t&After=3&WaitMs=1000");
}

Test(store_client, lost_history_is_distinguished_from_an_outage)
{
    Bench bench;
    bench.answer(410, "");
    cr_assert(isError<NotFound>(bench.changes()));
    bench.answer(503, "");
    cr_assert(isError<StoreUnavailable>(bench.changes()));
}

Test(store_client, versions_after_a_restore_are_above_those_before)
{
    Bench bench;
    bench.answer(200, R"({"Rows":[],"Ver":90})", "1");
    const auto before = valueOf(bench.list()).storeVersion_;
    bench.answer(200, R"({"Rows":[{"Table":"t","Key":"k","Value":"","Ver":7}],"Ver":12})", "2");
    const auto after = valueOf(bench.list());
    cr_assert_gt(after.storeVersion_, before);
    cr_assert_gt(after.rows_.front().version_, before);
    cr_assert_eq(after.storeVersion_.number(), 12);
    bench.answer(200, R"({"Rows":[],"Ver":12})", "2");
    cr_assert(isOk(bench.changes(after.storeVersion_)));
    cr_assert(bench.client_.requests_.back().target_.find("After=12&") != std::string::npos);
}

/// For a version that it has not reached again, a restored store may not respond before the wait
/// ends, or may return other changes with the same version numbers.
Test(store_client, feed_from_before_a_restore_has_lost_its_history_and_does_not_wait)
{
    Bench bench;
    bench.answer(200, R"({"Rows":[],"Ver":9})", "2");
    cr_assert(isError<NotFound>(bench.changes(RowVersion::at(StoreTimeline(1), 9))));
    cr_assert(isError<NotFound>(bench.changes(RowVersion::at(StoreTimeline(1), 9))));
    cr_assert(bench.client_.requests_.back().target_.find("WaitMs=0") != std::string::npos);
}

Test(store_client, condition_from_before_a_restore_is_never_met)
{
    Bench bench;
    const auto expected = RowVersion::at(StoreTimeline(1), 4);
    // The reused version number meets the condition, and this response is the first to name the
    // new timeline.
    bench.answer(200, R"({"Ver":5})", "2");
    cr_assert(isError<StoreConflict>(bench.commit(expected)));
    // Once the new timeline is known, the request names a version that no row has.
    bench.answer(412, R"({"Rows":[],"Ver":5})", "2");
    cr_assert(isError<StoreConflict>(bench.commit(expected)));
    cr_assert(bench.client_.requests_.back().body_.find("\"Ver\":4}") == std::string::npos);
    // The condition that a row must not exist is valid on any timeline.
    bench.answer(200, R"({"Ver":6})", "2");
    cr_assert(isOk(bench.commit(RowVersion())));
}

Test(store_client, response_of_an_earlier_timeline_is_ignored)
{
    Bench bench;
    bench.answer(200, R"({"Rows":[],"Ver":12})", "2");
    cr_assert(isOk(bench.list()));
    bench.answer(200, R"({"Rows":[],"Ver":90})", "1");
    cr_assert(isError<StoreUnavailable>(bench.list()));
    cr_assert(isError<StoreAnswerLost>(bench.commit(RowVersion())));
    bench.answer(200, R"({"Rows":[],"Ver":13})", "2");
    cr_assert_eq(valueOf(bench.list()).storeVersion_, RowVersion::at(StoreTimeline(2), 13));
}

Test(store_client, unreadable_timeline_is_ignored)
{
    Bench bench;
    bench.answer(200, R"({"Rows":[],"Ver":12})", "2");
    cr_assert(isOk(bench.list()));
    for (const auto *invalid : {"", "x", "-1", "2.5", "3 ", "99999999999999999999", "1000000"}) {
        bench.answer(200, R"({"Rows":[],"Ver":13})", invalid);
        cr_assert_eq(valueOf(bench.list()).storeVersion_, RowVersion::at(StoreTimeline(2), 13),
                     "%s", invalid);
    }
}

Test(store_client, error_response_announces_a_restore_too)
{
    Bench bench;
    bench.answer(503, "", "2");
    cr_assert(isError<StoreUnavailable>(bench.list()));
    bench.answer(200, R"({"Rows":[],"Ver":1})", "");
    cr_assert_eq(valueOf(bench.list()).storeVersion_.timeline(), StoreTimeline(2));
}

Test(engine_orders, order_names_the_engine_and_the_fence)
{
    FakeClient client;
    client.result_ = net::HttpResponse{202, {}, {}};
    EngineOrders orders(client, seconds(1), seconds(1));
    serving::Endpoint engine;
    engine.id_ = VmId("i-1");
    std::optional<Result<serving::OrderAnswer>> answer;
    orders.send(engine,
                serving::JoinOrder{serving::GroupName("m.3"), 3, ModelName("m"), {VmId("i-1")}}, 5,
                [&answer](const auto &one) { answer = one; });
    cr_assert_eq(valueOf(*answer), serving::OrderAnswer::Begun);
    cr_assert_eq(
        client.requests_[0].body_,
        R"({"Op":"join","group":"m.3","epoch":3,"Model":"m","Members":["i-1"],"Fence":5})");
    cr_assert_eq(client.requests_[0].fields_[0].value_, "i-1");
}

Test(engine_orders, unanswered_order_may_still_be_executed)
{
    FakeClient client;
    client.result_ = net::HttpFailure{true, true, "timeout"};
    EngineOrders orders(client, seconds(1), seconds(1));
    std::optional<Result<serving::OrderAnswer>> answer;
    const auto record = [&answer](const auto &one) { answer = one; };
    orders.send({}, serving::StageOrder{ModelName("m")}, 1, record);
    cr_assert(isError<TimedOut>(*answer));
    client.result_ = net::HttpFailure{false, false, "refused"};
    orders.send({}, serving::StageOrder{ModelName("m")}, 1, record);
    cr_assert(isError<EndpointUnreachable>(*answer));
}

Test(engine_orders, answers_tell_what_the_engine_says_of_itself)
{
    FakeClient client;
    EngineOrders orders(client, seconds(1), seconds(1));
    std::vector<serving::AnswerNotices> received;
    orders.onNotices(
        [&received](const auto & /*engine*/, const auto &one) { received.push_back(one); });
    client.result_ = net::HttpResponse{503, {{"Retry-After", "3"}, {"Server-Leaving", "1"}}, {}};
    std::optional<Result<serving::OrderAnswer>> answer;
    orders.send({}, serving::StageOrder{ModelName("m")}, 1,
                [&answer](const auto &one) { answer = one; });
    cr_assert_eq(valueOf(*answer), serving::OrderAnswer::Refused);
    std::optional<Result<serving::Endpoint>> state;
    orders.state({}, [&state](const auto &one) { state = one; });
    cr_assert(isError<EndpointCoolingDown>(*state));
    cr_assert_eq(received.size(), 2);
    cr_assert_eq(received[1].cooldown_, Duration(seconds(3)));
    cr_assert(received[0].isLeaving_);
}

Test(engine_orders, notices_of_another_engine_at_the_address_are_ignored)
{
    FakeClient client;
    EngineOrders orders(client, seconds(1), seconds(1));
    int received = 0;
    orders.onNotices([&received](const auto & /*engine*/, const auto & /*one*/) { ++received; });
    client.result_ = net::HttpResponse{421, {{"Server-Leaving", "1"}}, {}};
    orders.send({}, serving::StageOrder{ModelName("m")}, 1, [](const auto & /*one*/) {});
    cr_assert_eq(received, 0);
}
