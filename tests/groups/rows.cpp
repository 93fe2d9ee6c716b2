#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/groups/group_cache.hpp>

#include "support/fake_store.hpp"

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::groups;
using namespace cardamombay::support;
using std::chrono::seconds;

namespace {

GroupRow sampleRow(std::uint64_t generation = 1)
{
    GroupRow row;
    row.group_ = slotId(ServiceName("lm"), AvailabilityZone("zone"), 3);
    row.service_ = ServiceName("lm");
    row.zone_ = AvailabilityZone("zone");
    row.domain_ = FabricDomain("fabric-0");
    row.generation_ = Generation(generation);
    row.members_ = {VmId("vm-2"), VmId("vm-1")};
    row.model_ = {ModelName("m"), ModelVersion("1"), {"adapter"}};
    row.vmsPerReplica_ = 2;
    row.epoch_ = Epoch(5);
    row.reason_ = "test";
    return row;
}

platform::Transaction put(const platform::RowKey &key, std::string value)
{
    platform::Transaction transaction;
    transaction.writer_ = WriterToken("test");
    transaction.writes_.push_back({key, std::move(value)});
    return transaction;
}

} // namespace

Test(group_row, round_trips_through_json)
{
    const auto decoded = decodeGroupRow(encode(sampleRow()));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == sampleRow());
}

Test(group_row, malformed_text_is_an_error)
{
    for (const auto *text : {"", "[]", "{\"group\":3}", "{"})
        cr_assert(isError<MalformedMessage>(decodeGroupRow(text)), "%s", text);
    std::string unknownPhase = encode(sampleRow());
    unknownPhase.replace(unknownPhase.find("forming"), 7, "flying!");
    cr_assert(isError<MalformedMessage>(decodeGroupRow(unknownPhase)));
}

Test(group_row, slot_number_is_read_from_the_name)
{
    cr_assert(slotNumber(sampleRow().group_) == 3U);
    cr_assert_not(slotNumber(GroupId("lm/zone/x")).has_value());
    cr_assert_not(slotNumber(GroupId("plain")).has_value());
}

Test(group_row, member_matches_only_with_its_own_rank_generation_and_model)
{
    const GroupRow row = sampleRow();
    endpoint::EndpointState state;
    state.vm_ = VmId("vm-1");
    state.phase_ = endpoint::EnginePhase::Ready;
    state.assignment_ = endpoint::Assignment{row.group_, row.generation_, 1};
    state.model_ = row.model_;
    cr_assert(row.isMatchedBy(state));

    auto otherRank = state;
    otherRank.assignment_->rank_ = 0;
    auto otherGeneration = state;
    otherGeneration.assignment_->generation_ = Generation(2);
    auto otherModel = state;
    otherModel.model_.adapters_.clear();
    auto stillLoading = state;
    stillLoading.phase_ = endpoint::EnginePhase::Loading;

    for (const auto &each : {otherRank, otherGeneration, otherModel, stillLoading})
        cr_assert_not(row.isMatchedBy(each));
}

Test(vm_row, round_trips_through_json)
{
    const VmRow row{VmId("vm-1"), FabricDomain("f"), GroupId("lm/z/0"), Generation(4), Epoch(2)};

    const auto decoded = decodeVmRow(encode(row));

    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == row);
    cr_assert(isError<MalformedMessage>(decodeVmRow("{}")));
}

Test(group_cache, stale_row_never_reverts_a_newer_one)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore store(platform);
    GroupCache cache(clock, store, Random(1));
    cache.apply(sampleRow(2), RowVersion(10));

    cache.apply(sampleRow(1), RowVersion(9));

    cr_assert_eq(cache.group(sampleRow().group_)->content_.generation_.value(), 2U);
}

Test(group_cache, refresh_reads_only_what_changed)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore store(platform);
    GroupCache cache(clock, store, Random(1));
    int changes = 0;
    cache.onChange([&] { ++changes; });
    (void)platform.apply(put(groupKey(sampleRow().group_), encode(sampleRow())));
    cache.start();
    clock.advance(seconds(5));
    cr_assert_eq(cache.groupsOf(ServiceName("lm")).size(), 1U);
    cr_assert_eq(changes, 1);

    (void)platform.apply(put(groupKey(sampleRow().group_), encode(sampleRow(2))));
    clock.advance(seconds(3));

    cr_assert_eq(changes, 2);
    cr_assert(cache.syncedVersion() == platform.version());
}

Test(group_cache, reads_every_page_of_a_long_table)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore store(platform);
    for (int number = 0; number < 2500; ++number) {
        const VmRow row{VmId("vm-" + std::to_string(number)), FabricDomain("f"), {}, {}, {}};
        (void)platform.apply(put(vmKey(row.vm_), encode(row)));
    }
    GroupCache cache(clock, store, Random(1));

    cache.start();
    clock.advance(seconds(1));

    cr_assert_eq(cache.vms().size(), 2500U);
}

Test(group_cache, age_grows_during_an_outage_and_the_rows_stay)
{
    ManualClock clock;
    FakePlatform platform(clock);
    FakeTableStore store(platform);
    (void)platform.apply(put(groupKey(sampleRow().group_), encode(sampleRow())));
    GroupCache cache(clock, store, Random(1));
    cache.start();
    clock.advance(seconds(2));

    platform.faults_.isDown_ = true;
    clock.advance(seconds(60));

    cr_assert(cache.age() >= seconds(59));
    cr_assert_eq(cache.groups().size(), 1U);
    platform.faults_.isDown_ = false;
    clock.advance(seconds(10));
    cr_assert(cache.age() < seconds(3));
}
