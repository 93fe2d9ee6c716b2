#include <cardamombay/settings/settings.hpp>

#include <string>

#include <criterion/criterion.h>

using namespace cardamombay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char *smallest = R"(entry = "entry-a1"
zone = "pa-sala-a"
region = "palermo"

[listen]
callers = "10.1.0.11:8080"
peers = "10.1.0.11:8090"

[platform]
addresses = ["10.1.0.2:9000"]
)";

InvalidInput problemOf(const std::string &text)
{
    const auto result = settings::parse(text, "entry.toml");
    cr_assert(isError<InvalidInput>(result), "the settings were taken: %s", text.c_str());
    return std::get<InvalidInput>(errorOf(result));
}

} // namespace

Test(settings, smallest_file_takes_the_defaults)
{
    const auto result = settings::parse(smallest, "entry.toml");

    cr_assert(isOk(result));
    const auto &read = valueOf(result);
    cr_assert(read.entry_ == EntryId("entry-a1"));
    cr_assert(read.peers_ == (Address{"10.1.0.11", 8090}));
    cr_assert(read.advertised_ == read.peers_);
    cr_assert(read.intervals_ == settings::Intervals{});
    cr_assert_eq(read.trafficThreads_, 2);
}

Test(settings, given_values_replace_the_defaults)
{
    const auto result = settings::parse(std::string("traffic_threads = 4\n") + smallest
                                            + "[intervals]\nprobe = \"250ms\"\n"
                                              "[drain]\nin_flight = \"1m\"\n"
                                              "[peers]\nseeds = [\"10.1.0.12:8090\"]\n"
                                              "advertise = \"10.9.0.11:8090\"\n",
                                        "entry.toml");

    cr_assert(isOk(result));
    const auto &read = valueOf(result);
    cr_assert_eq(read.trafficThreads_, 4);
    cr_assert(read.intervals_.probe_ == milliseconds(250));
    cr_assert(read.drain_.inFlight_ == seconds(60));
    cr_assert_eq(read.seeds_.size(), 1);
    cr_assert(read.advertised_ == (Address{"10.9.0.11", 8090}));
}

Test(settings, unknown_key_names_its_place_and_the_nearest_key)
{
    const auto problem = problemOf(std::string(smallest) + "[limits]\nbody_byte = 4096\n");

    cr_assert(problem.position_ == (SourcePosition{"entry.toml", 12, 1}));
    cr_assert_eq(problem.key_, "limits.body_byte");
    cr_assert(problem.remedy_.find("'body_bytes'") != std::string::npos);
}

Test(settings, wrong_type_names_its_place_and_the_right_one)
{
    const auto problem = problemOf(std::string(smallest) + "[intervals]\nprobe = 500\n");

    cr_assert(problem.position_ == (SourcePosition{"entry.toml", 12, 9}));
    cr_assert_eq(problem.key_, "intervals.probe");
    cr_assert(problem.remedy_.find("unit") != std::string::npos);
}

Test(settings, value_out_of_range_names_the_range)
{
    const auto problem = problemOf("traffic_threads = 0\n" + std::string(smallest));

    cr_assert_eq(problem.position_.line_, 1);
    cr_assert_eq(problem.remedy_, "give a whole number from 1 to 64");
}

Test(settings, missing_key_names_the_table_it_belongs_to)
{
    std::string text = smallest;
    text.erase(text.find("peers = "), std::string("peers = \"10.1.0.11:8090\"\n").size());

    const auto problem = problemOf(text);

    cr_assert_eq(problem.key_, "listen.peers");
    cr_assert_eq(problem.position_.line_, 5);
}

Test(settings, host_name_in_place_of_an_ip_number_is_refused)
{
    std::string text = smallest;
    text.replace(text.find("10.1.0.2:9000"), 13, "platform:9000");

    cr_assert_eq(problemOf(text).key_, "platform.addresses");
}

Test(settings, freshness_below_two_probes_is_refused)
{
    const auto problem
        = problemOf(std::string(smallest) + "[intervals]\nprobe = \"2s\"\nfreshness = \"3s\"\n");

    cr_assert_eq(problem.key_, "intervals.freshness");
}

Test(settings, freshness_that_one_failed_probe_would_lapse_is_refused)
{
    const auto problem = problemOf(std::string(smallest)
                                   + "[intervals]\nprobe = \"500ms\"\nfreshness = \"1200ms\"\n");

    cr_assert_eq(problem.key_, "intervals.freshness");
    cr_assert(problem.remedy_.find("1500ms") != std::string::npos, "%s", problem.remedy_.c_str());
}

Test(settings, lease_term_that_leaves_no_time_for_an_order_is_refused)
{
    const std::string intervals = std::string(smallest) + "[intervals]\nlease_term = ";

    const auto problem = problemOf(intervals + "\"3s\"\n");

    cr_assert_eq(problem.key_, "intervals.lease_term");
    cr_assert(problem.remedy_.find("5143ms") != std::string::npos, "%s", problem.remedy_.c_str());
    cr_assert(isOk(settings::parse(intervals + "\"5143ms\"\n", "entry.toml")));
}

Test(settings, broken_syntax_names_its_line)
{
    cr_assert_eq(problemOf("entry = \"a\"\nzone = \n").position_.line_, 2);
}

Test(settings, check_reports_every_problem_in_order_of_lines)
{
    const auto problems = settings::check(
        "zone = 1\nunknown = 2\n" + std::string(smallest).substr(38), "entry.toml");

    cr_assert_geq(problems.size(), 3);
    for (std::size_t i = 1; i < problems.size(); ++i)
        cr_assert_leq(problems[i - 1].position_.line_, problems[i].position_.line_);
}

Test(settings, absent_file_is_invalid_input)
{
    cr_assert(isError<InvalidInput>(settings::load("/nonexistent/entry.toml")));
}
