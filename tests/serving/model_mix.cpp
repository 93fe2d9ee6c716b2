// Decisions of the model mix policies.
#include <cardamombay/serving/model_mix.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;

namespace {

/// A model with groups of eight engines and one with groups of two.
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

/// Shifted demand: equal shares of engines, but seven times as much work for the small groups.
Test(model_mix, model_with_spare_capacity_gives_groups_to_model_that_lacks_capacity)
{
    const TwoModels models;
    const DemandMix mix;
    const auto next = mix.next(models.loads(10, 3.9, 31, 28.3));
    cr_assert(next.has_value());
    cr_assert_eq(next->from_, &models.large_);
    cr_assert_eq(next->to_, &models.small_);
    cr_assert_eq(next->groupsMade(), 4);
}

Test(model_mix, conversions_end_once_coverage_is_sufficient_or_cannot_improve)
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

Test(model_mix, model_with_sufficient_coverage_receives_no_groups)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(10, 1, 20, 10)).has_value());
}

Test(model_mix, last_groups_of_a_model_are_kept)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(2, 0, 10, 30)).has_value());
}

/// Guards against converting groups while a fabric domain of the small model is unreachable for
/// seconds; the large model has no surplus.
Test(model_mix, model_without_surplus_gives_no_groups_to_one_that_lacks_capacity)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(7, 3.9, 10, 28)).has_value());
}

Test(model_mix, model_with_equally_low_coverage_gives_no_groups)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(5, 5, 30, 30)).has_value());
}

Test(model_mix, small_groups_are_not_converted_into_large_ones)
{
    const TwoModels models;
    cr_assert_not(DemandMix().next(models.loads(3, 6, 60, 10)).has_value());
}

Test(model_mix, group_is_not_converted_if_engines_would_be_left_over)
{
    TwoModels models;
    models.large_.members_ = 4;
    models.small_.members_ = 3;
    cr_assert_not(DemandMix().next(models.loads(10, 1, 5, 10)).has_value());
}

/// Guards against converting groups back and forth when the demand fluctuates by 20 %.
Test(model_mix, fluctuating_demand_does_not_convert_groups_back_and_forth)
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

Test(model_mix, fixed_mix_converts_nothing)
{
    const TwoModels models;
    cr_assert_not(FixedMix().next(models.loads(10, 0.1, 2, 30)).has_value());
}

/// Groups after all conversions that \p mix finds beneficial with prepared hosts.
static std::pair<double, double> preparedGroups(double large, double largeDemand, double small,
                                                double smallDemand)
{
    const TwoModels models;
    const DemandMix mix;
    while (mix.nextPrepared(models.loads(large, largeDemand, small, smallDemand))) {
        large -= 1;
        small += 4;
    }
    return {large, small};
}

/// Guards against fixed bounds, with which a model with a coverage of 1.5 gave nothing to one with
/// 0.6.
Test(model_mix, prepared_groups_are_converted_while_the_smaller_coverage_rises)
{
    const auto [large, small] = preparedGroups(7, 3.9, 10, 28);
    cr_assert_eq(large, 4);
    cr_assert_eq(small, 22);
    const auto lowest = [](double largeGroups, double smallGroups) {
        return std::min((largeGroups - 1) / 3.9, (smallGroups - 1) / 28);
    };
    cr_assert_gt(lowest(large, small), lowest(large + 1, small - 4));
    cr_assert_leq(lowest(large - 1, small + 4), lowest(large, small));
}

/// Guards against a level of the demand that is too low in the first seconds.
Test(model_mix, prepared_groups_depend_on_the_ratio_of_the_demands_only)
{
    const auto whole = preparedGroups(10, 4, 16, 24);
    for (const double part : {0.05, 0.2, 0.5, 2.0})
        cr_assert(preparedGroups(10, 4 * part, 16, 24 * part) == whole);
}

/// Guards against giving away the groups of a model whose callers have not come yet.
Test(model_mix, model_without_demand_gives_prepared_groups_only_to_one_that_lacks_capacity)
{
    cr_assert_eq(preparedGroups(10, 0, 16, 9).first, 10);
    cr_assert_eq(preparedGroups(10, 0, 16, 20).first, 5);
    cr_assert_eq(preparedGroups(10, 0, 16, 200).first, 2);
}

/// Guards against conversions that repeat without a change of the demand.
Test(model_mix, prepared_groups_are_not_converted_at_equal_coverage)
{
    const TwoModels models;
    cr_assert_not(DemandMix().nextPrepared(models.loads(5, 4, 29, 28)).has_value());
    cr_assert_not(FixedMix().nextPrepared(models.loads(10, 0.1, 2, 30)).has_value());
}
