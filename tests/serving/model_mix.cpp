// Decisions of the model mix policies.
#include <cardamombay/serving/model_mix.hpp>

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
