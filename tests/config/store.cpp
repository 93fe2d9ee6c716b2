// Racing operators, lost answers and old versions, against the store in memory.
#include "sample.hpp"
#include "support/fake_store.hpp"

#include <cardamombay/config/config_store.hpp>
#include <cardamombay/core/manual_clock.hpp>

#include <optional>

#include <criterion/criterion.h>

using namespace cardamombay;
using config::ConfigStore;
using std::chrono::seconds;
using support::sampleSources;

namespace {

/// One operator's program with a link of its own.
struct Operator
{
    Operator(ManualClock &clock, support::FakePlatform &platform, const char *name)
        : clock_(clock)
        , tables_(platform)
        , objects_(platform)
        , random_(1)
        , store_(clock, tables_, objects_, random_, {EntryId(name), Incarnation{1}})
    {
    }

    ManualClock &clock_;
    support::FakeTableStore tables_;
    support::FakeObjectStore objects_;
    Random random_;
    ConfigStore store_;

    void start(config::ConfigSources sources, std::uint64_t expected)
    {
        result_.reset();
        store_.apply({std::move(sources), ConfigVersion{expected}, {"op", "now", "why"}, {}},
                     [this](Result<ConfigVersion> result) { result_ = std::move(result); });
    }

    Result<ConfigVersion> apply(config::ConfigSources sources, std::uint64_t expected)
    {
        start(std::move(sources), expected);
        clock_.advance(seconds(30));
        cr_assert(result_.has_value(), "no answer");
        return *result_;
    }

    std::optional<Result<ConfigVersion>> result_;
};

struct Fixture
{
    ManualClock clock_;
    support::FakePlatform platform_{clock_};
    Operator first_{clock_, platform_, "op-1"};
    Operator second_{clock_, platform_, "op-2"};

    config::StoredConfig current()
    {
        std::optional<Result<config::StoredConfig>> result;
        first_.store_.fetchCurrent([&result](auto found) { result = std::move(found); });
        clock_.advance(seconds(1));
        cr_assert(result && isOk(*result));
        return valueOf(*result);
    }
};

void assertVersion(const Result<ConfigVersion> &result, std::uint64_t version)
{
    cr_assert(isOk(result), "%s", isOk(result) ? "" : messageOf(errorOf(result)).c_str());
    cr_assert_eq(valueOf(result).value(), version);
}

} // namespace

Test(store, versions_rise_by_one)
{
    Fixture fixture;

    assertVersion(fixture.first_.apply(sampleSources("one"), 0), 1);
    assertVersion(fixture.first_.apply(sampleSources("two"), 1), 2);

    cr_assert_eq(fixture.current().record_.version_.value(), 2);
    cr_assert_eq(fixture.current().record_.content_, config::encode(sampleSources("two")));
}

Test(store, one_of_two_racing_operators_wins_and_the_other_is_told)
{
    Fixture fixture;
    fixture.first_.apply(sampleSources("one"), 0);

    fixture.first_.start(sampleSources("mine"), 1);
    fixture.second_.start(sampleSources("yours"), 1);
    fixture.clock_.advance(seconds(5));

    assertVersion(*fixture.first_.result_, 2);
    cr_assert(isError<ConfigConflict>(*fixture.second_.result_));
    const auto conflict = std::get<ConfigConflict>(errorOf(*fixture.second_.result_));
    cr_assert_eq(conflict.winner_.value(), 2);
    cr_assert_eq(fixture.current().record_.content_, config::encode(sampleSources("mine")));
}

Test(store, change_on_an_old_version_is_refused_with_the_winner)
{
    Fixture fixture;
    for (std::uint64_t version = 0; version < 3; ++version)
        fixture.first_.apply(sampleSources(std::to_string(version)), version);

    const auto result = fixture.second_.apply(sampleSources("late"), 1);

    cr_assert(isError<ConfigConflict>(result));
    cr_assert_eq(std::get<ConfigConflict>(errorOf(result)).winner_.value(), 3);
}

Test(store, lost_answer_of_a_write_in_effect_is_told_as_accepted)
{
    Fixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 2;

    assertVersion(fixture.first_.apply(sampleSources("one"), 0), 1);
}

Test(store, lost_request_is_sent_again_and_takes_effect_once)
{
    Fixture fixture;
    fixture.platform_.faults_.losesRequests_ = true;
    fixture.first_.start(sampleSources("one"), 0);
    fixture.clock_.advance(seconds(1));
    fixture.platform_.faults_.losesRequests_ = false;
    fixture.clock_.advance(seconds(9));

    assertVersion(*fixture.first_.result_, 1);
    cr_assert_eq(fixture.platform_.commits_, 1);
}

