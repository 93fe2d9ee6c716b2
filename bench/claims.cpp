// Claims a second against store writes a second, and the latency that a claim adds; on the paused
// clock. Prints one line for each case.
#include "support/fake_store.hpp"

#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/core/manual_clock.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

using namespace cardamombay;
using namespace cardamombay::claims;

namespace {

constexpr Duration runTime = std::chrono::seconds(20);
constexpr Duration requestTime = std::chrono::milliseconds(50);

struct Case
{
    std::size_t entries_;
    double claimsPerSecond_;
    double duplicateShare_; ///< Of the requests, repeated at another entry VM.
    BatchPolicy batches_;
    const char *name_;
};

/// Entry VMs before one store, with random arrivals.
class Run
{
public:
    Run(const Case &setup, const ClaimProgramPtr &program)
        : case_(setup)
    {
        platform_.faults_.latency_ = std::chrono::milliseconds(5);
        for (std::size_t i = 0; i < setup.entries_; ++i) {
            tables_.push_back(std::make_unique<support::FakeTableStore>(platform_));
            randoms_.push_back(std::make_unique<Random>(i + 1));
            books_.push_back(std::make_unique<ClaimRegistry>(
                ClaimRegistry::Dependencies{clock_, *tables_[i], objects_, *randoms_[i], program,
                                            EntryId("e" + std::to_string(i)), Incarnation(1)},
                ClaimPolicy{}, setup.batches_));
            books_[i]->setEntryCount(static_cast<std::uint32_t>(setup.entries_));
        }
    }

    void run()
    {
        arrive();
        clock_.advance(runTime);
        report();
    }

private:
    void arrive()
    {
        const double gap = -std::log(1 - random_.unit()) / case_.claimsPerSecond_;
        const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        clock_.schedule(delay, [this] {
            claimNext();
            arrive();
        });
    }

    void claimNext()
    {
        const bool isRepeat = keys_ > 0 && random_.unit() < case_.duplicateShare_;
        const auto number
            = isRepeat ? keys_ - 1 - random_.below(std::min(keys_, recentKeys)) : keys_++;
        auto &book = *books_[random_.below(books_.size())];
        const auto start = clock_.now();
        ++offered_;
        book.claim(
            {TeamName("team"), IdempotencyKey("k" + std::to_string(number)), "body"},
            [this, &book, start](const Result<ClaimAnswer> &answer) { take(book, start, answer); });
    }

    void take(ClaimRegistry &book, TimePoint start, const Result<ClaimAnswer> &answer)
    {
        const std::chrono::duration<double, std::milli> waited = clock_.now() - start;
        if (!isOk(answer)) {
            ++refused_;
            return;
        }
        waits_.push_back(waited.count());
        const auto *granted = std::get_if<Granted>(&valueOf(answer));
        if (!granted)
            return;
        ++granted_;
        clock_.schedule(requestTime, [&book, claim = granted->claim_] {
            StoredOutcome stored{outcomes::Outcome::Ran, true, 200, "application/json", "{}"};
            book.complete(claim, std::move(stored));
        });
    }

    [[nodiscard]] double percentile(double share)
    {
        if (waits_.empty())
            return 0;
        const auto at = static_cast<std::size_t>(share * static_cast<double>(waits_.size() - 1));
        std::nth_element(waits_.begin(), waits_.begin() + static_cast<std::ptrdiff_t>(at),
                         waits_.end());
        return waits_[at];
    }

    void report()
    {
        const double seconds = std::chrono::duration<double>(runTime).count();
        std::uint64_t tries = 0;
        std::uint64_t changes = 0;
        for (const auto &book : books_) {
            tries += book->batchCounts().transactions_;
            changes += book->batchCounts().changes_;
        }
        std::printf("%-10s %4zu entries %6.0f offered/s %4.1f%% repeats | %6.0f granted/s "
                    "%5.1f%% refused | %6.0f transactions/s %5.1f rows each | "
                    "wait ms p50 %6.1f p95 %6.1f p99 %6.1f\n",
                    case_.name_, case_.entries_, static_cast<double>(offered_) / seconds,
                    case_.duplicateShare_ * 100, static_cast<double>(granted_) / seconds,
                    100.0 * static_cast<double>(refused_) / static_cast<double>(offered_),
                    static_cast<double>(tries) / seconds,
                    static_cast<double>(changes) / static_cast<double>(tries), percentile(0.5),
                    percentile(0.95), percentile(0.99));
    }

    static constexpr std::uint64_t recentKeys = 1000;

    Case case_;
    ManualClock clock_;
    support::FakePlatform platform_{clock_};
    support::FakeObjectStore objects_{platform_};
    Random random_{42};
    std::vector<std::unique_ptr<support::FakeTableStore>> tables_;
    std::vector<std::unique_ptr<Random>> randoms_;
    std::vector<std::unique_ptr<ClaimRegistry>> books_;
    std::vector<double> waits_;
    std::uint64_t keys_ = 0;
    std::uint64_t offered_ = 0;
    std::uint64_t granted_ = 0;
    std::uint64_t refused_ = 0;
};

BatchPolicy unbatched()
{
    BatchPolicy policy;
    policy.writesPerSecond_ = 1e9;
    policy.burst_ = 1e9;
    policy.maxRows_ = 1;
    policy.inFlight_ = 1U << 20U;
    policy.batchDelay_ = Duration::zero();
    return policy;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : "charts";
    const auto chart = chart::ChartFolder(folder).load("claim");
    if (!isOk(chart)) {
        std::fprintf(stderr, "usage: bench_claims [charts folder]\n");
        return 2;
    }
    const auto program = valueOf(makeClaimProgram(valueOf(chart)));
    const std::vector<Case> cases{
        {7, 1000, 0, unbatched(), "single"}, {7, 10, 0, {}, "batched"},
        {7, 100, 0, {}, "batched"},          {7, 1000, 0, {}, "batched"},
        {7, 3000, 0, {}, "batched"},         {7, 5000, 0, {}, "batched"},
        {7, 3000, 0.01, {}, "batched"},      {7, 3000, 0.05, {}, "batched"},
        {340, 65, 0, {}, "batched"},         {340, 260, 0, {}, "batched"},
        {340, 1300, 0, {}, "batched"},
    };
    for (const auto &setup : cases)
        Run(setup, program).run();
    return 0;
}
