#include "platform_fixture.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::PlatformFaults;
using support::PlatformFixture;

namespace {

const RowKey config{"config", "current"};

Transaction writeOf(std::string value, RowVersion expected = {}, std::string writer = "w-1")
{
    return {WriterToken(std::move(writer)), {{config, expected}}, {{config, std::move(value)}}};
}

bool isStored(const PlatformFixture &fixture)
{
    return fixture.standin_.content().row(config) != nullptr;
}

} // namespace

Test(http_table_store, commit_writes_rows_that_reads_return)
{
    PlatformFixture fixture;

    const auto receipt = fixture.commit(writeOf("{\"text\": \"caf\u00e9 \\\"\"}"));
    const auto rows = fixture.read({config, {"config", "absent"}});

    cr_assert(isOk(receipt));
    cr_assert_eq(valueOf(rows).size(), 1U);
    const Row &row = valueOf(rows).front();
    cr_assert(row.key_ == config);
    cr_assert_eq(row.value_, "{\"text\": \"caf\u00e9 \\\"\"}");
    cr_assert(row.version_ == valueOf(receipt).version_);
    cr_assert(row.writer_ == WriterToken("w-1"));
}

Test(http_table_store, failed_condition_names_the_winner_and_writes_nothing)
{
    PlatformFixture fixture;
    const auto first = fixture.commit(writeOf("a", {}, "winner"));
    auto losing = writeOf("b", {}, "loser");
    losing.writes_.push_back({{"vms", "vm-1"}, "{}"});

    const auto result = fixture.commit(losing);

    cr_assert(isError<StoreConflict>(result));
    const auto &conflict = std::get<StoreConflict>(errorOf(result));
    cr_assert(conflict.found_ == valueOf(first).version_);
    cr_assert(conflict.expected_.isNone());
    cr_assert(conflict.writer_ == WriterToken("winner"));
    cr_assert(fixture.standin_.content().row({"vms", "vm-1"}) == nullptr);
}

Test(http_table_store, write_without_value_deletes_the_row)
{
    PlatformFixture fixture;
    const auto first = fixture.commit(writeOf("a"));

    (void)fixture.commit(
        {WriterToken("w-2"), {{config, valueOf(first).version_}}, {{config, std::nullopt}}});

    cr_assert(valueOf(fixture.read({config})).empty());
}

Test(http_table_store, scan_pages_in_order_within_prefix_and_change)
{
    PlatformFixture fixture;
    Transaction many{WriterToken("w"), {}, {}};
    for (const char *key : {"a/3", "a/1", "a/2", "b/1"})
        many.writes_.push_back({{"groups", key}, "{}"});
    const auto first = fixture.commit(many);
    (void)fixture.commit({WriterToken("w-2"), {}, {{{"groups", "a/2"}, "new"}}});

    const auto page = valueOf(fixture.scan({"groups", "a/", "", {}, 2}));
    const auto rest = valueOf(fixture.scan({"groups", "a/", "a/2", {}, 2}));
    const auto changed = valueOf(fixture.scan({"groups", "a/", "", valueOf(first).version_, 10}));

    cr_assert_eq(page.rows_.size(), 2U);
    cr_assert_eq(page.rows_[1].key_.key_, "a/2");
    cr_assert_not(page.isLast_);
    cr_assert_eq(rest.rows_.size(), 1U);
    cr_assert(rest.isLast_);
    cr_assert_eq(changed.rows_.size(), 1U);
    cr_assert_eq(changed.rows_[0].value_, "new");
    cr_assert_eq(changed.storeVersion_.value(), 2U);
}

Test(http_table_store, lost_answer_is_unknown_though_the_write_took_effect)
{
    PlatformFixture fixture;
    fixture.standin_.setFaults({.loseNextAnswers_ = 1});

    const auto result = fixture.commit(writeOf("a"));
    const auto rows = fixture.read({config});

    cr_assert(isError<StoreAnswerLost>(result));
    cr_assert(valueOf(rows).front().writer_ == WriterToken("w-1"));
}

