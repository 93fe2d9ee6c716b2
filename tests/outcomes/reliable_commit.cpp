#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/platform/reliable_commit.hpp>

#include "support/fake_store.hpp"

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RowKey key{"leases", "d1"};

struct CommitFixture
{
    ManualClock clock_;
    support::FakePlatform platform_{clock_};
    support::FakeTableStore store_{platform_};
    Random random_{7};
    WriterTokens tokens_{EntryId("e1"), Incarnation(3)};
    ReliableCommit commit_{clock_, store_, random_};
    std::optional<Result<CommitReceipt>> answer_;

    Transaction makeWrite(const std::string &value)
    {
        const Row *row = platform_.row(key);
        return {tokens_.next(), {{key, row ? row->version_ : RowVersion{}}}, {{key, value}}};
    }

    void start(Transaction transaction)
    {
        commit_.commit(std::move(transaction),
                       [this](Result<CommitReceipt> result) { answer_ = std::move(result); });
    }

    void overwrite(const std::string &writer)
    {
        platform_.apply({WriterToken(writer), {}, {{key, "theirs"}}});
    }
};

/// Table store that throttles the first commit for three seconds.
class ThrottlingStore final : public TableStore
{
public:
    ThrottlingStore(Clock &clock, support::FakePlatform &platform)
        : clock_(clock)
        , inner_(platform)
    {
    }

    int tries_ = 0;

    void commit(Transaction transaction, Callback<CommitReceipt> done) override
    {
        if (++tries_ > 1) {
            inner_.commit(std::move(transaction), std::move(done));
            return;
        }
        clock_.schedule(Duration::zero(), [done] {
            done(Error(StoreThrottled{"commit", seconds(3)}));
        });
    }
    void read(std::vector<RowKey> keys, Callback<std::vector<Row>> done) override
    {
        inner_.read(std::move(keys), std::move(done));
    }
    void scan(Scan scan, Callback<ScanPage> done) override
    {
        inner_.scan(std::move(scan), std::move(done));
    }

private:
    Clock &clock_;
    support::FakeTableStore inner_;
};

} // namespace

Test(reliable_commit, writer_tokens_differ)
{
    WriterTokens tokens(EntryId("e1"), Incarnation(3));

    cr_assert_eq(tokens.next().text(), "e1.3.1");
    cr_assert_eq(tokens.next().text(), "e1.3.2");
}

Test(reliable_commit, lost_answer_after_the_effect_is_found_by_the_token)
{
    CommitFixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;

    fixture.start(fixture.makeWrite("mine"));
    fixture.clock_.advance(seconds(1));

    cr_assert(isOk(*fixture.answer_));
    cr_assert_eq(fixture.platform_.commits_, 1);
    cr_assert(valueOf(*fixture.answer_).version_ == fixture.platform_.row(key)->version_);
}

Test(reliable_commit, lost_request_is_carried_out_by_the_retry)
{
    CommitFixture fixture;
    fixture.platform_.faults_.losesRequests_ = true;
    fixture.start(fixture.makeWrite("mine"));
    fixture.clock_.advance(milliseconds(100));
    cr_assert_not(fixture.answer_.has_value());

    fixture.platform_.faults_.losesRequests_ = false;
    fixture.clock_.advance(seconds(1));

    cr_assert(isOk(*fixture.answer_));
    cr_assert_eq(fixture.platform_.commits_, 1);
}

Test(reliable_commit, conflict_without_a_lost_answer_is_a_conflict)
{
    CommitFixture fixture;
    auto transaction = fixture.makeWrite("mine");
    fixture.overwrite("other.1.1");

    fixture.start(std::move(transaction));
    fixture.clock_.advance(seconds(1));

    cr_assert(isError<StoreConflict>(*fixture.answer_));
}

Test(reliable_commit, row_replaced_after_a_lost_answer_stays_unknown)
{
    CommitFixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    fixture.start(fixture.makeWrite("mine"));
    fixture.clock_.advance(milliseconds(5));
    fixture.overwrite("other.1.1");

    fixture.clock_.advance(seconds(1));

    cr_assert(isError<StoreAnswerLost>(*fixture.answer_));
    cr_assert_eq(fixture.commit_.counts().unresolved_, 1);
}

Test(reliable_commit, another_row_of_the_transaction_can_prove_the_effect)
{
    CommitFixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    auto transaction = fixture.makeWrite("mine");
    transaction.writes_.push_back({{"vms", "vm-1"}, "mine"});
    fixture.start(std::move(transaction));
    fixture.clock_.advance(milliseconds(5));
    fixture.overwrite("other.1.1");

    fixture.clock_.advance(seconds(1));

    cr_assert(isOk(*fixture.answer_));
}

Test(reliable_commit, commit_with_a_lost_answer_completes_after_an_outage)
{
    CommitFixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    fixture.start(fixture.makeWrite("mine"));
    fixture.clock_.advance(milliseconds(6));
    fixture.platform_.faults_.isDown_ = true;
    fixture.clock_.advance(seconds(3));
    cr_assert_not(fixture.answer_.has_value());

    fixture.platform_.faults_.isDown_ = false;
    fixture.clock_.advance(seconds(3));

    cr_assert(isOk(*fixture.answer_));
}

Test(reliable_commit, deadline_after_a_lost_answer_gives_unknown_not_unavailable)
{
    CommitFixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    fixture.start(fixture.makeWrite("mine"));
    fixture.clock_.advance(milliseconds(6));
    fixture.platform_.faults_.isDown_ = true;

    fixture.clock_.advance(seconds(20));

    cr_assert(isError<StoreAnswerLost>(*fixture.answer_));
}

Test(reliable_commit, outage_without_a_lost_answer_is_reported_at_once)
{
    CommitFixture fixture;
    fixture.platform_.faults_.isDown_ = true;

    fixture.start(fixture.makeWrite("mine"));
    fixture.clock_.advance(milliseconds(6));

    cr_assert(isError<StoreUnavailable>(*fixture.answer_));
}

Test(reliable_commit, transaction_that_could_take_effect_twice_is_refused)
{
    CommitFixture fixture;

    fixture.start({fixture.tokens_.next(), {}, {{key, "mine"}}});
    cr_assert_not(fixture.answer_.has_value());
    fixture.clock_.runDue();

    cr_assert(isError<InvalidInput>(*fixture.answer_));
    cr_assert_eq(fixture.platform_.commits_, 0);
}

Test(reliable_commit, throttled_commit_waits_as_long_as_the_store_asks)
{
    ManualClock clock;
    support::FakePlatform platform(clock);
    ThrottlingStore store(clock, platform);
    Random random(1);
    ReliableCommit commit(clock, store, random);
    std::optional<Result<CommitReceipt>> answer;
    commit.commit({WriterToken("t"), {{key, {}}}, {{key, "x"}}},
                  [&](Result<CommitReceipt> result) { answer = std::move(result); });

    clock.advance(milliseconds(2900));
    cr_assert_eq(store.tries_, 1);
    clock.advance(seconds(2));

    cr_assert(isOk(*answer));
    cr_assert_eq(store.tries_, 2);
}

Test(reliable_commit, destroyed_while_a_commit_runs_calls_nothing)
{
    ManualClock clock;
    support::FakePlatform platform(clock);
    support::FakeTableStore store(platform);
    Random random(1);
    bool isCalled = false;
    {
        ReliableCommit commit(clock, store, random);
        commit.commit({WriterToken("t"), {{key, {}}}, {{key, "x"}}},
                      [&](const Result<CommitReceipt> &) { isCalled = true; });
    }

    clock.advance(seconds(1));

    cr_assert_not(isCalled);
}
