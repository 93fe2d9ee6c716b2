#include <cardamombay/core/hash.hpp>
#include <cardamombay/overload/admission_controller.hpp>

#include <array>
#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::overload;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ModelName model("m");
constexpr TimePoint start{std::chrono::hours(1)};
constexpr Duration period = milliseconds(100);
constexpr std::size_t draws = 10'000;

/// Figures of a fleet in which rank 1 is divided to a half.
ModelFigures figures(std::optional<TimePoint> receivedAt)
{
    ModelFigures result;
    result.fleet_.offered_ = {{0, 5}, {1, 10}};
    result.own_.offered_ = {{0, 0.5}, {1, 1}};
    result.capacity_ = {10, 0.95};
    result.slots_ = 160;
    result.entries_ = 10;
    result.receivedAt_ = receivedAt;
    return result;
}

/// Share of requests that are admitted.
double admitted(const AdmissionController &controller, Rank rank, TimePoint now,
                std::size_t inFlight = 0)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < draws; ++i) {
        const AdmissionRequest request{model, rank, {}, stableHash(std::to_string(i), 7)};
        count += controller.admits(request, inFlight, now) ? 1 : 0;
    }
    return double(count) / draws;
}

struct Fixture
{
    RankedAdmission policy_;
    AdmissionController controller_{policy_, start};
    TimePoint now_ = start;

    /// A controller whose figures are too old.
    void losesDigests()
    {
        controller_.update(model, figures(now_), now_);
        const auto heardAt = now_;
        for (int i = 0; i < 6; ++i) {
            now_ += period;
            controller_.update(model, figures(heardAt), now_);
        }
    }
    void updateLate(int periods)
    {
        for (int i = 0; i < periods; ++i) {
            now_ += period;
            controller_.update(model, figures(start), now_);
        }
    }
};

/// Refuses everything, and notes the capacity it was asked about.
class RefusingPolicy final : public AdmissionPolicy
{
public:
    AdmissionLevel level(const ModelDemand & /*demand*/,
                         const ModelCapacity &capacity) const override
    {
        capacity_ = capacity;
        return divide({}, 0);
    }
    AdmissionLevel divide(const ModelDemand & /*demand*/, double /*room*/) const override
    {
        AdmissionLevel result;
        result.dividedRank_ = 0;
        result.otherTeamsShare_ = 0;
        return result;
    }

    mutable ModelCapacity capacity_;
};

} // namespace

Test(admission_controller, model_without_figures_is_not_limited)
{
    const Fixture f;

    cr_expect_eq(admitted(f.controller_, 9, start), 1);
    cr_expect_not(f.controller_.figuresAge(model, start).has_value());
}

Test(admission_controller, share_of_the_divided_rank_is_admitted)
{
    Fixture f;
    f.controller_.update(model, figures(start), start);

    cr_expect_eq(admitted(f.controller_, 0, start), 1);
    cr_expect_float_eq(admitted(f.controller_, 1, start), 0.5, 0.02);
    cr_expect_eq(admitted(f.controller_, 2, start), 0);
}

// Guards against a caller that repeats an id until it is admitted, and runs that differ.
Test(admission_controller, same_request_gets_the_same_decision)
{
    Fixture f;
    f.controller_.update(model, figures(start), start);
    const AdmissionRequest request{model, 1, TeamName("a"), stableHash("id", 7)};

    const bool first = f.controller_.admits(request, 0, start);
    for (int i = 0; i < 100; ++i)
        cr_expect_eq(f.controller_.admits(request, 0, start), first);
}

Test(admission_controller, policy_decides_about_the_figures)
{
    const RefusingPolicy policy;
    AdmissionController controller(policy, start);

    controller.update(model, figures(start), start);

    cr_expect_eq(admitted(controller, 0, start), 0);
    cr_expect((policy.capacity_ == ModelCapacity{10, 0.95}));
}

// Guards against the use of figures that are too old, also before the next update.
Test(admission_controller, figures_are_valid_for_half_a_second)
{
    Fixture f;
    f.controller_.update(model, figures(start), start);

    cr_expect(f.controller_.level(model, start + milliseconds(500)).source_ == FigureSource::Fleet);
    cr_expect(f.controller_.level(model, start + milliseconds(501)).source_ == FigureSource::Own);
    cr_expect(f.controller_.figuresAge(model, start + milliseconds(501)) == milliseconds(501));
}

// Guards against a jump of admission at the moment at which digests become late.
Test(admission_controller, late_digests_continue_with_the_last_share)
{
    Fixture f;
    f.losesDigests();

    cr_expect_eq(admitted(f.controller_, 0, f.now_), 1);
    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.55, 0.02, "one step up");
    cr_expect_eq(admitted(f.controller_, 2, f.now_), 0);
}

Test(admission_controller, refusal_multiplies_the_own_share_at_most_once_in_100_ms)
{
    Fixture f;
    f.losesDigests();
    for (int i = 0; i < 20; ++i)
        f.controller_.recordSend(model, true, f.now_ + milliseconds(i));
    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.55 * 2 / 3, 0.02);

    f.controller_.recordSend(model, true, f.now_ + milliseconds(100));
    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.55 * 4 / 9, 0.02);
}

Test(admission_controller, own_share_rises_by_a_twentieth_in_100_ms_without_a_refusal)
{
    Fixture f;
    f.losesDigests();
    f.updateLate(4);
    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.75, 0.02);
    f.updateLate(6);

    cr_expect_eq(admitted(f.controller_, 1, f.now_), 1);
    cr_expect_eq(admitted(f.controller_, 9, f.now_), 1, "no less urgent rank has work");
}

