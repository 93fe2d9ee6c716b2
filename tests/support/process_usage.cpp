#include "support/process_usage.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <unordered_set>

#include <unistd.h>

namespace cardamombay::support {

namespace {

constexpr unsigned listenState = 0x0A;

std::filesystem::path folderOf(pid_t process)
{
    return "/proc/" + std::to_string(process);
}

std::unordered_set<unsigned long> socketsOf(pid_t process)
{
    std::unordered_set<unsigned long> inodes;
    std::error_code error;
    std::filesystem::directory_iterator entry(folderOf(process) / "fd", error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        std::error_code closed;
        const auto target = std::filesystem::read_symlink(entry->path(), closed).string();
        unsigned long inode = 0;
        if (std::sscanf(target.c_str(), "socket:[%lu]", &inode) == 1)
            inodes.insert(inode);
    }
    return inodes;
}

} // namespace

bool runsProgram(pid_t process, std::string_view program)
{
    std::error_code ended;
    const auto file = std::filesystem::read_symlink(folderOf(process) / "exe", ended);
    return !ended && file.filename() == program;
}

std::size_t residentBytes(pid_t process)
{
    std::ifstream file(folderOf(process) / "statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t unreadBytes(pid_t process, std::span<const std::uint16_t> ports)
{
    const auto sockets = socketsOf(process);
    std::ifstream file("/proc/net/tcp");
    std::size_t sum = 0;
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        unsigned port = 0;
        unsigned state = 0;
        unsigned long unread = 0;
        unsigned long inode = 0;
        const int fields = std::sscanf(line.c_str(),
                                       " %*d: %*8x:%4x %*8x:%*4x %2x %*8x:%8lx %*2x:%*8x %*8x"
                                       " %*u %*d %lu",
                                       &port, &state, &unread, &inode);
        // Of a listening socket, the column counts connections.
        if (fields != 4 || state == listenState)
            continue;
        const bool isAtPort = std::find(ports.begin(), ports.end(), port) != ports.end();
        if (isAtPort || sockets.contains(inode))
            sum += unread;
    }
    return sum;
}

std::size_t openDescriptors(pid_t process)
{
    std::size_t count = 0;
    std::error_code error;
    std::filesystem::directory_iterator entry(folderOf(process) / "fd", error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
        ++count;
    return count;
}

} // namespace cardamombay::support
