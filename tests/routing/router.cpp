#include "routing/fleet.hpp"

#include <cardamombay/routing/router.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::routing;
using fixture::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string longPrompt(4096, 'p');

RouteRequest requestOf(std::span<const std::uint64_t> hashes = {})
{
    return {.service_ = ServiceName("lm"), .prefixHashes_ = hashes};
}

} // namespace

Test(router, unknown_service_gives_no_group)
{
    Fleet fleet(3);
    Router router(1);

    const auto decision
        = router.choose(fleet.snapshot_, {.service_ = ServiceName("other")}, fleet.now_);

    cr_assert_null(decision.group_);
    cr_assert(decision.reason_ == RouteReason::UnknownService);
}

Test(router, group_becomes_stale_without_a_new_snapshot)
{
    Fleet fleet(1);
    Router router(1);
    const TimePoint freshUntil = fleet.group(0).freshUntil_;

    const auto before = router.choose(fleet.snapshot_, requestOf(), freshUntil - milliseconds(1));
    const auto after = router.choose(fleet.snapshot_, requestOf(), freshUntil);

    cr_assert_not_null(before.group_);
    cr_assert_null(after.group_);
    cr_assert(after.reason_ == RouteReason::AllStale);
}

Test(router, vetoed_group_gets_no_request_even_if_it_holds_the_prefix)
{
    Fleet fleet(2);
    Router router(1);
    const auto hashes = prefixHashes(longPrompt);
    router.started(fleet.group(0).group_, hashes, fleet.now_);
    router.finished(fleet.group(0).group_, {}, fleet.now_);
    fleet.group(0).isVetoed_ = true;
    fleet.publish();

    for (int i = 0; i < 50; ++i) {
        const auto decision = router.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);
        cr_assert_eq(decision.group_, &fleet.group(1));
    }
}

Test(router, prefix_follows_its_holder_while_load_is_within_the_slack)
{
    Fleet fleet(20);
    Router router(1);
    const auto hashes = prefixHashes(longPrompt);
    router.started(fleet.group(7).group_, hashes, fleet.now_);

    const auto decision = router.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);

    cr_assert_eq(decision.group_, &fleet.group(7));
    cr_assert(decision.reason_ == RouteReason::PrefixAffinity);
}

Test(router, prefix_leaves_a_group_that_is_loaded_beyond_the_slack_over_the_mean)
{
    Fleet fleet(4);
    Router router(1);
    const auto hashes = prefixHashes(longPrompt);
    // 4 in flight at each other group and 8 at this one: the mean load is 5/16, this one's 8/16.
    for (std::size_t group = 1; group < 4; ++group) {
        for (int i = 0; i < 4; ++i)
            router.started(fleet.group(group).group_, {}, fleet.now_);
    }
    for (int i = 0; i < 8; ++i)
        router.started(fleet.group(0).group_, hashes, fleet.now_);
    const auto within = router.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);

    for (int i = 0; i < 3; ++i)
        router.started(fleet.group(0).group_, hashes, fleet.now_);
    const auto beyond = router.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);

    cr_assert_eq(within.group_, &fleet.group(0));
    cr_assert_neq(beyond.group_, &fleet.group(0));
}

Test(router, own_requests_already_in_a_late_report_count_once)
{
    Fleet fleet(2);
    Router router(1);
    for (int i = 0; i < 4; ++i)
        router.started(fleet.group(0).group_, {}, fleet.now_);
    fleet.now_ += seconds(1);
    fleet.group(0).load_.running_ = 4;
    fleet.group(0).loadTakenAt_ = fleet.now_;
    fleet.group(1).load_.running_ = 6;
    fleet.group(1).loadTakenAt_ = fleet.now_;
    fleet.publish();

    const auto decision = router.choose(fleet.snapshot_, requestOf(), fleet.now_);

    cr_assert_eq(decision.group_, &fleet.group(0));
    cr_assert_float_eq(decision.candidates()[0].load_, 4.0 / 16, 1e-9);
}

