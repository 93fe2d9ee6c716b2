/// \file
/// \brief Starts the real programs under test and ends everything it started.
#pragma once

#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace cardamombay::support {

/// \brief Limit for conditions of real-process tests; generous, since machines are busy.
constexpr Duration processLimit = std::chrono::seconds(60);

/// \brief Checks \p condition until it holds or \p limit has passed.
/// \returns whether it held.
bool waitUntil(const std::function<bool()> &condition, Duration limit = processLimit);

/// \brief A port on 127.0.0.1 that nobody listens on and no other test process was given.
[[nodiscard]] std::uint16_t freePort();

/// \brief Handle of a started process.
enum class ProcessId : std::size_t {};

/// \brief Starts programs, signals them by id and collects what they print.
/// \details A program dies with the thread that started it, so that a failed or killed test leaves
/// none behind. Output goes to files in folder(), which is removed at the end unless the
/// environment has CARDAMOMBAY_KEEP_OUTPUT.
/// \code
/// ProcessHarness harness;
/// const auto engine = harness.start("engine-1", harness.program("engine_standin"), {});
/// const auto port = harness.waitForPort(engine);
/// \endcode
class ProcessHarness
{
public:
    /// \param programs folder of the programs under test.
    explicit ProcessHarness(std::filesystem::path programs);
    ProcessHarness(const ProcessHarness &) = delete;
    ProcessHarness &operator=(const ProcessHarness &) = delete;
    ~ProcessHarness();

    [[nodiscard]] std::string program(std::string_view name) const;
    [[nodiscard]] const std::filesystem::path &folder() const { return folder_; }

    /// \brief Starts a program; throws std::system_error if it cannot.
    ProcessId start(std::string name, const std::string &program,
                    const std::vector<std::string> &arguments);

    /// \brief Reads N from its line "listening port=N"; throws if it ends or stays silent.
    std::uint16_t waitForPort(ProcessId process, Duration limit = processLimit);

    /// \name Signals
    /// \{
    void terminate(ProcessId process); ///< SIGTERM
    void kill(ProcessId process);      ///< SIGKILL, and waits for its end.
    void pause(ProcessId process);     ///< SIGSTOP
    void resume(ProcessId process);    ///< SIGCONT
    /// \}

    /// \brief Exit status as of waitpid; -1 if it still runs at the limit.
    int waitForExit(ProcessId process, Duration limit = processLimit);
    [[nodiscard]] bool isRunning(ProcessId process);
    [[nodiscard]] pid_t pid(ProcessId process) const { return processOf(process).pid_; }

    [[nodiscard]] std::string output(ProcessId process) const;
    [[nodiscard]] std::string errors(ProcessId process) const;

    /// \brief Writes a file into folder() and returns its path.
    std::string writeFile(std::string_view name, std::string_view content) const;

private:
    struct Process
    {
        std::string name_;
        pid_t pid_ = 0;
        bool hasEnded_ = false;
        int status_ = 0;
    };

    [[nodiscard]] const Process &processOf(ProcessId process) const;
    [[nodiscard]] Process &processOf(ProcessId process);
    void signal(ProcessId process, int number);
    [[nodiscard]] std::filesystem::path fileOf(const Process &process, std::string_view end) const;

    std::filesystem::path programs_;
    std::filesystem::path folder_;
    std::vector<Process> processes_;
};

} // namespace cardamombay::support
