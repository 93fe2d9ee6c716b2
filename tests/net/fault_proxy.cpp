#include "client_fixture.hpp"

#include "support/fault_proxy.hpp"
#include "support/platform_standin.hpp"

#include <cardamombay/platform/http_table_store.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;

using net::HttpResponse;
using net::HttpResult;
using std::chrono::milliseconds;
using support::ClientFixture;
using support::FaultProxy;
using support::jsonAnswer;
using support::LinkFaults;
using support::post;

namespace {

/// A client that reaches the scripted server through the proxy.
struct LinkFixture : ClientFixture
{
    LinkFixture()
        : link_(context_, server_.address())
    {
        server_.add({.bytes_ = jsonAnswer("one")});
        server_.add({.bytes_ = jsonAnswer("two")});
    }

    net::HttpRequest viaLink(std::string body, Duration timeout = std::chrono::seconds(10)) const
    {
        auto request = post(std::move(body));
        request.address_ = link_.address();
        request.timeout_ = timeout;
        return request;
    }

    FaultProxy link_;
};

struct StoreFixture
{
    StoreFixture()
        : standin_(context_)
        , link_(context_, standin_.address())
        , client_(context_)
        , tables_(client_, {link_.address(), milliseconds(300)})
    {
    }

    void commit(std::string key)
    {
        tables_.commit({WriterToken("w"), {}, {{{"claims", std::move(key)}, "{}"}}},
                       [this](const auto &result) { results_.push_back(result); });
    }

    void runUntil(std::size_t count)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (results_.size() < count && std::chrono::steady_clock::now() < limit)
            context_.run_one_for(milliseconds(50));
        cr_assert_eq(results_.size(), count);
    }

    [[nodiscard]] std::uint64_t commits() const { return standin_.counters().commits_; }

    boost::asio::io_context context_;
    support::PlatformStandin standin_;
    FaultProxy link_;
    net::AsioHttpClient client_;
    platform::HttpTableStore tables_;
    std::vector<Result<platform::CommitReceipt>> results_;
};

} // namespace

Test(fault_proxy, link_without_faults_passes_all)
{
    LinkFixture fixture;

    cr_assert_eq(fixture.response(fixture.viaLink("a")).body_, "one");
    cr_assert_eq(fixture.response(fixture.viaLink("b")).body_, "two");
    cr_assert_eq(fixture.link_.counters().connections_, 1U);
}

Test(fault_proxy, delay_counts_in_both_directions)
{
    LinkFixture fixture;
    fixture.link_.setFaults(
        {.toServer_ = {.delay_ = milliseconds(40)}, .toClient_ = {.delay_ = milliseconds(40)}});
    const auto start = std::chrono::steady_clock::now();

    (void)fixture.response(fixture.viaLink("a"));

    cr_assert(std::chrono::steady_clock::now() - start >= milliseconds(80));
}

Test(fault_proxy, dropped_request_never_arrives)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.toServer_ = {.drops_ = true}});

    const auto failure = fixture.failure(fixture.viaLink("a", milliseconds(50)));
    fixture.link_.setFaults({});
    fixture.settle(milliseconds(30));

    cr_assert(failure.isTimeout_);
    cr_assert(fixture.server_.bodies().empty());
}

Test(fault_proxy, cut_in_the_answer_comes_after_the_server_took_the_request)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.toClient_ = {.cutAfter_ = 30}});

    const auto failure = fixture.failure(fixture.viaLink("a"));

    cr_assert(failure.mayHaveLeft_);
    cr_assert_not(failure.isTimeout_);
    cr_assert_eq(fixture.server_.bodies().size(), 1U);
    cr_assert_eq(fixture.link_.counters().bytesToClient_, 30U);
}

Test(fault_proxy, cut_in_the_request_keeps_it_from_the_server)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.toServer_ = {.cutAfter_ = 20}});

    const auto failure = fixture.failure(fixture.viaLink("a"));

    cr_assert(failure.mayHaveLeft_);
    cr_assert(fixture.server_.bodies().empty());
}

Test(fault_proxy, half_open_connection_stays_silent)
{
    LinkFixture fixture;
    (void)fixture.response(fixture.viaLink("a"));

    fixture.link_.leaveHalfOpen();
    const auto failure = fixture.failure(fixture.viaLink("b", milliseconds(60)));

    cr_assert(failure.isTimeout_);
    cr_assert_eq(fixture.server_.bodies().size(), 1U);
    cr_assert_eq(fixture.response(fixture.viaLink("c")).body_, "two");
}