Test(http_table_store, lost_request_is_unknown_and_wrote_nothing)
{
    PlatformFixture fixture;
    fixture.standin_.setFaults({.losesRequests_ = true});

    cr_assert(isError<StoreAnswerLost>(fixture.commit(writeOf("a"))));
    cr_assert_not(isStored(fixture));
}

Test(http_table_store, silent_store_is_unknown_for_a_commit_and_unavailable_for_a_read)
{
    PlatformFixture fixture({}, milliseconds(50));
    fixture.standin_.setFaults({.isSilent_ = true});

    cr_assert(isError<StoreAnswerLost>(fixture.commit(writeOf("a"))));
    cr_assert(isError<StoreUnavailable>(fixture.read({config})));
    cr_assert(isError<StoreUnavailable>(fixture.scan({"config", "", "", {}, 10})));
}

Test(http_table_store, store_that_is_down_took_nothing)
{
    PlatformFixture fixture;
    fixture.standin_.setFaults({.isDown_ = true});

    cr_assert(isError<StoreUnavailable>(fixture.commit(writeOf("a"))));
    cr_assert(isError<StoreUnavailable>(fixture.read({config})));
    cr_assert_not(isStored(fixture));
}

Test(http_table_store, refused_connection_took_nothing)
{
    PlatformFixture fixture;
    const Address address = fixture.standin_.address();
    HttpTableStore elsewhere(fixture.client_, {{"127.0.0.9", address.port_}});

    const auto result = support::await<CommitReceipt>(
        fixture.context_, [&](auto done) { elsewhere.commit(writeOf("a"), std::move(done)); });

    cr_assert(isError<StoreUnavailable>(result));
}

Test(http_table_store, throttled_commit_wrote_nothing_and_says_when_to_return)
{
    PlatformFixture fixture({.writesPerSecond_ = 1});
    (void)fixture.commit({WriterToken("w-0"), {}, {}});

    const auto result = fixture.commit(writeOf("a"));

    cr_assert(isError<StoreThrottled>(result));
    cr_assert_eq(std::get<StoreThrottled>(errorOf(result)).retryAfter_, Duration(seconds(1)));
    cr_assert_not(isStored(fixture));
}

Test(http_table_store, slow_store_answers_within_the_timeout)
{
    PlatformFixture fixture;
    fixture.standin_.setFaults({.delay_ = milliseconds(80)});
    const auto start = std::chrono::steady_clock::now();

    const auto result = fixture.commit(writeOf("a"));

    cr_assert(isOk(result));
    cr_assert(std::chrono::steady_clock::now() - start >= milliseconds(80));
}

Test(http_table_store, frozen_reads_are_stale_but_commits_are_not)
{
    PlatformFixture fixture;
    const auto first = fixture.commit(writeOf("old"));
    fixture.standin_.setFaults({.freezesReads_ = true});

    const auto second = fixture.commit(writeOf("new", valueOf(first).version_));
    const auto stale = fixture.read({config});
    const auto conflict = fixture.commit(writeOf("newer", valueOf(first).version_));

    cr_assert(isOk(second));
    cr_assert_eq(valueOf(stale).front().value_, "old");
    cr_assert(isError<StoreConflict>(conflict));
}

Test(http_table_store, transaction_past_the_size_limit_is_refused_whole)
{
    PlatformFixture fixture;

    const auto result = fixture.commit(writeOf(std::string(std::size_t{2} << 20U, 'x')));

    cr_assert(isError<StoreUnavailable>(result));
    cr_assert_not(isStored(fixture));
}

Test(http_table_store, garbled_answer_to_a_commit_is_unknown)
{
    PlatformFixture fixture;
    fixture.standin_.setFaults({.garblesAnswers_ = true});

    cr_assert(isError<StoreAnswerLost>(fixture.commit(writeOf("a"))));
    cr_assert(isStored(fixture));
    cr_assert(isError<StoreUnavailable>(fixture.read({config})));
}
