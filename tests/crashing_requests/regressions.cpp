// Guards against a request that crashes every endpoint that runs it.
//
// Observed failure: three times in a day, callers of one model got no answer for about 15 s, while
// all other kinds of request were served. 24 to 29 engines crashed each time, each with up to 60
// other requests. One request crashed an engine, its session retried it on the next one, and the
// caller repeated it with a new request id at other entry VMs. Only the session knew of the
// crashes, and its state ended with the answer, so requests with the same path, caller and body
// were sent 15 to 18 more times after three crashes, reaching each engine 0.01 to 0.06 s before it
// crashed.
#include "support/node_fleet.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Maximum number of sends that may be in flight or retried after three endpoints have crashed.
constexpr std::size_t maxFurtherSends = 3;

/// Crashes the endpoints of all new calls for \p path as they start to run it.
/// \returns the number of crashed endpoints.
std::size_t crashCalls(FakeUpstream &upstream, std::string_view path,
                       const std::function<void(const std::string &)> &ended)
{
    std::size_t result = 0;
    // A failed call triggers the next one.
    for (std::size_t i = 0; i < upstream.calls_.size(); ++i) {
        const auto call = upstream.calls_[i];
        if (call->isDropped() || call->request_.target_ != path)
            continue;
        // Connect before marking the endpoint as crashed, since a refused connection gets no
        // request.
        cr_assert(call->connect());
        upstream.ended_.insert(call->request_.address_);
        ended(call->field("endpoint"));
        call->fail(true);
        ++result;
    }
    return result;
}

/// A fleet of entry VMs with forty groups.
struct Fleet
{
    explicit Fleet(std::size_t entries)
        : fleet_(entries, entries > 7 ? 5 : 3, 2, 11)
    {
        for (int i = 0; i < 40; ++i)
            fleet_.listGroup("head-" + std::to_string(i));
        fleet_.configure(1, {"key-a"});
        fleet_.start();
        fleet_.pass(seconds(4));
    }

    /// Sends the request to an entry VM; every endpoint that receives it crashes.
    std::size_t arrive(std::size_t index)
    {
        auto &node = fleet_.node(index % fleet_.size());
        (void)askAt(node.gateway_, "/stream/crash", "m", "key-a");
        return crashCalls(node.upstream_, "/stream/crash",
                          [this](const std::string &endpoint) { fleet_.list(endpoint, ""); });
    }

    NodeFleet fleet_;
};

} // namespace

Test(crashing_requests, request_that_crashed_three_endpoints_is_not_sent_any_more)
{
    GatewayFixture fixture;
    for (int i = 0; i < 40; ++i)
        fixture.addGroup("head-" + std::to_string(i));
    std::size_t reached = 0;
    for (int i = 0; i < 10; ++i) {
        (void)fixture.ask("/stream/crash");
        reached += crashCalls(fixture.upstream_, "/stream/crash", [&](const std::string &endpoint) {
            fixture.endpointRegistry_.remove(VmId(endpoint), fixture.clock_.now());
        });
        fixture.pass(milliseconds(300));
    }
    cr_assert_leq(reached, 3 + maxFurtherSends);
}

Test(crashing_requests, all_entry_vms_know_a_crashing_request_within_a_second)
{
    for (const std::size_t entries : {7U, 40U, 195U}) {
        Fleet fixture(entries);
        std::size_t before = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            before += fixture.arrive(i * 2);
            fixture.fleet_.pass(milliseconds(300));
        }
        cr_assert_geq(before, 3);
        fixture.fleet_.pass(milliseconds(700));
        std::size_t more = 0;
        for (std::size_t i = 0; i < entries; ++i)
            more += fixture.arrive(i);
        cr_assert_leq(more, maxFurtherSends, "%zu endpoints crashed in requests at %zu entry VMs",
                      more, entries);
    }
}

Test(crashing_requests, entry_vms_know_crashing_requests_after_a_restart_of_all)
{
    Fleet before(7);
    for (std::size_t i = 0; i < 3; ++i) {
        (void)before.arrive(i);
        before.fleet_.pass(milliseconds(300));
    }
    before.fleet_.pass(seconds(3));
    NodeFleet after(7, 3, 2, 12);
    for (const auto &[key, row] : before.fleet_.platform_.rows()) {
        platform::Transaction transaction;
        transaction.writes_.push_back({key, row.value_});
        (void)after.platform_.apply(transaction);
    }
    after.start(false);
    after.pass(seconds(1));
    std::size_t more = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
        auto &node = after.node(i);
        (void)askAt(node.gateway_, "/stream/crash", "m", "key-a");
        more += crashCalls(node.upstream_, "/stream/crash", [](const std::string &) {});
    }
    cr_assert_leq(more, maxFurtherSends);
}
