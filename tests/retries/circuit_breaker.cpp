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
    CircuitBreakerRegistry registry(program());
    const GroupId group("lm/a/0");
    for (int i = 0; i < 2; ++i)
        registry.failed(group, start);
    cr_assert(registry.blocked(start).empty());
    registry.failed(group, start);
    cr_assert_eq(registry.blocked(start).size(), 1);

    const TimePoint later = start + seconds(1);
    cr_assert(registry.blocked(later).empty());
    registry.started(group, later);
    cr_assert_eq(registry.blocked(later).size(), 1, "a second trial started beside the first");
    registry.succeeded(group, later);

    cr_assert(registry.status(group, later) == "closed");
    cr_assert(registry.blocked(later).empty());
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

Test(circuit, trials_of_groups_that_failed_together_are_jittered)
{
    CircuitBreakerRegistry registry(program());
    for (int i = 0; i < 3; ++i) {
        registry.failed(GroupId("lm/a/0"), start);
        registry.failed(GroupId("lm/a/1"), start);
    }

    const TimePoint first = registry.nextTrial();

    cr_assert_eq(registry.blocked(first).size(), 1);
}

Test(circuit, abandoned_trial_allows_the_next_one)
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

Test(circuit, long_streaming_trial_does_not_block_the_next_trial)
{
    CircuitBreaker circuit(program());
    for (int i = 0; i < 3; ++i)
        circuit.failed(start);
    const TimePoint trial = start + seconds(1);
    circuit.started(trial);

    cr_assert_not(circuit.allows(trial + milliseconds(1999)));
    cr_assert(circuit.allows(trial + seconds(2)));
}
