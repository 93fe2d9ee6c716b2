#include "support/process_harness.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cardamombay::support {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(10);
constexpr int notStarted = 127;

[[noreturn]] void fail(const std::string &what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Runs in the child between fork and exec: only calls that are safe there.
[[noreturn]] void becomeProgram(const char *out, const char *err, char *const *arguments,
                                pid_t parent)
{
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    constexpr mode_t mode = 0600;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(notStarted);
    ::dup2(::open(out, flags, mode), STDOUT_FILENO);
    ::dup2(::open(err, flags, mode), STDERR_FILENO);
    ::execv(arguments[0], arguments);
    ::_exit(notStarted);
}

bool canListen(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    const bool isBound = socket >= 0 && ::bind(socket, generic, sizeof(address)) == 0;
    ::close(socket);
    return isBound;
}

/// Takes a port for this process until it ends, so that no other test gets it before a program
/// listens on it: a name in the abstract socket namespace has one owner on the machine.
bool reserve(std::uint16_t port)
{
    const std::string name = "cardamombay-test-port-" + std::to_string(port);
    const int socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::copy(name.begin(), name.end(), &address.sun_path[1]);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + name.size());
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    if (socket >= 0 && ::bind(socket, generic, size) == 0)
        return true; // The socket stays open.
    ::close(socket);
    return false;
}

} // namespace

bool waitUntil(const std::function<bool()> &condition, Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::uint16_t freePort()
{
    // Below the range from which the system takes the ports of outgoing connections, so that no
    // connection of a test takes the port before the program listens on it.
    constexpr int first = 12000;
    constexpr int last = 31999;
    constexpr int tries = 200;
    std::random_device seed;
    std::uniform_int_distribution<int> pick(first, last);
    for (int i = 0; i < tries; ++i) {
        const auto port = static_cast<std::uint16_t>(pick(seed));
        if (reserve(port) && canListen(port))
            return port;
    }
    throw std::runtime_error("no free port");
}

ProcessHarness::ProcessHarness(std::filesystem::path programs)
    : programs_(std::move(programs))
{
    std::string pattern = std::filesystem::temp_directory_path() / "cardamombay-XXXXXX";
    if (!::mkdtemp(pattern.data()))
        fail("no folder for output");
    folder_ = pattern;
}

ProcessHarness::~ProcessHarness()
{
    for (std::size_t i = processes_.size(); i > 0; --i) {
        if (isRunning(ProcessId{i - 1}))
            kill(ProcessId{i - 1});
    }
    std::error_code ignored;
    if (!std::getenv("CARDAMOMBAY_KEEP_OUTPUT"))
        std::filesystem::remove_all(folder_, ignored);
}

std::string ProcessHarness::program(std::string_view name) const
{
    return programs_ / name;
}

ProcessId ProcessHarness::start(std::string name, const std::string &program,
                                const std::vector<std::string> &arguments)
{
    Process process{std::move(name), 0, false, 0};
    const std::string out = fileOf(process, ".out");
    const std::string err = fileOf(process, ".err");
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(words.size() + 1);
    for (auto &word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    const pid_t parent = ::getpid();
    process.pid_ = ::fork();
    if (process.pid_ < 0)
        fail("fork for " + program);
    if (process.pid_ == 0)
        becomeProgram(out.c_str(), err.c_str(), pointers.data(), parent);
    processes_.push_back(std::move(process));
    return ProcessId{processes_.size() - 1};
}

std::uint16_t ProcessHarness::waitForPort(ProcessId process, Duration limit)
{
    constexpr std::string_view mark = "listening port=";
    std::uint16_t port = 0;
    const bool isDone = waitUntil(
        [&] {
            const std::string text = output(process);
            const auto found = text.find(mark);
            const bool isWholeLine
                = found != std::string::npos && text.find('\n', found) != std::string::npos;
            if (isWholeLine)
                port = static_cast<std::uint16_t>(std::stoi(text.substr(found + mark.size())));
            return port != 0 || !isRunning(process);
        },
        limit);
    if (!isDone || port == 0) {
        throw std::runtime_error(processOf(process).name_ + " does not listen: " + errors(process));
    }
    return port;
}

void ProcessHarness::signal(ProcessId process, int number)
{
    if (!processOf(process).hasEnded_)
        ::kill(processOf(process).pid_, number);
}

void ProcessHarness::terminate(ProcessId process)
{
    signal(process, SIGTERM);
}

void ProcessHarness::kill(ProcessId process)
{
    signal(process, SIGKILL);
    waitForExit(process);
}

void ProcessHarness::pause(ProcessId process)
{
    signal(process, SIGSTOP);
}

void ProcessHarness::resume(ProcessId process)
{
    signal(process, SIGCONT);
}

int ProcessHarness::waitForExit(ProcessId process, Duration limit)
{
    const bool hasEnded = waitUntil([&] { return !isRunning(process); }, limit);
    return hasEnded ? processOf(process).status_ : -1;
}

bool ProcessHarness::isRunning(ProcessId process)
{
    Process &entry = processOf(process);
    if (!entry.hasEnded_ && ::waitpid(entry.pid_, &entry.status_, WNOHANG) == entry.pid_)
        entry.hasEnded_ = true;
    return !entry.hasEnded_;
}

std::string ProcessHarness::output(ProcessId process) const
{
    return readFile(fileOf(processOf(process), ".out"));
}

std::string ProcessHarness::errors(ProcessId process) const
{
    return readFile(fileOf(processOf(process), ".err"));
}

std::string ProcessHarness::writeFile(std::string_view name, std::string_view content) const
{
    const auto path = folder_ / name;
    std::ofstream(path) << content;
    return path;
}

const ProcessHarness::Process &ProcessHarness::processOf(ProcessId process) const
{
    return processes_.at(static_cast<std::size_t>(process));
}

ProcessHarness::Process &ProcessHarness::processOf(ProcessId process)
{
    return processes_.at(static_cast<std::size_t>(process));
}

std::filesystem::path ProcessHarness::fileOf(const Process &process, std::string_view end) const
{
    return folder_ / (process.name_ + std::string(end));
}

} // namespace cardamombay::support
