#include "routing/fleet.hpp"

#include <cardamombay/routing/router.hpp>

#include <memory>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::routing;
using fixture::Fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

RouteRequest request()
{
    return {.service_ = ServiceName("lm")};
}

void serve(Router &router, Fleet &fleet, std::size_t group, Duration timePerToken, int count)
{
    for (int i = 0; i < count; ++i) {
        router.started(fleet.group(group).group_, {}, fleet.now_);
        router.finished(fleet.group(group).group_, {milliseconds(300), true, timePerToken},
                        fleet.now_);
    }
}

} // namespace

Test(stragglers, slow_group_is_ejected_temporarily)
{
    Fleet fleet(4);
    Router router(1);
    for (std::size_t group = 0; group < 4; ++group)
        serve(router, fleet, group, group == 2 ? milliseconds(200) : milliseconds(40), 8);

    for (int i = 0; i < 50; ++i) {
        const auto decision = router.choose(fleet.snapshot_, request(), fleet.now_);
        cr_assert_neq(decision.group_, &fleet.group(2));
        cr_assert_eq(decision.skipped_.ejected_, 1);
    }
    fleet.now_ += seconds(15);
    cr_assert_eq(router.choose(fleet.snapshot_, request(), fleet.now_).usable_, 4);
}

Test(stragglers, group_that_comes_back_slow_is_ejected_again_for_longer)
{
    Fleet fleet(4);
    Router router(1);
    for (std::size_t group = 0; group < 4; ++group)
        serve(router, fleet, group, group == 2 ? milliseconds(200) : milliseconds(40), 8);
    (void)router.choose(fleet.snapshot_, request(), fleet.now_);
    fleet.now_ += seconds(15);

    serve(router, fleet, 2, milliseconds(200), 2);
    (void)router.choose(fleet.snapshot_, request(), fleet.now_);
    fleet.now_ += seconds(29);

    cr_assert_eq(router.choose(fleet.snapshot_, request(), fleet.now_).skipped_.ejected_, 1);
}

Test(stragglers, ejection_keeps_the_minimum_capacity)
{
    Fleet fleet(10);
    for (std::size_t group = 0; group < 6; ++group)
        fleet.group(group).isStraggler_ = true;
    Router router(1);

    const auto decision = router.choose(fleet.snapshot_, request(), fleet.now_);

    cr_assert_eq(decision.skipped_.ejected_, 3);
    cr_assert_eq(decision.usable_, 7);
}

Test(stragglers, ejected_group_is_used_if_no_other_is_left)
{
    Fleet fleet(4);
    fleet.group(0).isStraggler_ = true;
    Router router(1);
    const std::vector<GroupId> excluded{fleet.group(1).group_, fleet.group(2).group_,
                                        fleet.group(3).group_};
    auto asked = request();
    asked.excluded_ = excluded;

    const auto decision = router.choose(fleet.snapshot_, asked, fleet.now_);

    cr_assert_eq(decision.group_, &fleet.group(0));
}

Test(stragglers, late_first_tokens_alone_do_not_eject_a_group_of_a_model)
{
    Fleet fleet(4);
    auto configuration = std::make_shared<config::Configuration>();
    configuration->services_.emplace_back();
    configuration->services_[0].name_ = ServiceName("lm");
    fleet.snapshot_.configuration_ = configuration;
    Router router(1);
    (void)router.choose(fleet.snapshot_, request(), fleet.now_);
    for (std::size_t group = 0; group < 4; ++group) {
        for (int i = 0; i < 8; ++i) {
            router.started(fleet.group(group).group_, {}, fleet.now_);
            router.finished(fleet.group(group).group_,
                            {group == 2 ? seconds(2) : milliseconds(100), true}, fleet.now_);
        }
    }
    fleet.publish();

    cr_assert_eq(router.choose(fleet.snapshot_, request(), fleet.now_).usable_, 4);
}