// Guards against urgent requests being refused while less urgent ones are served.
Test(admission_controller, refusals_reach_the_more_urgent_rank_last)
{
    Fixture f;
    f.losesDigests();
    int periodsOfLessUrgent = 0;
    for (int i = 0; i < 30; ++i) {
        const bool isLessUrgentServed = admitted(f.controller_, 1, f.now_) > 0;
        periodsOfLessUrgent += isLessUrgentServed ? 1 : 0;
        if (isLessUrgentServed)
            cr_expect_eq(admitted(f.controller_, 0, f.now_), 1);
        f.controller_.recordSend(model, true, f.now_);
        f.controller_.recordSend(model, true, f.now_ + period / 2);
        f.updateLate(1);
    }

    cr_expect_leq(periodsOfLessUrgent, 7, "%d", periodsOfLessUrgent);
    cr_expect_lt(admitted(f.controller_, 0, f.now_), 1, "the urgent rank alone is too much");
    cr_expect_eq(admitted(f.controller_, 1, f.now_), 0);
}

// Guards against the time of a suspension counting as time without a refusal.
Test(admission_controller, suspension_raises_the_own_share_by_one_step)
{
    Fixture f;
    f.losesDigests();
    f.now_ += seconds(60);
    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.55, 0.02, "before the first update");
    f.updateLate(1);

    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.6, 0.02);
}

Test(admission_controller, refusals_do_not_count_while_digests_arrive)
{
    Fixture f;
    f.controller_.update(model, figures(start), start);
    for (int i = 0; i < 10; ++i)
        f.controller_.recordSend(model, true, start + i * period / 10);

    cr_expect_float_eq(admitted(f.controller_, 1, start), 0.5, 0.02);
}

Test(admission_controller, returning_digests_apply_at_once)
{
    Fixture f;
    f.losesDigests();
    f.updateLate(10);
    f.controller_.update(model, figures(f.now_), f.now_);

    cr_expect(f.controller_.level(model, f.now_).source_ == FigureSource::Fleet);
    cr_expect_float_eq(admitted(f.controller_, 1, f.now_), 0.5, 0.02);
}

// Guards against a start that admits everything for want of figures.
Test(admission_controller, start_admits_its_part_of_the_slots)
{
    Fixture f;
    f.controller_.update(model, figures(std::nullopt), start);

    cr_expect_eq(admitted(f.controller_, 0, start, 15), 1);
    cr_expect_eq(admitted(f.controller_, 0, start, 16), 0);
    cr_expect(f.controller_.level(model, start).source_ == FigureSource::Start);
}

Test(admission_controller, start_admits_one_request_if_there_are_fewer_slots_than_entry_vms)
{
    Fixture f;
    auto few = figures(std::nullopt);
    few.slots_ = 3;
    f.controller_.update(model, few, start);

    cr_expect_eq(admitted(f.controller_, 0, start, 0), 1);
    cr_expect_eq(admitted(f.controller_, 0, start, 1), 0);
}

Test(admission_controller, start_ends_with_the_first_sum_or_after_half_a_second)
{
    Fixture f;
    f.controller_.update(model, figures(std::nullopt), start);
    const auto later = start + milliseconds(200);
    cr_expect(f.controller_.level(model, later).source_ == FigureSource::Start);
    cr_expect(f.controller_.level(model, start + milliseconds(500)).source_ == FigureSource::Own);
    cr_expect_eq(admitted(f.controller_, 1, start + milliseconds(500)), 1);

    f.controller_.update(model, figures(later), later);
    cr_expect(f.controller_.level(model, later).source_ == FigureSource::Fleet);
}

// Guards against an entry VM without peers that waits for digests.
Test(admission_controller, figures_of_a_single_entry_vm_are_those_of_the_fleet)
{
    Fixture f;
    auto alone = figures(std::nullopt);
    alone.entries_ = 1;
    f.controller_.update(model, alone, start);

    cr_expect(f.controller_.level(model, start).source_ == FigureSource::Fleet);
    cr_expect_float_eq(admitted(f.controller_, 1, start), 0.5, 0.02);
}

Test(admission_controller, teams_are_divided_also_while_digests_are_late)
{
    Fixture f;
    auto late = figures(start);
    late.own_.teams_ = {{TeamName("large"), 0.9}, {TeamName("small"), 0.1}};
    for (int i = 0; i < 7; ++i)
        f.controller_.update(model, late, start + i * period);
    const auto level = f.controller_.level(model, start + 6 * period);

    cr_expect(level.source_ == FigureSource::Own);
    cr_expect_float_eq(level.share(1, TeamName("small")), 1, 1e-9);
    cr_expect_lt(level.share(1, TeamName("large")), 0.55);
}

Test(admission_controller, models_that_are_not_retained_are_not_limited)
{
    Fixture f;
    f.controller_.update(model, figures(start), start);
    f.controller_.retain(std::array{model});
    cr_expect_eq(admitted(f.controller_, 2, start), 0);
    f.controller_.retain({});

    cr_expect_eq(admitted(f.controller_, 2, start), 1);
}

/// Guards against refusing every request that has to wait: without digests, or before the first
/// sum, the room was 0 and each wait forecast as endless.
Test(admission_controller, room_is_known_without_figures_of_the_fleet)
{
    Fixture fixture;
    fixture.controller_.update(model, figures(std::nullopt), start);
    const auto atStart = fixture.controller_.level(model, start);
    cr_expect(atStart.source_ == FigureSource::Start);
    cr_expect_float_eq(atStart.room_, 10, 1e-9);

    fixture.losesDigests();
    const auto late = fixture.controller_.level(model, fixture.now_);
    cr_expect(late.source_ == FigureSource::Own);
    cr_expect_float_eq(late.room_, 10, 1e-9);
}
