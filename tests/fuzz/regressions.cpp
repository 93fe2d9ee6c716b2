// Faults that fuzzing has found; each test names the text that showed it.
#include <cardamombay/admin/admin_vm.hpp>
#include <cardamombay/chart/chart.hpp>
#include <cardamombay/config/config_parser.hpp>
#include <cardamombay/leases/lease_row.hpp>
#include <cardamombay/serving/peer_digests.hpp>
#include <cardamombay/settings/settings.hpp>

#include <criterion/criterion.h>

using namespace cardamombay;

// The assertion "!is_value_terminator(*cp)" of the TOML parser ended the process.
Test(fuzz_regressions, bracket_in_place_of_a_toml_value_is_an_error_with_its_line)
{
    const auto result = settings::parse("entry = \"a\"\nzone = [\"b\", }\"c\"]\n", "entry.toml");

    cr_assert(isError<InvalidInput>(result));
    const auto &problem = std::get<InvalidInput>(errorOf(result));
    cr_assert_eq(problem.position_.line_, 2U);
    cr_assert_eq(problem.position_.file_, "entry.toml");
}

Test(fuzz_regressions, bracket_in_place_of_a_configuration_value_is_an_error)
{
    const config::ConfigSources sources{{"base.toml", "deployment = [1, }2]"}, {}};

    const auto result = config::parse(sources, ConfigVersion{1});

    cr_assert(isError<InvalidInput>(result));
}

// The assertion "is_bare_key_character(*cp) || is_string_delimiter(*cp)" ended the process.
Test(fuzz_regressions, wrong_character_in_a_toml_array_header_is_an_error_with_its_line)
{
    const auto result = chart::parseChart("states = [\"a\"]\n\n[[(x]]\n", "fuzz.toml");

    cr_assert(isError<InvalidInput>(result));
    cr_assert_eq(std::get<InvalidInput>(errorOf(result)).position_.line_, 3U);
}

// The term overflowed the type of durations and became another one.
Test(fuzz_regressions, lease_term_out_of_range_is_malformed)
{
    for (const char *term : {"184464294967295", "-1", "9223372036854775807"}) {
        const auto row = leases::decodeLeaseRow(
            std::string(R"({"holder":"e","incarnation":5,"epoch":9,"duration_ms":)") + term
            + R"(,"renewal":0})");

        cr_expect(isError<MalformedMessage>(row), "%s", term);
    }
}

// The age overflowed the type of durations.
Test(fuzz_regressions, age_of_a_vm_out_of_range_is_malformed)
{
    for (const char *age : {"1844674294967295", "-1", "9223372036854775807"}) {
        const auto vms = admin::decodeVms(
            std::string(R"({"vms":[{"id":"v","zone":"z","domain":"d","service":"","group":"",)")
            + R"("phase":"idle","age_ms":)" + age + R"(,"leaving":false,"straggler":false}]})");

        cr_expect(isError<MalformedMessage>(vms), "%s", age);
    }
}

// An infinite capacity was written as a number that cannot be read, so that all sums of its zone
// were lost; an infinite demand would have ruled the planner.
Test(fuzz_regressions, figure_that_is_not_finite_is_left_out_of_a_digest)
{
    const auto digest = serving::decodeLoadDigest(
        R"({"jsonrpc":"2.0","method":"load","params":{"from":"e","capacity":100.1e308,)"
        R"("demand":{"m":1e999,"n":2},"repeats":{"s":[1e400,1]},"loads":{"i":[1.5]}}})");
    cr_assert(digest);
    cr_assert_eq(digest->capacity_, 0);
    cr_assert_eq(digest->demand_.size(), 1);
    cr_assert(digest->retries_.empty());
    cr_assert(digest->underWay_.empty());
    cr_assert(serving::decodeLoadDigest(serving::encode(*digest)) == *digest);
}
