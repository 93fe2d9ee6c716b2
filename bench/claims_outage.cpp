// What to do with keyed requests while the store is down: refuse them, claim them at every entry
// VM, or hand them over unclaimed. A small model of ten minutes of outage with a partition between
// the entry VMs and one replaced entry VM; prints what was handed over, refused and run twice.
#include <cardamombay/core/random.hpp>

#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <vector>

using cardamombay::Random;

namespace {

constexpr std::size_t entries = 7;
constexpr std::size_t leftSide = 3; ///< Entry VMs on one side of the partition.
constexpr double outage = 600;      ///< Seconds.
constexpr double partitionBegin = 200;
constexpr double partitionEnd = 260;
constexpr double detection = 5; ///< Until a silent peer leaves the others' views, or returns.
constexpr double replacedAt = 400;
constexpr std::size_t replacedEntry = 5;
constexpr double requestsPerSecond = 50;
constexpr double retryDelay = 1;

enum class Way { Refuse, ClaimAtEveryEntry, Unclaimed };

struct Request
{
    double time_;
    std::uint64_t key_;
    bool isRetry_;

    friend bool operator>(const Request &a, const Request &b) { return a.time_ > b.time_; }
};

struct Tally
{
    std::uint64_t handedOver_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t doubled_ = 0;
};

class Outage
{
public:
    Outage(Way way, double retryShare, std::uint64_t seed)
        : way_(way)
        , retryShare_(retryShare)
        , random_(seed)
    {
    }

    Tally run()
    {
        std::uint64_t key = 0;
        for (double time = 0; time < outage; time += gap())
            pending_.push({time, key++, false});
        while (!pending_.empty()) {
            const auto request = pending_.top();
            pending_.pop();
            serve(request);
        }
        return tally_;
    }

private:
    double gap() { return -std::log(1 - random_.unit()) / requestsPerSecond; }

    static bool isLeft(std::size_t entry) { return entry < leftSide; }

    static bool canReach(std::size_t a, std::size_t b, double time)
    {
        const bool isParted = time >= partitionBegin && time < partitionEnd;
        return !isParted || isLeft(a) == isLeft(b);
    }

    static bool isInView(std::size_t a, std::size_t b, double time)
    {
        const bool isDropped
            = time >= partitionBegin + detection && time < partitionEnd + detection;
        return !isDropped || isLeft(a) == isLeft(b);
    }

    void serve(const Request &request)
    {
        if (!hasReplaced_ && request.time_ >= replacedAt) {
            hasReplaced_ = true;
            known_[replacedEntry].clear();
        }
        const auto at = random_.below(entries);
        if (way_ == Way::Refuse) {
            ++tally_.refused_;
            return;
        }
        if (way_ == Way::ClaimAtEveryEntry && !claim(at, request))
            return;
        ++tally_.handedOver_;
        if (++runs_[request.key_] == 2)
            ++tally_.doubled_;
        if (!request.isRetry_ && random_.unit() < retryShare_)
            pending_.push({request.time_ + retryDelay, request.key_, true});
    }

    /// True if the key is new to this entry VM and every one in its view took the claim.
    bool claim(std::size_t at, const Request &request)
    {
        if (known_[at].count(request.key_) != 0)
            return false; // A duplicate, answered without a run.
        for (std::size_t peer = 0; peer < entries; ++peer) {
            if (isInView(at, peer, request.time_) && !canReach(at, peer, request.time_)) {
                ++tally_.refused_;
                return false;
            }
        }
        for (std::size_t peer = 0; peer < entries; ++peer) {
            if (canReach(at, peer, request.time_) && isInView(at, peer, request.time_))
                known_[peer].insert(request.key_);
        }
        return true;
    }

    Way way_;
    double retryShare_;
    Random random_;
    std::priority_queue<Request, std::vector<Request>, std::greater<>> pending_;
    std::array<std::set<std::uint64_t>, entries> known_;
    std::map<std::uint64_t, int> runs_;
    bool hasReplaced_ = false;
    Tally tally_;
};

void report(const char *name, Way way, double retryShare)
{
    constexpr std::uint64_t seeds = 20;
    Tally sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto tally = Outage(way, retryShare, seed).run();
        sum.handedOver_ += tally.handedOver_;
        sum.refused_ += tally.refused_;
        sum.doubled_ += tally.doubled_;
    }
    const auto mean = [](std::uint64_t count) { return static_cast<double>(count) / seeds; };
    std::printf("%-20s %4.1f%% retried | handed over %8.1f | refused %8.1f | run twice %6.2f\n",
                name, retryShare * 100, mean(sum.handedOver_), mean(sum.refused_),
                mean(sum.doubled_));
}

} // namespace

int main()
{
    for (const double retryShare : {0.002, 0.02}) {
        report("refuse", Way::Refuse, retryShare);
        report("claim at every entry", Way::ClaimAtEveryEntry, retryShare);
        report("unclaimed", Way::Unclaimed, retryShare);
    }
    return 0;
}
