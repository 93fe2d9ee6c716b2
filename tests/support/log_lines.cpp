#include "support/log_lines.hpp"

#include <cardamombay/log/log.hpp>

#include <fstream>

#include <fcntl.h>
#include <unistd.h>

namespace cardamombay::support {

std::vector<std::string> linesOf(std::string_view event, const std::function<void()> &body)
{
    const std::string path = "log-lines-" + std::to_string(::getpid()) + ".txt";
    const int file = ::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
    const int before = ::dup(STDERR_FILENO);
    ::dup2(file, STDERR_FILENO);
    log::configure(log::Level::Info);
    body();
    ::dup2(before, STDERR_FILENO);
    ::close(before);
    ::close(file);
    std::ifstream in(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(in, line);) {
        if (line.find("event=" + std::string(event)) != std::string::npos)
            lines.push_back(line);
    }
    ::unlink(path.c_str());
    return lines;
}

std::string valueIn(std::string_view line, std::string_view key)
{
    const auto mark = " " + std::string(key) + "=";
    const auto at = line.find(mark);
    if (at == std::string_view::npos)
        return "";
    const auto begin = at + mark.size();
    return std::string(line.substr(begin, line.find(' ', begin) - begin));
}

} // namespace cardamombay::support
