// A request that fails wherever it goes, without ending anything.
//
// Read, not seen: an endpoint that answers with a failure of its own is avoided for half a second
// or more. One request that every endpoint fails, sent again and again, had all of them avoided,
// and other callers found none. The cause is that of the requests that end endpoints: what a
// request did elsewhere was not known, so each time the endpoint was blamed.
#include "support/gateway_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Answers all calls for \p path that are under way with a failure of the endpoint's own.
void failCalls(GatewayFixture &bench, std::string_view path)
{
    for (std::size_t i = 0; i < bench.upstream_.calls_.size(); ++i) {
        const auto call = bench.upstream_.calls_[i];
        if (call->isDropped() || call->request_.target_ != path)
            continue;
        call->connect();
        call->head(500, {{"seal", "s"}});
        if (!call->isDropped())
            call->end("sorry");
    }
}

} // namespace

Test(crashing_requests, request_that_every_endpoint_fails_does_not_have_them_all_avoided)
{
    GatewayFixture bench;
    for (int i = 0; i < 6; ++i)
        bench.addGroup("head-" + std::to_string(i));
    std::size_t served = 0;
    for (int i = 0; i < 20; ++i) {
        (void)bench.ask("/stream/fails");
        failCalls(bench, "/stream/fails");
        const auto before = bench.upstream_.calls_.size();
        const auto other = bench.ask("/stream/" + std::to_string(i));
        if (bench.upstream_.calls_.size() > before) {
            ++served;
            bench.lastCall()->connect();
            bench.lastCall()->sealedHead();
            bench.lastCall()->end("");
        }
        bench.pass(milliseconds(100));
    }
    cr_assert_geq(served, 19);
}

Test(crashing_requests, endpoint_that_fails_different_requests_is_avoided)
{
    GatewayFixture bench;
    bench.addGroup("head-1");
    (void)bench.ask("/stream/1");
    failCalls(bench, "/stream/1");
    cr_assert_not(bench.loadTracker_.isUsable(VmId("head-1"), bench.clock_.now()));
}
