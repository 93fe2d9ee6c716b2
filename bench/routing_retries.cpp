/// \file
/// \brief How much retries add to an outage: attempts at endpoints over requests of callers.
/// \details Usage: bench_routing_retries [requests a second] [seed]. Seven entry VMs route to
/// twelve groups. From second 20 to 80 a part of the groups refuses every connection.
#include "endpoint_model.hpp"

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/retries/circuit_breaker_registry.hpp>
#include <cardamombay/retries/retry_policy.hpp>
#include <cardamombay/routing/router.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

using namespace cardamombay;
using namespace bench;

namespace {

constexpr std::size_t entryCount = 7;
constexpr std::size_t groupCount = 12;
constexpr double outageStart = 20;
constexpr double outageEnd = 80;
constexpr double runEnd = 120;
const ServiceName serviceName("lm");

/// \brief How an entry VM retries.
struct Way
{
    const char *name_ = "";
    bool hasBudget_ = true;
    bool hasCircuits_ = true;
};

struct Counts
{
    double offered_ = 0;
    double attempts_ = 0;
    double served_ = 0;
    double firstServedAfter_ = -1; ///< Seconds from the end of the outage.
};

class Run
{
public:
    Run(const Way &way, std::size_t failing, double perSecond, std::uint64_t seed,
        const retries::CircuitBreakerProgramPtr &program)
        : way_(way)
        , failing_(failing)
        , perSecond_(perSecond)
        , random_(seed)
    {
        retries::RetrySettings settings;
        if (!way.hasBudget_)
            settings.budget_ = {1e9, 1e9, 1e9};
        snapshot_.sequence_ = 1;
        snapshot_.services_.push_back({serviceName, {}});
        for (std::size_t i = 0; i < groupCount; ++i) {
            routing::SnapshotGroup group;
            group.group_ = GroupId("lm/" + std::to_string(i));
            group.freshUntil_ = TimePoint::max();
            group.capacity_ = 16;
            snapshot_.services_[0].groups_.push_back(group);
        }
        for (std::size_t i = 0; i < entryCount; ++i)
            entries_.push_back(std::make_unique<Entry>(seed * 100 + i, settings, program));
    }

    Counts run()
    {
        start_ = clock_.now();
        for (double at = 0; at < runEnd;) {
            at += -std::log(1 - random_.unit()) / perSecond_;
            clock_.advance(start_ + cardamombay::fromSeconds(at) - clock_.now());
            Entry &entry = *entries_[random_.below(entryCount)];
            entry.retries_.freshRequest(serviceName, clock_.now());
            if (isOut())
                counts_.offered_ += 1;
            attempt(entry, std::make_shared<Request>(Request{{}, 0, isOut()}));
        }
        clock_.advance(std::chrono::seconds(10));
        return counts_;
    }

private:
    struct Entry
    {
        Entry(std::uint64_t seed, const retries::RetrySettings &settings,
              const retries::CircuitBreakerProgramPtr &program)
            : router_(seed)
            , retries_(seed + 1, settings)
            , circuits_(program, {}, seed)
        {
        }

        routing::Router router_;
        retries::RetryPolicy retries_;
        retries::CircuitBreakerRegistry circuits_;
    };

    struct Request
    {
        std::vector<GroupId> tried_;
        std::uint32_t attempts_ = 0;
        bool counts_ = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    [[nodiscard]] double second() const { return cardamombay::toSeconds(clock_.now() - start_); }
    [[nodiscard]] bool isOut() const { return second() >= outageStart && second() < outageEnd; }

    void attempt(Entry &entry, const RequestPtr &request)
    {
        std::vector<GroupId> excluded = request->tried_;
        if (way_.hasCircuits_) {
            const auto blocked = entry.circuits_.blocked(clock_.now());
            excluded.insert(excluded.end(), blocked.begin(), blocked.end());
        }
        const auto decision = entry.router_.choose(
            snapshot_, {.service_ = serviceName, .excluded_ = excluded}, clock_.now());
        if (!decision.group_)
            return; // Told "not run" at once, with Retry-After.
        ++request->attempts_;
        const GroupId group = decision.group_->group_;
        const auto index
            = static_cast<std::size_t>(decision.group_ - snapshot_.services_[0].groups_.data());
        entry.router_.started(group, {}, clock_.now());
        entry.circuits_.started(group, clock_.now());
        if (request->counts_)
            counts_.attempts_ += 1;
        if (isOut() && index < failing_)
            fail(entry, request, group);
        else
            serve(entry, request, group);
    }

    void fail(Entry &entry, const RequestPtr &request, const GroupId &group)
    {
        entry.router_.finished(group, {{}, false}, clock_.now());
        entry.circuits_.failed(group, clock_.now());
        request->tried_.push_back(group);
        const auto decision = entry.retries_.decide({.service_ = serviceName,
                                                     .outcome_ = outcomes::Outcome::NotRun,
                                                     .attempts_ = request->attempts_},
                                                    clock_.now());
        if (const auto *retry = std::get_if<retries::Retry>(&decision))
            clock_.schedule(retry->delay_, [this, &entry, request] { attempt(entry, request); });
    }

    void serve(Entry &entry, const RequestPtr &request, const GroupId &group)
    {
        if (request->counts_)
            counts_.served_ += 1;
        if (second() >= outageEnd && counts_.firstServedAfter_ < 0)
            counts_.firstServedAfter_ = second() - outageEnd;
        clock_.schedule(std::chrono::seconds(2), [this, &entry, group] {
            entry.router_.finished(group, {std::chrono::milliseconds(200), true}, clock_.now());
            entry.circuits_.succeeded(group, clock_.now());
        });
    }

    Way way_;
    std::size_t failing_;
    double perSecond_;
    Random random_;
    ManualClock clock_;
    TimePoint start_{};
    routing::RoutingSnapshot snapshot_;
    std::vector<std::unique_ptr<Entry>> entries_;
    Counts counts_;
};

} // namespace

int main(int argc, char **argv)
{
    const double perSecond = argc > 1 ? std::atof(argv[1]) : 40;
    const auto seed = static_cast<std::uint64_t>(argc > 2 ? std::atoi(argv[2]) : 1);
    const auto chart = chart::loadChart(argc > 3 ? argv[3] : "charts/circuit.toml");
    if (!isOk(chart)) {
        std::fprintf(stderr, "%s\n", messageOf(errorOf(chart)).c_str());
        return 1;
    }
    const auto program = retries::makeCircuitBreakerProgram(valueOf(chart));
    if (!isOk(program)) {
        std::fprintf(stderr, "%s\n", messageOf(errorOf(program)).c_str());
        return 1;
    }
    const Way ways[] = {{"three attempts", false, false},
                        {"circuits alone", false, true},
                        {"budget alone", true, false},
                        {"budget and circuits", true, true}};
    std::printf("%.0f requests a second, seed %llu; during an outage of 60 s\n", perSecond,
                static_cast<unsigned long long>(seed));
    std::printf("%-22s %8s %14s %14s %16s\n", "way", "failing", "amplification", "served",
                "first after s");
    for (const std::size_t failing : {std::size_t{12}, std::size_t{6}, std::size_t{1}}) {
        for (const Way &way : ways) {
            const Counts counts = Run(way, failing, perSecond, seed, valueOf(program)).run();
            std::printf("%-22s %5zu/12 %14.3f %14.4f %16.3f\n", way.name_, failing,
                        counts.attempts_ / counts.offered_, counts.served_ / counts.offered_,
                        counts.firstServedAfter_);
        }
    }
    return 0;
}
