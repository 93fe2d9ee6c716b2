#include <cardamombay/cli/command_line.hpp>

#include <array>

#include <criterion/criterion.h>

using namespace cardamombay;

namespace {

const cli::CommandLine line("program", "COMMAND",
                            {{"store", 's', "IP:PORT", "address of the store"},
                             {"json", '\0', "", "write JSON"}});

template<std::size_t size>
Result<cli::ParsedCommandLine> parse(const std::array<const char *, size> &arguments)
{
    return line.parse(static_cast<int>(size), arguments.data());
}

} // namespace

Test(command_line, options_may_stand_between_arguments)
{
    const auto result = parse(
        std::array{"program", "config", "--store", "10.0.0.1:1", "show", "--json", "--store=b"});

    cr_assert(isOk(result));
    const auto &parsed = valueOf(result);
    cr_assert(parsed.arguments_ == (std::vector<std::string>{"config", "show"}));
    cr_assert(parsed.has("json"));
    cr_assert(parsed.values("store") == (std::vector<std::string>{"10.0.0.1:1", "b"}));
}

Test(command_line, unknown_option_is_wrong_usage_with_remedy)
{
    const auto result = parse(std::array{"program", "--stroe", "x"});

    cr_assert(isError<InvalidInput>(result));
    cr_assert_eq(std::get<InvalidInput>(errorOf(result)).key_, "--stroe");
    cr_assert(remedyOf(errorOf(result)).find("--help") != std::string::npos);
}

Test(command_line, option_without_its_value_is_wrong_usage)
{
    cr_assert(isError<InvalidInput>(parse(std::array{"program", "--store"})));
}

Test(command_line, help_lists_every_option)
{
    const auto help = line.help();

    for (const char *option : {"--store=IP:PORT", "--json", "--help", "--version"})
        cr_assert(help.find(option) != std::string::npos, "%s is missing", option);
}