Test(store, lost_answer_then_another_operators_version_is_still_told_as_accepted)
{
    Fixture fixture;
    fixture.platform_.faults_.loseNextAnswers_ = 1;
    fixture.first_.start(sampleSources("one"), 0);
    while (fixture.platform_.commits_ == 0)
        fixture.clock_.advance(std::chrono::milliseconds(1));
    fixture.first_.tables_.isCutOff_ = true;
    fixture.second_.start(sampleSources("two"), 1);
    fixture.clock_.advance(seconds(2));
    assertVersion(*fixture.second_.result_, 2);
    fixture.first_.tables_.isCutOff_ = false;
    fixture.clock_.advance(seconds(30));

    cr_assert(fixture.first_.result_.has_value());
    assertVersion(*fixture.first_.result_, 1);
}

Test(store, answer_lost_for_good_stays_unknown)
{
    Fixture fixture;
    fixture.platform_.faults_.losesAnswers_ = true;
    fixture.first_.start(sampleSources("one"), 0);
    while (fixture.platform_.commits_ == 0)
        fixture.clock_.advance(std::chrono::milliseconds(1));
    fixture.platform_.faults_.isDown_ = true;
    fixture.clock_.advance(std::chrono::minutes(1));

    cr_assert(isError<StoreAnswerLost>(*fixture.first_.result_));
}

Test(store, repeated_apply_of_the_same_content_makes_no_new_version)
{
    Fixture fixture;
    fixture.first_.apply(sampleSources("one"), 0);

    assertVersion(fixture.second_.apply(sampleSources("one"), 0), 1);
    cr_assert_eq(fixture.platform_.commits_, 1);
}

Test(store, rollback_is_a_new_version_with_the_old_content)
{
    Fixture fixture;
    fixture.first_.apply(sampleSources("one"), 0);
    fixture.first_.apply(sampleSources("two"), 1);

    std::optional<Result<ConfigVersion>> result;
    fixture.first_.store_.rollback(ConfigVersion{1}, ConfigVersion{2}, {"op", "now", "back"},
                                   [&result](auto found) { result = found; });
    fixture.clock_.advance(seconds(5));

    assertVersion(*result, 3);
    const auto current = fixture.current().record_;
    cr_assert_eq(current.content_, config::encode(sampleSources("one")));
    cr_assert_eq(current.revertTo_.value(), 1);
}

Test(store, invalid_configuration_is_never_written)
{
    Fixture fixture;
    auto sources = sampleSources();
    sources.base_.text_ += "unknown = 1\n";

    cr_assert(isError<InvalidInput>(fixture.first_.apply(sources, 0)));
    cr_assert_eq(fixture.platform_.commits_, 0);
}

Test(store, large_configuration_lies_in_the_object_store)
{
    Fixture fixture;
    const auto sources = sampleSources(std::string(ConfigStore::inlineBytes, 'x'));

    assertVersion(fixture.first_.apply(sources, 0), 1);

    const auto *row = fixture.platform_.row({"config", "current"});
    cr_assert_lt(row->value_.size(), 500);
    cr_assert_eq(fixture.current().record_.content_, config::encode(sources));
}

Test(store, changed_object_is_refused)
{
    Fixture fixture;
    fixture.first_.apply(sampleSources(std::string(ConfigStore::inlineBytes, 'x')), 0);
    fixture.platform_.objects().begin()->second += " ";

    std::optional<Result<config::StoredConfig>> result;
    fixture.first_.store_.fetchCurrent([&result](auto found) { result = std::move(found); });
    fixture.clock_.advance(seconds(1));

    cr_assert(isError<MalformedMessage>(*result));
}

Test(store, expected_version_that_never_was_is_told_apart_from_a_conflict)
{
    Fixture fixture;
    fixture.first_.apply(sampleSources("one"), 0);

    cr_assert(isError<NotFound>(fixture.first_.apply(sampleSources("two"), 9)));
}

Test(store, history_lists_the_latest_versions_in_order)
{
    Fixture fixture;
    for (std::uint64_t version = 0; version < 12; ++version)
        fixture.first_.apply(sampleSources(std::to_string(version)), version);

    std::optional<Result<std::vector<config::ConfigRecord>>> result;
    fixture.first_.store_.history(3, [&result](auto found) { result = std::move(found); });
    fixture.clock_.advance(seconds(1));

    const auto &records = valueOf(*result);
    cr_assert_eq(records.size(), 3);
    cr_assert_eq(records.front().version_.value(), 10);
    cr_assert_eq(records.back().version_.value(), 12);
}

Test(store, rows_of_old_versions_are_dropped)
{
    Fixture fixture;
    const auto versions = ConfigStore::historyLength + 2;
    for (std::uint64_t version = 0; version < versions; ++version) {
        fixture.first_.start(sampleSources(std::to_string(version)), version);
        fixture.clock_.advance(seconds(1));
    }

    cr_assert_eq(fixture.platform_.rows().size(), ConfigStore::historyLength + 1);
}
