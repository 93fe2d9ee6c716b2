#include <cardamombay/cardamombay.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

namespace {

const std::filesystem::path headerFolder
    = std::filesystem::path(SOURCE_FOLDER) / "include" / "cardamombay";

std::string contentOf(const std::filesystem::path &file)
{
    std::ostringstream content;
    content << std::ifstream(file).rdbuf();
    return content.str();
}

} // namespace

Test(public_headers, umbrella_header_names_every_public_header)
{
    const std::string umbrella = contentOf(headerFolder / "cardamombay.hpp");

    std::size_t headers = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(headerFolder)) {
        const auto name = std::filesystem::relative(entry.path(), headerFolder).string();
        if (!entry.is_regular_file() || name == "cardamombay.hpp")
            continue;
        ++headers;
        const std::string line = "#include <cardamombay/" + name + ">\n";
        cr_expect(umbrella.find(line) != std::string::npos, "%s is missing", name.c_str());
    }

    cr_assert_gt(headers, 0U);
}

Test(public_headers, no_public_header_includes_a_library_that_is_slow_to_compile)
{
    for (const auto &entry : std::filesystem::recursive_directory_iterator(headerFolder)) {
        if (!entry.is_regular_file())
            continue;
        const std::string content = contentOf(entry.path());
        for (const char *library : {"<boost/beast", "<boost/json", "<toml++", "<json/", "<log4cxx"})
            cr_expect(content.find(std::string("#include ") + library) == std::string::npos,
                      "%s includes %s", entry.path().c_str(), library);
    }
}
