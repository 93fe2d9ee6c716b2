// Seeded fuzzing of everything that untrusted text reaches. A failure prints what is needed to run
// it again: CARDAMOMBAY_FUZZ_SEED=<seed> test_fuzz --filter 'seeded_fuzz/<target>'. The time of
// each target is CARDAMOMBAY_FUZZ_SECONDS, 2 by default.
#include "fuzz_targets.hpp"
#include "mutator.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace cardamombay::fuzz;

namespace {

constexpr std::uint64_t defaultSeed = 20261202;
constexpr std::chrono::seconds longestRun{5}; ///< Processor time for one text.

/// The text being run, for the handler of a crash.
const std::string *current = nullptr;
std::string crashFile;

void saveCurrent()
{
    const int file = ::open(crashFile.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    if (file < 0 || !current)
        return;
    const auto written = ::write(file, current->data(), current->size());
    ::close(file);
    if (written < 0)
        std::fputs("the text could not be saved\n", stderr);
}

void onCrash(int signal)
{
    saveCurrent();
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

std::uint64_t numberFromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void addFiles(std::vector<std::string> &corpus, const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    if (std::filesystem::is_directory(folder)) {
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            if (entry.is_regular_file())
                files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    for (const auto &file : files)
        corpus.push_back(readFile(file));
}

std::vector<std::string> corpusOf(std::string_view target)
{
    const std::filesystem::path source(SOURCE_FOLDER);
    std::vector<std::string> corpus;
    addFiles(corpus, source / "tests/data/fuzz" / target);
    if (target == "chart")
        addFiles(corpus, source / "charts");
    if (target == "configuration") {
        addFiles(corpus, source / "examples/quiete_sonora");
        addFiles(corpus, source / "examples/wasata");
    }
    return corpus;
}

/// Processor time of this thread, which does not pass while a busy machine runs others.
std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

bool runOne(const FuzzTarget &target, const std::string &text)
{
    current = &text;
    const auto start = processorTime();
    std::string problem;
    try {
        target.run_(text);
    } catch (const std::exception &failure) {
        problem = failure.what();
    }
    if (problem.empty() && processorTime() - start > longestRun)
        problem = "took too long";
    if (problem.empty())
        return true;
    saveCurrent();
    std::fprintf(stderr, "%s: %s; text saved in %s\n", std::string(target.name_).c_str(),
                 problem.c_str(), crashFile.c_str());
    return false;
}

/// Runs the corpus as it is, then changed texts until the time is over.
void fuzz(const char *name)
{
    const FuzzTarget *target = findTarget(name);
    cr_assert(target != nullptr);
    const auto seed = numberFromEnvironment("CARDAMOMBAY_FUZZ_SEED", defaultSeed);
    const std::chrono::seconds time(numberFromEnvironment("CARDAMOMBAY_FUZZ_SECONDS", 2));
    crashFile = std::string("fuzz-") + name + "-" + std::to_string(seed) + ".txt";
    for (const int signal : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL})
        std::signal(signal, onCrash);
    const auto corpus = corpusOf(name);
    cr_assert_not(corpus.empty(), "no corpus for %s", name);

    bool isClean = true;
    for (const auto &text : corpus)
        isClean = runOne(*target, text) && isClean;
    Mutator mutator(corpus, seed);
    const auto end = std::chrono::steady_clock::now() + time;
    std::uint64_t runs = 0;
    while (isClean && std::chrono::steady_clock::now() < end) {
        isClean = runOne(*target, mutator.next());
        ++runs;
    }
    std::printf("fuzz target=%s seed=%lu runs=%lu\n", name, seed, runs);
    cr_assert(isClean, "seed %lu, run %lu", seed, runs);
}

} // namespace

Test(seeded_fuzz, configuration)
{
    fuzz("configuration");
}

Test(seeded_fuzz, settings)
{
    fuzz("settings");
}

Test(seeded_fuzz, chart)
{
    fuzz("chart");
}

Test(seeded_fuzz, digest)
{
    fuzz("digest");
}

Test(seeded_fuzz, json_rpc)
{
    fuzz("json_rpc");
}

Test(seeded_fuzz, http_request)
{
    fuzz("http_request");
}

Test(seeded_fuzz, endpoint)
{
    fuzz("endpoint");
}

Test(seeded_fuzz, platform)
{
    fuzz("platform");
}

Test(seeded_fuzz, rows)
{
    fuzz("rows");
}

Test(seeded_fuzz, admin)
{
    fuzz("admin");
}

Test(seeded_fuzz, store_entries)
{
    fuzz("store_entries");
}

Test(seeded_fuzz, datagrams)
{
    fuzz("datagrams");
}

Test(seeded_fuzz, returns)
{
    fuzz("returns");
}

Test(seeded_fuzz, overload)
{
    fuzz("overload");
}

Test(seeded_fuzz, same_seed_gives_the_same_texts)
{
    Mutator first({"{\"a\": 1}", "[]"}, 7);
    Mutator second({"{\"a\": 1}", "[]"}, 7);

    for (int i = 0; i < 100; ++i)
        cr_assert(first.next() == second.next());
}
