#include <cardamombay/load/workload.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::load;

namespace {

const std::string good = R"(name = "w"
profile = [{ at = "05:30", rate = 1.0 }, { at = "06:00", rate = 2.0 }]
teams = [{ name = "red" }]
requests = [{ name = "cue", service = "lm", tokens = { least = 1, most = 4 } }]
)";

/// The text with one part replaced; the part must be there.
std::string with(const std::string &part, const std::string &other)
{
    std::string text = good;
    return text.replace(text.find(part), part.size(), other);
}

InvalidInput problemOf(const std::string &text)
{
    const auto result = parseWorkload(text, "w.toml");
    cr_assert(isError<InvalidInput>(result), "%s was taken", text.c_str());
    return std::get<InvalidInput>(errorOf(result));
}

} // namespace

Test(workload, examples_are_valid)
{
    const std::string folder = SOURCE_FOLDER "/examples/workloads/";
    for (const char *name : {"quiete_sonora_dawn", "quiete_sonora_evening", "wasata_court_hours"}) {
        const auto result = loadWorkload(folder + name + ".toml");
        cr_assert(isOk(result), "%s", isOk(result) ? "" : messageOf(errorOf(result)).c_str());
    }
}

Test(workload, minimal_text_is_read)
{
    const auto result = parseWorkload(good, "w.toml");

    cr_assert(isOk(result));
    cr_assert(valueOf(result).profile_[0].at_ == std::chrono::minutes(330));
    cr_assert_eq(valueOf(result).requests_[0].tokens_.most_, 4);
}

Test(workload, wrong_values_are_refused_with_their_line)
{
    cr_assert_eq(problemOf(with("05:30", "5:30")).position_.line_, 2);
    cr_assert_eq(problemOf(with("05:30", "06:00")).position_.line_, 2);
    cr_assert_eq(problemOf(with("rate = 2.0", "rate = -2.0")).position_.line_, 2);
    cr_assert_eq(problemOf(with("name = \"red\"", "name = \"red\", share = 0.0")).position_.line_,
                 3);
    cr_assert_eq(problemOf(with("service = \"lm\", ", "")).position_.line_, 4);
    cr_assert_eq(problemOf(with("least = 1", "least = 9")).position_.line_, 4);
    cr_assert_eq(problemOf(with("tokens", "tokkens")).position_.line_, 4);
}

Test(workload, missing_parts_are_named)
{
    cr_assert(problemOf("name = \"w\"").key_ == "profile");
}
