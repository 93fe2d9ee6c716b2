// Real gateways before endpoints that send broken answers, some of them during
// an upload.
#include "support/early_server.hpp"
#include "support/fleet_platform_deployment.hpp"

#include <cardamombay/net/answer_defect.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::support;
using namespace cardamombay::test;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t badGateway = 502;
constexpr std::size_t megabyte = std::size_t{1024} * 1024;
/// More than the buffers of a connection hold.
constexpr std::size_t uploadBytes = 8 * megabyte;
constexpr std::size_t bodyLimit = 2 * uploadBytes;

std::string answer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + " X\r\nX-Response-Seal: p-0\r\n" + fields + "\r\n" + body;
}

const auto statusNone = answer("000", "Content-Length: 4\r\n", "body");

const std::vector<std::string> bothEndpoints{"p-0", "p-1"};

/// Endpoints of the plain service that give the same answer to every request.
class TroubledEndpoints
{
public:
    TroubledEndpoints(Deployment &deployment, EarlyAnswer early,
                      const std::vector<std::string> &endpoints = bothEndpoints)
        : deployment_(deployment)
        , server_(context_, std::move(early))
        , thread_([this] { context_.run(); })
    {
        for (const auto &endpoint : endpoints)
            deployment_.tell("port/" + endpoint, std::to_string(server_.address().port_));
    }
    ~TroubledEndpoints() { context_.stop(); }
    TroubledEndpoints(const TroubledEndpoints &) = delete;
    TroubledEndpoints &operator=(const TroubledEndpoints &) = delete;

    [[nodiscard]] std::size_t answers() const { return server_.answers(); }

    /// \brief Sends requests until one has reached these endpoints.
    /// \returns what its caller received.
    load::CallResult call(const std::string &body)
    {
        load::CallResult result;
        const bool isReached = waitUntil([&] {
            const auto before = server_.answers();
            result = deployment_.call(0, "/once/1", "c-" + std::to_string(++calls_), "key-a", body);
            return server_.answers() > before;
        });
        cr_assert(isReached);
        return result;
    }

private:
    Deployment &deployment_;
    boost::asio::io_context context_;
    EarlyServer server_;
    std::size_t calls_ = 0;
    std::jthread thread_;
};

/// Answers that the first gateway has counted for \p defect.
std::size_t countOf(const Deployment &deployment, net::AnswerDefect defect)
{
    const auto metrics = Caller({"127.0.0.1", deployment.ports(0).metrics_}).fetch("/metrics");
    const auto name = "cardamombay_gateway_broken_answers_total{defect=\""
                      + std::string(nameOf(defect)) + "\"} ";
    const auto place = metrics.body_.find(name);
    cr_assert_neq(place, std::string::npos, "%s", metrics.body_.c_str());
    return std::stoul(metrics.body_.substr(place + name.size()));
}

/// Expects that the caller gets a failure of the gateway, and that operators can tell the reason.
void expectFailure(Deployment &deployment, EarlyAnswer early, net::AnswerDefect defect,
                   const std::string &body = {})
{
    const auto before = countOf(deployment, defect);
    TroubledEndpoints endpoints(deployment, std::move(early));
    const auto result = endpoints.call(body);
    cr_expect_gt(countOf(deployment, defect), before);
    cr_expect(result.isWhole_);
    cr_expect_eq(result.status_, badGateway, "status %u, body %s", result.status_,
                 result.body_.c_str());
}

void expectAnswer(Deployment &deployment, EarlyAnswer early, const std::string &body)
{
    TroubledEndpoints endpoints(deployment, std::move(early));
    const auto result = endpoints.call(body);
    cr_expect(result.isWhole_);
    cr_expect_eq(result.status_, 200);
    cr_expect_eq(result.body_, "answer");
}

} // namespace

Test(broken_answers, status_000_does_not_reach_the_caller)
{
    Deployment deployment;
    expectFailure(deployment, {.bytes_ = statusNone, .end_ = EarlyEnd::CloseAndRead},
                  net::AnswerDefect::Status);
    const auto reason = textOf(net::AnswerDefect::Status);
    cr_expect_not(deployment.logLinesContaining(0, std::string(reason)).empty());
}

Test(broken_answers, request_that_may_run_again_gets_the_sound_answer_of_another_endpoint)
{
    Deployment deployment;
    deployment.configure(2, "/again/");
    cr_assert(waitUntil([&] { return deployment.call(0, "/again/1", "before").status_ == 200; }));
    const TroubledEndpoints endpoints(
        deployment, {.bytes_ = statusNone, .end_ = EarlyEnd::CloseAndRead}, {"p-0"});
    std::atomic<std::size_t> failures = 0;
    const bool isReached = waitUntil([&] {
        std::vector<std::jthread> callers;
        for (int caller = 0; caller < 4; ++caller)
            callers.emplace_back([&, id = "again-" + std::to_string(caller)] {
                const auto result = deployment.call(0, "/again/1", id);
                failures += result.status_ != 200 || !result.isWhole_ ? 1 : 0;
            });
        callers.clear();
        return endpoints.answers() > 0;
    });
    cr_expect(isReached);
    cr_expect_eq(failures, 0);
}

Test(broken_answers, part_of_an_unframed_answer_that_is_reset_does_not_reach_the_caller)
{
    Deployment deployment(Links::None, 0, bodyLimit);
    for (const auto delay : {milliseconds(0), milliseconds(2), milliseconds(20)}) {
        for (const auto bytesRead : {std::size_t{0}, megabyte}) {
            const EarlyAnswer early{answer("200", "", "part"), bytesRead, delay, EarlyEnd::Reset};
            expectFailure(deployment, early, net::AnswerDefect::Reset,
                          std::string(uploadBytes, 'x'));
        }
    }
}

Test(broken_answers, answer_with_a_malformed_field_name_does_not_reach_the_caller)
{
    Deployment deployment;
    for (const std::string line : {"X Field: 1", " X-Field: 1", "Content-Length : 2",
                                   "X\x01"
                                   "Field: 1",
                                   "X-Field\t: 1"}) {
        const bool isFolded = line.front() == ' ';
        expectFailure(deployment,
                      {.bytes_ = answer("200", line + "\r\nContent-Length: 4\r\n", "body"),
                       .end_ = EarlyEnd::CloseAndRead},
                      isFolded ? net::AnswerDefect::Folding : net::AnswerDefect::Syntax);
    }
}

Test(broken_answers, early_answers_during_an_upload_reach_the_caller_whole)
{
    Deployment deployment(Links::None, 0, bodyLimit);
    const std::string upload(uploadBytes, 'x');
    const auto framed = answer("200", "Content-Length: 6\r\n", "answer");
    const auto unframed = answer("200", "", "answer");
    expectAnswer(deployment, {framed, megabyte, milliseconds(2), EarlyEnd::Reset}, upload);
    expectAnswer(deployment, {unframed, megabyte, milliseconds(2), EarlyEnd::CloseAndReset},
                 upload);
    expectAnswer(deployment, {unframed, 0, {}, EarlyEnd::CloseAndRead}, upload);
}
