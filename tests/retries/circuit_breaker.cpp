#include <cardamombay/retries/circuit_breaker_registry.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::retries;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start{std::chrono::hours(1)};

CircuitBreakerProgramPtr program()
{
    const auto chart = chart::loadChart(std::string(SOURCE_FOLDER) + "/charts/circuit.toml");
    cr_assert(isOk(chart), "%s", isOk(chart) ? "" : messageOf(errorOf(chart)).c_str());
    const auto bound = makeCircuitBreakerProgram(valueOf(chart));
    cr_assert(isOk(bound), "%s", isOk(bound) ? "" : messageOf(errorOf(bound)).c_str());
    return valueOf(bound);
}

} // namespace

Test(circuit, opens_after_failures_in_a_row_and_closes_after_a_trial)
{
    CircuitBreakerRegistry board(program());
    const GroupId group("lm/a/0");
    for (int i = 0; i < 2; ++i)
        board.failed(group, start);
    cr_assert(board.blocked(start).empty());
    board.failed(group, start);
    cr_assert_eq(board.blocked(start).size(), 1);

    const TimePoint later = start + seconds(1);
    cr_assert(board.blocked(later).empty());
    board.started(group, later);
    cr_assert_eq(board.blocked(later).size(), 1, "only one trial at a time");
    board.succeeded(group, later);

    cr_assert(board.status(group, later) == "closed");
    cr_assert(board.blocked(later).empty());
}

Test(circuit, failed_trial_doubles_the_open_time)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        CircuitBreaker circuit(program(), {}, seed);
        for (int i = 0; i < 3; ++i)
            circuit.failed(start);
        cr_assert_not(circuit.allows(start + milliseconds(499)));
        const TimePoint trial = start + seconds(1);
        cr_assert(circuit.allows(trial));
        circuit.started(trial);
        circuit.failed(trial);

        cr_assert_not(circuit.allows(trial + milliseconds(999)));
        cr_assert(circuit.allows(trial + seconds(2)));
    }
}

Test(circuit, groups_that_fail_together_are_not_tried_again_together)
{
    CircuitBreakerRegistry board(program());
    for (int i = 0; i < 3; ++i) {
        board.failed(GroupId("lm/a/0"), start);
        board.failed(GroupId("lm/a/1"), start);
    }

    const TimePoint first = board.nextTrial();

    cr_assert_eq(board.blocked(first).size(), 1);
}

Test(circuit, abandoned_trial_lets_the_next_one_go)
{
    CircuitBreaker circuit(program());
    for (int i = 0; i < 3; ++i)
        circuit.failed(start);
    const TimePoint trial = start + seconds(1);
    circuit.started(trial);
    cr_assert_not(circuit.allows(trial));

    circuit.abandoned(trial);

    cr_assert(circuit.allows(trial));
}

Test(circuit, success_between_failures_keeps_it_closed)
{
    CircuitBreaker circuit(program());
    for (int i = 0; i < 20; ++i) {
        circuit.failed(start);
        circuit.failed(start);
        circuit.succeeded(start);
    }

    cr_assert(circuit.allows(start));
}

Test(circuit, trial_that_streams_for_long_does_not_keep_the_group_out)
{
    CircuitBreaker circuit(program());
    for (int i = 0; i < 3; ++i)
        circuit.failed(start);
    const TimePoint trial = start + seconds(1);
    circuit.started(trial);

    cr_assert_not(circuit.allows(trial + milliseconds(1999)));
    cr_assert(circuit.allows(trial + seconds(2)));
}