Test(router, excluded_groups_are_not_tried_again)
{
    Fleet fleet(2);
    Router router(1);
    const std::vector<GroupId> tried{fleet.group(0).group_};
    auto request = requestOf();
    request.excluded_ = tried;

    const auto decision = router.choose(fleet.snapshot_, request, fleet.now_);

    cr_assert_eq(decision.group_, &fleet.group(1));
}

Test(router, resume_goes_only_to_the_same_model_version)
{
    Fleet fleet(3);
    Router router(1);
    fleet.group(2).model_.version_ = ModelVersion("2");
    const endpoint::ModelSpec wanted = fleet.group(2).model_;
    auto request = requestOf();
    request.requiredModel_ = &wanted;

    const auto decision = router.choose(fleet.snapshot_, request, fleet.now_);

    cr_assert_eq(decision.group_, &fleet.group(2));
}

Test(router, requests_stay_in_the_zone_until_it_is_loaded)
{
    Fleet fleet(4);
    fleet.group(0).zone_ = AvailabilityZone("b");
    fleet.group(1).zone_ = AvailabilityZone("b");
    Router router(1);

    const auto quiet = router.choose(fleet.snapshot_, requestOf(), fleet.now_);
    for (int i = 0; i < 16; ++i) {
        router.started(fleet.group(2).group_, {}, fleet.now_);
        router.started(fleet.group(3).group_, {}, fleet.now_);
    }
    int remoteCount = 0;
    for (int i = 0; i < 100; ++i) {
        const auto loaded = router.choose(fleet.snapshot_, requestOf(), fleet.now_);
        remoteCount += loaded.group_->zone_ == AvailabilityZone("b");
    }

    cr_assert(quiet.group_->zone_ == fleet.snapshot_.zone_);
    cr_assert_gt(remoteCount, 60);
}

Test(router, entry_vms_agree_on_the_home_of_a_prefix_they_have_not_seen)
{
    Fleet fleet(20);
    Router first(1);
    Router second(2);
    const auto hashes = prefixHashes(longPrompt);

    const auto firstChoice = first.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);
    const auto secondChoice = second.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);

    cr_assert(firstChoice.reason_ == RouteReason::PrefixHome);
    cr_assert_eq(firstChoice.group_, secondChoice.group_);
}

Test(router, pair_of_groups_is_chosen_where_the_service_splits_prefill_and_decode)
{
    Fleet fleet(4);
    fleet.group(0).role_ = endpoint::GroupRole::Prefill;
    fleet.group(1).role_ = endpoint::GroupRole::Decode;
    fleet.group(2).role_ = endpoint::GroupRole::Decode;
    fleet.group(2).domain_ = FabricDomain("a-2");
    Router router(1);

    const auto pair = router.choose(fleet.snapshot_, requestOf(), fleet.now_);
    fleet.group(1).isVetoed_ = true;
    fleet.group(2).isVetoed_ = true;
    fleet.publish();
    const auto whole = router.choose(fleet.snapshot_, requestOf(), fleet.now_);

    cr_assert_eq(pair.group_, &fleet.group(0));
    cr_assert_eq(pair.decodeGroup_, &fleet.group(1),
                 "expected the decode group in the same fabric domain");
    cr_assert_eq(whole.group_, &fleet.group(3),
                 "expected the mixed group, as no decode group is usable");
    cr_assert_null(whole.decodeGroup_);
}

Test(router, new_generation_invalidates_prefix_entries)
{
    Fleet fleet(20);
    Router router(1);
    (void)router.choose(fleet.snapshot_, requestOf(), fleet.now_);
    const auto hashes = prefixHashes(longPrompt);
    router.started(fleet.group(7).group_, hashes, fleet.now_);
    fleet.group(7).generation_ = Generation(2);
    fleet.publish();

    const auto decision = router.choose(fleet.snapshot_, requestOf(hashes), fleet.now_);

    cr_assert(decision.reason_ != RouteReason::PrefixAffinity);
}
