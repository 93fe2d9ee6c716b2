// Limits while entry VMs, their messages and the limits themselves change.
#include "limit_play.hpp"

#include <cstdio>
#include <cstdlib>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::endpoint_limits;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

void checkRule(const std::vector<Got> &all, double leastUsed, std::uint64_t seed = 0)
{
    for (const auto &got : all) {
        cr_expect_leq(got.mostOverRule_, 1, "limit %g, seed %lu", got.limit_, seed);
        if (got.limit_ >= 1)
            cr_expect_geq(got.used_, leastUsed, "limit %g, seed %lu", got.limit_, seed);
    }
}

/// Entry VMs are paused, and datagrams lost, one trouble after the other.
std::vector<Got> playFaults(const Scene &scene, std::uint64_t seed)
{
    LimitPlay play(scene, seed);
    Random random(seed);
    play.pass(seconds(4));
    (void)play.take();
    for (int trouble = 0; trouble < 6; ++trouble) {
        std::vector<std::size_t> paused;
        if (random.below(3) > 0) {
            paused.push_back(random.below(scene.entries_));
            if (random.below(2) == 0)
                paused.push_back(play.owner(random.below(scene.limits_.size())));
        }
        play.fleet_.faults_.lossShare_ = random.below(2) == 0 ? 0.3 : 0.01;
        for (const auto index : paused)
            play.fleet_.node(index % scene.entries_).clock_.setPaused(true);
        play.pass(milliseconds(300 + random.below(3500)));
        for (const auto index : paused)
            play.fleet_.node(index % scene.entries_).clock_.setPaused(false);
        play.fleet_.faults_.lossShare_ = 0.01;
        play.pass(milliseconds(random.below(1500)));
    }
    return play.take();
}

std::uint64_t seedCount()
{
    const auto *text = std::getenv("LIMIT_SEEDS");
    return text == nullptr ? 10 : std::strtoull(text, nullptr, 10);
}

} // namespace

Test(endpoint_limits_in_trouble, one_in_ten_datagrams_lost_exceeds_no_limit)
{
    const Scene scene{.entries_ = 7, .limits_ = {0.3, 1.9, 20, 50}, .lossShare_ = 0.1};
    LimitPlay play(scene, 5);
    const auto all = play.run();
    print("lost datagrams", scene, all);
    for (const auto &got : all)
        cr_expect_leq(got.mostOverAim_, 1, "limit %g", got.limit_);
    checkRule(all, 0.8);
}

Test(endpoint_limits_in_trouble, paused_owner_is_replaced_and_takes_its_place_again)
{
    for (const std::size_t entries : {7, 74}) {
        const Scene scene{.entries_ = entries, .limits_ = {20}};
        LimitPlay play(scene, 6);
        play.pass(seconds(4));
        auto &owner = play.fleet_.node(play.owner(0));
        (void)play.take();
        owner.clock_.setPaused(true);
        play.pass(seconds(8));
        const auto paused = play.take();
        print("owner paused", scene, paused);
        checkRule(paused, 0.6);
        owner.clock_.setPaused(false);
        play.pass(seconds(8));
        const auto back = play.take();
        print("owner back", scene, back);
        checkRule(back, 0.8);
    }
}

Test(endpoint_limits_in_trouble, limit_that_falls_and_rises_is_followed)
{
    Scene scene{.entries_ = 74, .limits_ = {20, 20}};
    LimitPlay play(scene, 7);
    play.pass(seconds(4));
    play.setLimit(0, 2);
    play.pass(seconds(3));
    (void)play.take();
    play.pass(seconds(10));
    const auto fallen = play.take();
    print("fallen", scene, fallen);
    checkRule(fallen, 0.8);
    play.setLimit(0, 40);
    play.pass(seconds(3));
    (void)play.take();
    play.pass(seconds(10));
    const auto risen = play.take();
    print("risen", scene, risen);
    checkRule(risen, 0.8);
}

Test(endpoint_limits_in_trouble, groups_are_used_without_bound_once_they_name_no_limit)
{
    const Scene scene{.entries_ = 74, .limits_ = {2, 20}, .asked_ = 5};
    LimitPlay play(scene, 8);
    play.pass(seconds(4));
    play.setLimit(0, -1);
    play.pass(seconds(3));
    (void)play.take();
    play.pass(seconds(5));
    const auto all = play.take();
    cr_assert_geq(all[0].used_, 50); // Of the one request a second that stands for none.
}

Test(endpoint_limits_in_trouble, callers_get_an_answer_or_a_refusal_in_time)
{
    const Scene scene{.entries_ = 74, .limits_ = {0.3, 1.9}, .asked_ = 10};
    LimitPlay play(scene, 9);
    play.pass(seconds(6));
    cr_assert_leq(play.waiting(), 60);
    play.setLimit(0, 0);
    play.setLimit(1, 0);
    play.pass(seconds(3));
    cr_assert_eq(play.waiting(), 0);
}

Test(endpoint_limits_in_trouble, random_faults_exceed_no_limit, .timeout = 0)
{
    double most = 0;
    double least = 1;
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        const Scene scene{.entries_ = seed % 2 == 0 ? 7U : 74U, .limits_ = {0.3, 1.9, 20}};
        const auto all = playFaults(scene, seed);
        for (const auto &got : all) {
            most = std::max(most, got.mostOverRule_);
            if (got.limit_ >= 1)
                least = std::min(least, got.used_);
        }
        checkRule(all, 0.4, seed);
    }
    std::printf("random faults: most in 4 s %.2f of what is allowed, least used %.2f\n", most,
                least);
}