Test(fault_proxy, one_way_partition_delivers_late_what_the_sender_gave_up)
{
    StoreFixture fixture;
    fixture.link_.setFaults({.toServer_ = {.isPartitioned_ = true}});
    fixture.commit("a");
    fixture.runUntil(1);
    cr_assert(isError<StoreAnswerLost>(fixture.results_[0]));
    cr_assert_eq(fixture.commits(), 0U);

    fixture.link_.setFaults({});
    fixture.context_.restart();
    fixture.context_.run_for(milliseconds(50));

    cr_assert_eq(fixture.commits(), 1U);
}

Test(fault_proxy, partition_of_answers_lets_the_write_take_effect)
{
    StoreFixture fixture;
    fixture.link_.setFaults({.toClient_ = {.isPartitioned_ = true}});

    fixture.commit("a");
    fixture.runUntil(1);

    cr_assert(isError<StoreAnswerLost>(fixture.results_[0]));
    cr_assert_eq(fixture.commits(), 1U);
}

Test(fault_proxy, duplicated_answer_does_not_reach_the_next_commit)
{
    StoreFixture fixture;
    fixture.link_.setFaults({.duplicateAnswers_ = 1});
    fixture.commit("a");
    fixture.runUntil(1);
    fixture.commit("b");
    fixture.runUntil(2);

    cr_assert(isOk(fixture.results_[0]));
    cr_assert_not(isOk(fixture.results_[1])
                  && valueOf(fixture.results_[1]).version_
                         == valueOf(fixture.results_[0]).version_);
}

Test(fault_proxy, replayed_answer_fools_a_client_that_sends_no_id)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.replayAnswers_ = 1});

    (void)fixture.response(fixture.viaLink("a"));

    cr_assert_eq(fixture.response(fixture.viaLink("b")).body_, "one");
}

Test(fault_proxy, replayed_answer_leaves_the_next_commit_unknown)
{
    StoreFixture fixture;
    fixture.link_.setFaults({.replayAnswers_ = 1});
    fixture.commit("a");
    fixture.runUntil(1);
    fixture.commit("b");
    fixture.runUntil(2);
    fixture.commit("c");
    fixture.runUntil(3);

    cr_assert(isOk(fixture.results_[0]));
    cr_assert(isError<StoreAnswerLost>(fixture.results_[1]));
    cr_assert(isOk(fixture.results_[2]));
}

Test(fault_proxy, exchanged_answers_leave_both_commits_unknown)
{
    StoreFixture fixture;
    fixture.link_.setFaults({.swapAnswers_ = 1});
    fixture.commit("a");
    fixture.commit("b");
    fixture.runUntil(2);

    cr_assert_eq(fixture.commits(), 2U);
    cr_assert(isError<StoreAnswerLost>(fixture.results_[0]));
    cr_assert(isError<StoreAnswerLost>(fixture.results_[1]));
}

Test(fault_proxy, exchanged_answers_reach_the_other_caller)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.swapAnswers_ = 1});
    std::string first;
    fixture.client_.send(fixture.viaLink("a"), [&](HttpResult result) {
        first = std::get<HttpResponse>(result).body_;
        fixture.results_.push_back(std::move(result));
    });
    fixture.settle(milliseconds(50));
    fixture.start(fixture.viaLink("b"));
    fixture.runUntil(2);

    cr_assert_eq(first, "two");
}

Test(fault_proxy, bandwidth_is_bounded)
{
    LinkFixture fixture;
    support::ScriptedServer large(fixture.context_,
                                  {{.bytes_ = jsonAnswer(std::string(20000, 'x'))}});
    FaultProxy link(fixture.context_, large.address());
    link.setFaults({.toClient_ = {.bytesPerSecond_ = 100000}});
    auto request = fixture.viaLink("a");
    request.address_ = link.address();
    const auto start = std::chrono::steady_clock::now();

    const auto response = fixture.response(request);

    cr_assert_eq(response.body_.size(), 20000U);
    cr_assert(std::chrono::steady_clock::now() - start >= milliseconds(180));
}

Test(fault_proxy, refused_connection_ends_at_once)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.refusesConnections_ = true});

    cr_assert_not(fixture.failure(fixture.viaLink("a")).isTimeout_);
    cr_assert(fixture.server_.bodies().empty());
}

Test(fault_proxy, ignored_connection_is_silent)
{
    LinkFixture fixture;
    fixture.link_.setFaults({.ignoresConnections_ = true});

    cr_assert(fixture.failure(fixture.viaLink("a", milliseconds(50))).isTimeout_);
    cr_assert(fixture.server_.bodies().empty());
}
