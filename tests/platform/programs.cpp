#include "platform_fixture.hpp"

#include "support/process_harness.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::seconds;
using support::ProcessHarness;

namespace {

struct Programs
{
    net::HttpResponse call(std::uint16_t port, std::string target, std::string body)
    {
        net::HttpRequest request;
        request.address_ = {"127.0.0.1", port};
        request.method_ = body.empty() ? "GET" : "POST";
        request.target_ = std::move(target);
        request.body_ = std::move(body);
        request.timeout_ = seconds(30);
        std::optional<net::HttpResult> result;
        client_.send(request, [&](net::HttpResult answer) { result = std::move(answer); });
        while (!result)
            context_.run_one_for(std::chrono::milliseconds(100));
        cr_assert(std::holds_alternative<net::HttpResponse>(*result));
        return std::get<net::HttpResponse>(*result);
    }

    Result<platform::CommitReceipt> commit(std::uint16_t port, std::string key)
    {
        platform::HttpTableStore store(client_, {{"127.0.0.1", port}, seconds(30)});
        return support::await<platform::CommitReceipt>(context_, [&](auto done) {
            store.commit({WriterToken("w"), {}, {{{"claims", std::move(key)}, "{}"}}}, done);
        });
    }

    ProcessHarness harness_{PROGRAM_FOLDER};
    boost::asio::io_context context_;
    net::AsioHttpClient client_{context_};
};

} // namespace

Test(platform_programs, store_behind_a_link_obeys_the_controls_of_both)
{
    Programs programs;
    auto &harness = programs.harness_;
    const auto list = harness.writeFile(
        "vms.json", R"({"vms":[{"id":"vm-1","role":"engine","ip":"127.0.0.1","port":9,)"
                    R"("zone":"lac","domain":"lac-1"}]})");
    const auto store = harness.start("store", harness.program("platform_standin"), {"--vms", list});
    const auto proxy = harness.start("proxy", harness.program("fault_proxy"), {});
    const auto storePort = harness.waitForPort(store);
    const auto proxyPort = harness.waitForPort(proxy);

    const auto opened = programs.call(
        proxyPort, "/test/links", R"({"ip":"127.0.0.1","port":)" + std::to_string(storePort) + "}");
    const auto linkPort = boost::json::parse(opened.body_).at("port").to_number<std::uint16_t>();
    const auto clean = programs.commit(linkPort, "a");
    (void)programs.call(proxyPort, "/test/links/0/faults", R"({"to_client":{"cut_after":20}})");
    const auto cut = programs.commit(linkPort, "b");
    (void)programs.call(proxyPort, "/test/links/0/faults", R"({"duplicate_answers":0})");
    (void)programs.call(storePort, "/test/faults", R"({"down":true})");
    const auto down = programs.commit(linkPort, "c");
    const auto counters = programs.call(storePort, "/test/counters", "");
    (void)programs.call(storePort, "/test/faults", R"({"down":false})");
    const auto vms = programs.call(storePort, "/v1/vms", "");
    harness.terminate(store);
    harness.terminate(proxy);

    cr_assert(isOk(clean));
    cr_assert(isError<StoreAnswerLost>(cut));
    cr_assert(isError<StoreUnavailable>(down));
    cr_assert_eq(boost::json::parse(counters.body_).at("commits").as_int64(), 2);
    cr_assert(vms.body_.find("vm-1") != std::string::npos);
    cr_assert_eq(harness.waitForExit(store), 0);
    cr_assert_eq(harness.waitForExit(proxy), 0);
}

Test(platform_programs, wrong_option_and_wrong_list_end_with_status_2)
{
    ProcessHarness harness(PROGRAM_FOLDER);
    const auto list = harness.writeFile("vms.json", R"({"vms":[{"id":3}]})");

    const auto unknown
        = harness.start("unknown", harness.program("platform_standin"), {"--nonsense"});
    const auto wrong = harness.start("wrong", harness.program("platform_standin"), {"--vms", list});

    constexpr int exitStatus2 = 2 << 8;
    cr_assert_eq(harness.waitForExit(unknown), exitStatus2);
    cr_assert_eq(harness.waitForExit(wrong), exitStatus2);
}

Test(platform_programs, throttled_transfer_of_weights_says_when_to_return)
{
    Programs programs;
    auto &harness = programs.harness_;
    const auto store = harness.start("store", harness.program("platform_standin"),
                                     {"--weight-transfers", "0", "--weight-time-ms", "1"});
    const auto port = harness.waitForPort(store);

    const auto answer
        = programs.call(port, "/v1/weights", R"({"model":"lm","version":"1","vm":"vm-1"})");

    cr_assert_eq(answer.status_, 429U);
    cr_assert_eq(answer.field("Retry-After"), "1");
}
