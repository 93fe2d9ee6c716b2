#include <cardamombay/claims/claim_expiry.hpp>
#include <cardamombay/claims/claim_row.hpp>

#include "claims/fleet.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::claims;
using std::chrono::hours;
using std::chrono::minutes;

namespace {

/// Entry VMs that run the expiry with periods of 1 hour, 3 of which are kept.
struct ExpiryFixture
{
    explicit ExpiryFixture(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            add();
    }

    void add()
    {
        ++started_;
        ExpiryPolicy policy;
        policy.keptPeriods_ = 3;
        policy.pageRows_ = 2;
        tables_.push_back(std::make_unique<support::FakeTableStore>(platform_));
        platform::WriterTokens tokens(EntryId("e" + std::to_string(started_)), Incarnation(1));
        watchers_.push_back(std::make_unique<ClaimExpiry>(clock_, *tables_.back(), random_,
                                                          std::move(tokens), policy));
        watchers_.back()->start();
    }

    void putClaim(const std::string &key)
    {
        platform_.apply({WriterToken("w"), {}, {{{std::string(claimTable), key}, "{}"}}});
    }

    [[nodiscard]] bool hasClaim(const std::string &key) const
    {
        return platform_.row({std::string(claimTable), key}) != nullptr;
    }

    std::uint64_t number() const
    {
        return valueOf(decodeClaimPeriods(platform_.row(periodRowKey())->value_)).number_;
    }

    ManualClock clock_;
    support::FakePlatform platform_{clock_};
    Random random_{5};
    std::uint64_t started_ = 0;
    std::vector<std::unique_ptr<support::FakeTableStore>> tables_;
    std::vector<std::unique_ptr<ClaimExpiry>> watchers_;
};

} // namespace

Test(claim_expiry, claim_is_kept_for_all_kept_periods_and_then_deleted)
{
    ExpiryFixture fixture(3);
    fixture.clock_.advance(minutes(30));
    for (const char *key : {"a", "b", "c", "d", "e"})
        fixture.putClaim(key);

    fixture.clock_.advance(hours(3));
    cr_assert(fixture.hasClaim("a") && fixture.hasClaim("e"));

    fixture.clock_.advance(hours(3));
    cr_assert_not(fixture.hasClaim("a"));
    cr_assert_not(fixture.hasClaim("e"));
}

Test(claim_expiry, periods_are_begun_once_however_many_watch)
{
    ExpiryFixture fixture(7);

    fixture.clock_.advance(hours(10));

    cr_assert_leq(fixture.number(), 11);
    cr_assert_geq(fixture.number(), 7);
}

Test(claim_expiry, restarting_entries_never_shorten_a_period)
{
    ExpiryFixture fixture(2);
    fixture.clock_.advance(minutes(30));
    fixture.putClaim("a");
    for (int i = 0; i < 18; ++i) {
        fixture.clock_.advance(minutes(10));
        fixture.watchers_.clear();
        fixture.add();
        fixture.add();
        fixture.watchers_.front()->start();
    }

    cr_assert(fixture.hasClaim("a"));
    cr_assert_leq(fixture.number(), 2);
}

Test(claim_expiry, claim_that_ended_late_is_kept_from_its_end)
{
    ExpiryFixture fixture(2);
    fixture.clock_.advance(minutes(30));
    fixture.putClaim("a");
    fixture.clock_.advance(hours(3));
    fixture.putClaim("a");

    fixture.clock_.advance(hours(3));

    cr_assert(fixture.hasClaim("a"));
}

Test(claim_expiry, lost_answer_begins_one_period_and_outage_deletes_nothing)
{
    ExpiryFixture fixture(1);
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    fixture.clock_.advance(minutes(20));
    cr_assert_eq(fixture.number(), 1);
    fixture.putClaim("a");

    fixture.platform_.faults_.isDown_ = true;
    fixture.clock_.advance(hours(20));

    cr_assert(fixture.hasClaim("a"));
    cr_assert_eq(fixture.number(), 1);
}
