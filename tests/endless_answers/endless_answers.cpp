// Real gateways before endpoints that answer with bytes without end, in a head or a body.
#include "endless_answers/troubled_deployment.hpp"

#include <cstdio>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;

namespace {

const std::vector<std::string> plainEndpoints{"p-0", "p-1"};
/// Connections of a gateway to one engine for orders.
constexpr std::size_t orderConnections = 2;

std::vector<std::string> allEngines()
{
    std::vector<std::string> result;
    for (const auto *domain : {"0", "1"}) {
        for (int engine = 0; engine < 6; ++engine)
            result.push_back("e-" + std::string(domain) + "-" + std::to_string(engine));
    }
    return result;
}

void checkUsage(TroubledDeployment &troubled, const PeakUsage &peak, std::size_t restDescriptors)
{
    const auto report = troubled.deployment().report();
    std::printf("bytes %zu, descriptors %zu, endless answers %zu of %llu bytes\n", peak.bytes_,
                peak.descriptors_, report.endlessStarted_,
                static_cast<unsigned long long>(report.endlessBytes_));
    cr_assert(troubled.areAlive());
    cr_expect_gt(report.endlessStarted_, 0);
    cr_expect_leq(peak.bytes_, machineBytes);
    cr_expect_leq(peak.descriptors_, maxDescriptors);
    cr_expect(troubled.hasEnded());
    cr_expect(support::waitUntil(
        [&] { return troubled.descriptors() <= restDescriptors + Deployment::gatewayCount; }));
}

/// Both plain endpoints are in trouble, then one of them recovers and serves.
void checkRequests(const std::string &kind)
{
    TroubledDeployment troubled;
    const auto &deployment = troubled.deployment();
    const auto restDescriptors = troubled.descriptors();
    troubled.setTrouble(plainEndpoints, kind);
    const auto peak = troubled.callAtOnce(
        [&](const std::string &id) { (void)deployment.call(0, "/once/1", id); });
    checkUsage(troubled, peak, restDescriptors);
    troubled.setTrouble({"p-1"}, "");
    cr_expect(support::waitUntil(
        [&] { return deployment.call(0, "/once/1", "ordinary").status_ == 200; }));
}

/// All engines are in trouble, then all recover and serve.
void checkStreams(const std::string &kind)
{
    TroubledDeployment troubled;
    const auto &deployment = troubled.deployment();
    const auto restDescriptors = troubled.descriptors();
    troubled.setTrouble(allEngines(), kind);
    const auto peak
        = troubled.callAtOnce([&](const std::string &id) { (void)deployment.stream(0, id); });
    checkUsage(troubled, peak, restDescriptors);
    troubled.setTrouble(allEngines(), "");
    cr_expect(support::waitUntil([&] { return deployment.stream(0, "ordinary").status_ == 200; }));
}

/// Members that fall silent make the planner ask engines for their state and give new orders.
void checkOrders(const std::string &kind)
{
    const std::vector<std::string> silentEngines{"e-0-1", "e-0-2", "e-1-1", "e-1-2"};
    TroubledDeployment troubled;
    const auto &deployment = troubled.deployment();
    // Orders to engines that do not answer may occupy the connections of an address.
    const auto restDescriptors = troubled.descriptors() + orderConnections * silentEngines.size();
    troubled.setTrouble(allEngines(), kind);
    for (const auto &engine : silentEngines)
        deployment.tell("silence/" + engine);
    const auto peak
        = troubled.callAtOnce([&](const std::string &id) { (void)deployment.stream(0, id); });
    cr_expect(support::waitUntil([&] { return deployment.report().endlessStarted_ > 0; }));
    checkUsage(troubled, peak, restDescriptors);
    cr_expect(support::waitUntil(
        [&] { return deployment.call(0, "/once/1", "ordinary").status_ == 200; }));
}

} // namespace

Test(endless_answers, head_of_one_endless_line_stays_within_memory)
{
    checkRequests("head-line");
}

Test(endless_answers, head_of_endless_lines_stays_within_memory)
{
    checkRequests("head-fields");
}

Test(endless_answers, bytes_that_are_no_http_stay_within_memory)
{
    checkRequests("no-http");
}

Test(endless_answers, body_with_a_length_beyond_memory_stays_within_memory)
{
    checkRequests("length");
}

Test(endless_answers, endless_body_of_a_failure_stays_within_memory)
{
    checkRequests("failure");
}

Test(endless_answers, endless_chunks_stay_within_memory)
{
    checkRequests("chunks");
}

Test(endless_answers, endless_chunk_extension_stays_within_memory)
{
    checkRequests("chunk-extension");
}

Test(endless_answers, endless_trailers_stay_within_memory)
{
    checkRequests("trailers");
}

Test(endless_answers, endless_body_without_a_length_stays_within_memory)
{
    checkRequests("no-length");
}

Test(endless_answers, endless_interim_answers_stay_within_memory)
{
    checkRequests("interim");
}

Test(endless_answers, endless_bytes_behind_a_whole_answer_stay_within_memory)
{
    checkRequests("behind");
}

Test(endless_answers, endless_bytes_on_a_resting_connection_stay_within_memory)
{
    checkRequests("resting");
}

Test(endless_answers, endless_answers_to_other_requests_stay_within_memory)
{
    checkRequests("foreign-answers");
}

Test(endless_answers, endless_answer_to_another_request_stays_within_memory)
{
    checkRequests("foreign-body");
}

Test(endless_answers, event_without_end_stays_within_memory)
{
    checkStreams("event");
}

Test(endless_answers, stream_head_of_one_endless_line_stays_within_memory)
{
    checkStreams("head-line");
}

Test(endless_answers, endless_failure_of_a_stream_stays_within_memory)
{
    checkStreams("failure");
}

Test(endless_answers, endless_events_for_callers_that_do_not_read_stay_within_memory)
{
    TroubledDeployment troubled;
    const auto restDescriptors = troubled.descriptors();
    troubled.setTrouble(allEngines(), "events");
    const auto peak = troubled.callWithoutReading();
    troubled.setTrouble(allEngines(), "");
    checkUsage(troubled, peak, restDescriptors);
    cr_expect(support::waitUntil(
        [&] { return troubled.deployment().stream(0, "ordinary").status_ == 200; }));
}

Test(endless_answers, endless_body_of_answers_to_orders_stays_within_memory)
{
    checkOrders("control-no-length");
}

Test(endless_answers, endless_chunk_extension_in_answers_to_orders_stays_within_memory)
{
    checkOrders("control-chunk-extension");
}
