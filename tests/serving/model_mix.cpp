// Which model's engines should serve another one.
#include <cardamombay/serving/model_mix.hpp>

#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;

namespace {

/// A model in groups of eight and one in groups of two.
struct TwoModels
{
    TwoModels()
    {
        large_.name_ = ModelName("large");
        large_.members_ = 8;
        small_.name_ = ModelName("small");
        small_.members_ = 2;
    }

    [[nodiscard]] std::vector<ModelLoad> loads(double largeGroups, double largeDemand,
                                               double smallGroups, double smallDemand) const
    {
        return {{&large_, largeGroups, largeDemand}, {&small_, smallGroups, smallDemand}};
    }

    Model large_;
    Model small_;
};

} // namespace

/// The shifted work: equal shares of engines, and seven times as much work for the small groups.
Test(model_mix, groups_of_a_model_served_better_go_to_one_served_worse)
{
    const TwoModels models;
    const DemandMix mix;
    const auto next = mix.next(models.loads(10, 3.9, 31, 28.3));
    cr_assert(next.has_value());
    cr_assert_eq(next->from_, &models.large_);
    cr_assert_eq(next->to_, &models.small_);
    cr_assert_eq(next->groupsMade(), 4);
}

Test(model_mix, conversions_end_once_the_worst_served_gains_nothing_or_has_enough)
{
    const TwoModels models;
    const DemandMix mix;
    double large = 10;
    double small = 31;
    int conversions = 0;
    while (mix.next(models.loads(large, 3.9, small, 28.3))) {
        large -= 1;
        small += 4;
        cr_assert_lt(++conversions, 10);
    }
    cr_assert_geq(large / 3.9, 1.3);
    cr_assert_geq(small / 28.3, 1.3);
}

Test(model_mix, model_with_enough_gets_no_more)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(10, 1, 20, 10)).has_value());
}

Test(model_mix, last_groups_of_a_model_stay)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(2, 0, 10, 30)).has_value());
}

/// A fabric domain of the small model goes dark for seconds; the large one has enough and no more.
Test(model_mix, model_without_more_than_enough_gives_nothing_while_another_one_is_short)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(7, 3.9, 10, 28)).has_value());
}

Test(model_mix, model_that_is_served_as_badly_gives_nothing)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(5, 5, 30, 30)).has_value());
}

Test(model_mix, small_groups_are_not_converted_into_large_ones_here)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(3, 6, 60, 10)).has_value());
}

Test(model_mix, group_whose_engines_make_no_whole_groups_of_the_other_model_stays)
{
    TwoModels models;
    models.large_.members_ = 4;
    models.small_.members_ = 3;
    cr_assert_not(DemandMix().next(models.loads(10, 1, 5, 10)).has_value());
}

/// A demand that swings by a fifth does not send groups to and fro.
Test(model_mix, swing_of_the_demand_converts_no_group_back_and_forth)
{
    const TwoModels models;
    const DemandMix mix;
    double large = 10;
    double small = 31;
    for (int hour = 0; hour < 20; ++hour) {
        const double swing = hour % 2 == 0 ? 1.2 : 0.8;
        while (mix.next(models.loads(large, 3.9 / swing, small, 28.3 * swing))) {
            large -= 1;
            small += 4;
        }
    }
    cr_assert_geq(large, 5);
    cr_assert_leq(small, 51);
}

Test(model_mix, kept_mix_changes_nothing)
{
    const TwoModels models;
    cr_assert_not(FixedMix().next(models.loads(10, 0.1, 2, 30)).has_value());
}
