#include "cli/config_files.hpp"

#include "cli/control_options.hpp"

#include <filesystem>
#include <fstream>

namespace cardamombay::cli {

namespace filesystem = std::filesystem;

namespace {

constexpr const char *baseName = "base.toml";

std::vector<std::string> overlaysIn(const filesystem::path &folder)
{
    std::vector<std::string> overlays;
    std::error_code error;
    for (const auto &entry : filesystem::directory_iterator(folder, error)) {
        const bool isOverlay
            = entry.path().extension() == ".toml" && entry.path().filename() != baseName;
        if (isOverlay)
            overlays.push_back(entry.path().string());
    }
    return overlays;
}

Result<Done> writeFile(const filesystem::path &folder, const config::SourceFile &source)
{
    const filesystem::path path = folder / source.baseName();
    std::ofstream out(path, std::ios::binary);
    out << source.text_;
    out.close();
    if (!out)
        return Error(InvalidInput{{path.string(), 0, 0},
                                  "",
                                  "the file cannot be written",
                                  "check the folder and its permissions"});
    return Done{};
}

} // namespace

Result<config::ConfigSources> readSources(const std::vector<std::string> &operands)
{
    if (operands.empty())
        return wrongUsage("", "no configuration files were named",
                          "name a folder with base.toml, or the base file and its overlays");
    const filesystem::path first = operands.front();
    std::error_code error;
    const bool isFolder = operands.size() == 1 && filesystem::is_directory(first, error);
    if (isFolder)
        return config::loadSources((first / baseName).string(), overlaysIn(first));
    return config::loadSources(operands.front(), {operands.begin() + 1, operands.end()});
}

Result<Done> writeSources(const config::ConfigSources &sources, const std::string &folder)
{
    std::error_code error;
    filesystem::create_directories(folder, error);
    auto written = writeFile(folder, sources.base_);
    for (const auto &overlay : sources.overlays_) {
        if (isOk(written))
            written = writeFile(folder, overlay);
    }
    return written;
}

} // namespace cardamombay::cli
