/// \file
/// \brief A soak of real gateways among seeded faults, for the tests of several labels.
#pragma once

#include "client_memory/client_attack.hpp"
#include "support/fleet_platform_deployment.hpp"

#include <cardamombay/core/random.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t wholeStream = 20;

/// What callers were told about calls that may run only once.
class Ledger
{
public:
    void add(const std::string &id, std::uint32_t status)
    {
        const std::lock_guard lock(mutex_);
        statuses_[id] = status;
    }

    /// \brief The promises that the endpoints' counts break.
    [[nodiscard]] std::vector<std::string> broken(const EngineReport &report) const
    {
        std::map<std::string, int> runs(report.runs_.begin(), report.runs_.end());
        std::vector<std::string> result = report.violations_;
        for (const auto &[id, status] : statuses_) {
            if (runs[id] > 1)
                result.push_back(id + " ran " + std::to_string(runs[id]) + " times");
            if (status == 503 && runs[id] > 0)
                result.push_back(id + " ran, and its caller was told that it did not");
            if (status == 200 && runs[id] != 1)
                result.push_back(id + " was answered and did not run");
        }
        return result;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::uint32_t> statuses_;
};

/// One caller that alternates between streams and calls at random gateways.
void callUntil(const Deployment &deployment, const std::atomic<bool> &isStopped, std::uint64_t seed,
               Ledger &ledger, std::atomic<int> &falseEnds)
{
    Random random(seed);
    for (int i = 0; !isStopped; ++i) {
        const auto gateway = random.below(Deployment::gatewayCount);
        const auto id = std::to_string(seed) + "-" + std::to_string(i);
        if (random.below(2) == 0) {
            ledger.add("o" + id, deployment.call(gateway, "/once/1", "o" + id).status_);
            continue;
        }
        const auto result = deployment.stream(gateway, id, random.below(2) == 0 ? "m" : "n");
        if (result.status_ == 200 && result.isWhole_
            && countSequentialEvents(result.body_) != wholeStream)
            ++falseEnds;
    }
}

/// Faults that come alone and overlap; each is undone before the end.
class Faults
{
public:
    Faults(Deployment &deployment, std::uint64_t seed)
        : deployment_(deployment)
        , random_(seed)
    {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number)
            processes_.push_back(deployment.gateway(number));
    }

    void step()
    {
        const auto number = random_.below(Deployment::gatewayCount);
        switch (random_.below(9)) {
        case 0:
            restart(number, false);
            break;
        case 1:
            restart(number, true);
            break;
        case 2:
            pause(number);
            break;
        case 3:
            loseEngine();
            break;
        case 4:
            toggleStore();
            break;
        case 5:
        case 6:
            spoilLink();
            break;
        case 7:
            mendLinks();
            break;
        default:
            ++version_;
            deployment_.configure(version_, version_ % 2 == 0 ? "/extra/" : "");
        }
    }

    /// The store comes back from a backup; now and then twice in a row.
    void restoreStore()
    {
        for (std::size_t i = 0; i <= random_.below(2); ++i)
            deployment_.tell("restore/" + std::to_string(500 + random_.below(4000)));
    }

    /// An endpoint refuses all for a while, or says that it leaves.
    void sendNotice()
    {
        const auto engine
            = "e-" + std::to_string(random_.below(2)) + "-" + std::to_string(random_.below(6));
        if (random_.below(8) == 0)
            deployment_.tell("leaving/" + engine);
        else
            deployment_.tell("cooldown/" + (random_.below(3) == 0 ? "p-0" : engine),
                             std::to_string(1 + random_.below(3)));
    }

    void undo()
    {
        if (isStoreOut_)
            toggleStore();
        mendLinks();
        for (const auto number : paused_)
            deployment_.harness().resume(processes_[number]);
        paused_.clear();
    }

    /// \brief The present process of a gateway.
    [[nodiscard]] pid_t process(std::size_t number) const
    {
        return deployment_.harness().pid(processes_[number]);
    }

private:
    void restart(std::size_t number, bool isGraceful)
    {
        if (paused_.contains(number))
            return;
        auto &harness = deployment_.harness();
        if (isGraceful) {
            harness.terminate(processes_[number]);
            harness.waitForExit(processes_[number], seconds(15));
        } else {
            harness.kill(processes_[number]);
        }
        processes_[number] = deployment_.startGateway(number);
    }

    void pause(std::size_t number)
    {
        if (paused_.erase(number) > 0) {
            deployment_.harness().resume(processes_[number]);
            return;
        }
        deployment_.harness().pause(processes_[number]);
        paused_.insert(number);
    }

    /// Enough engines are left for both models.
    void loseEngine()
    {
        if (lost_ >= 3)
            return;
        const auto id = "e-" + std::to_string(lost_ % 2) + "-" + std::to_string(random_.below(6));
        ++lost_;
        deployment_.tell("silence/" + id);
        deployment_.tell("expire/" + id);
    }

    void toggleStore()
    {
        isStoreOut_ = !isStoreOut_;
        deployment_.tell(isStoreOut_ ? "outage/503" : "outage/0");
    }

    /// What a link may do to what passes, one way or both.
    static constexpr std::array<const char *, 8> linkFaults{
        R"({"to_server":{"delay_ms":60},"to_client":{"delay_ms":60}})",
        R"({"to_client":{"delay_ms":400}})",
        R"({"to_server":{"partitioned":true},"to_client":{"partitioned":true}})",
        R"({"to_client":{"partitioned":true}})",
        R"({"to_server":{"drop":true}})",
        R"({"to_client":{"cut_after":900}})",
        R"({"refuse":true})",
        R"({"to_client":{"bytes_per_second":2000}})"};

    void spoilLink()
    {
        const auto link = random_.below(deployment_.linkCount());
        spoiled_.insert(link);
        if (random_.below(4) == 0)
            deployment_.controlLink(link, "cut");
        else
            deployment_.controlLink(link, "faults",
                                    linkFaults.at(random_.below(linkFaults.size())));
    }

    void mendLinks()
    {
        for (const auto link : spoiled_)
            deployment_.controlLink(link, "faults", "{}");
        spoiled_.clear();
    }

    Deployment &deployment_;
    Random random_;
    std::set<std::size_t> spoiled_;
    std::vector<support::ProcessId> processes_;
    std::set<std::size_t> paused_;
    int lost_ = 0;
    int version_ = 1;
    bool isStoreOut_ = false;
};

/// Ends of engines under one poison pill that comes again and again. Entry VMs that start again
/// have forgotten the evidence, but not the verdict; those that were paused or cut off from their
/// peers send it on until they are told.
constexpr int mostCrashes = 12;

/// The caller of a poison pill, who never gives up.
/// \param isPart no two of the requests are alike, but all have a deadly part in their prompts.
void poisonUntil(const Deployment &deployment, const std::atomic<bool> &isStopped,
                 std::uint64_t seed, bool isPart)
{
    Random random(seed);
    for (int i = 0; !isStopped; ++i) {
        const auto gateway = random.below(Deployment::gatewayCount);
        const auto id = "pill-" + std::to_string(seed) + "-" + std::to_string(i);
        if (isPart)
            (void)deployment.streamWithParts(gateway, id, "a:40,dead:90,f1:10");
        else
            (void)deployment.stream(gateway, id, "m", "key-a", "/stream/pill");
        std::this_thread::sleep_for(milliseconds(50));
    }
}

/// Clients of every kind at each port of each gateway that takes requests.
std::vector<support::Transmission> hostileTransmissions(const Deployment &deployment,
                                                        std::uint64_t seed)
{
    constexpr std::size_t clientsOfGateway = 45;
    Random random(seed);
    std::vector<support::Transmission> result;
    for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
        const auto &ports = deployment.ports(number);
        for (std::size_t client = 0; client < clientsOfGateway; ++client) {
            const auto id = "h-" + std::to_string(number) + "-" + std::to_string(client);
            result.push_back(transmissionOfKind(client % kindCount, id));
            const auto port = random.below(8);
            result.back().port_ = port == 0   ? ports.digests_
                                  : port == 1 ? ports.readiness_
                                  : port == 2 ? ports.metrics_
                                              : ports.callers_;
        }
    }
    return result;
}

/// Largest sum of resident and unread bytes of the gateways' processes; largest count of
/// descriptors.
struct GatewayPeaks
{
    void sample(const Deployment &deployment, const Faults &faults)
    {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
            const auto &ports = deployment.ports(number);
            const std::array listening{ports.callers_, ports.readiness_, ports.digests_,
                                       ports.metrics_};
            const auto process = faults.process(number);
            if (!support::runsProgram(process, "cardamombay-gateway"))
                continue;
            bytes_ = std::max(bytes_, support::residentBytes(process)
                                          + support::unreadBytes(process, listening));
            descriptors_ = std::max(descriptors_, support::openDescriptors(process));
        }
    }

    std::size_t bytes_ = 0;
    std::size_t descriptors_ = 0;
};

/// What is played beside the usual faults.
enum class Beside { Nothing, Pill, DeadlyPart, Restores, Notices, HostileClients };

/// \param beside with a pill a request ends the engines that run it, beside all other faults.
/// Endpoints are reached without a proxy then, which would answer for an engine that has ended.
void soak(std::uint64_t seed, Duration length, Beside beside)
{
    const bool withPill = beside == Beside::Pill || beside == Beside::DeadlyPart;
    const bool withHostile = beside == Beside::HostileClients;
    Deployment deployment(withPill ? Links::Store : Links::StoreAndEndpoints,
                          withHostile ? bodiesBeyondMemory.machineMegabytes_ : 0);
    Ledger ledger;
    std::atomic<bool> isStopped = false;
    std::atomic<int> falseEnds = 0;
    std::vector<std::thread> callers;
    for (std::uint64_t number = 0; number < 4; ++number)
        callers.emplace_back([&, number] {
            callUntil(deployment, isStopped, seed * 10 + number, ledger, falseEnds);
        });
    if (withPill)
        callers.emplace_back([&] {
            poisonUntil(deployment, isStopped, seed * 10 + 7, beside == Beside::DeadlyPart);
        });
    std::optional<support::ClientCrowd> hostile;
    if (withHostile)
        hostile.emplace(hostileTransmissions(deployment, seed));
    GatewayPeaks peaks;
    Faults faults(deployment, seed);
    const auto end = std::chrono::steady_clock::now() + length;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
        if (beside == Beside::Restores && i % 3 == 1)
            faults.restoreStore();
        else if (beside == Beside::Notices && i % 2 == 1)
            faults.sendNotice();
        else
            faults.step();
        for (int sample = 0; sample < 14; ++sample) {
            if (withHostile)
                peaks.sample(deployment, faults);
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    faults.undo();
    hostile.reset();
    const bool recovers = support::waitUntil([&deployment] {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
            if (countSequentialEvents(deployment.stream(number, "after").body_) != wholeStream
                || countSequentialEvents(deployment.stream(number, "after", "n").body_)
                       != wholeStream)
                return false;
        }
        return true;
    });
    isStopped = true;
    for (auto &caller : callers)
        caller.join();
    const auto report = deployment.report();
    if (withPill)
        std::printf("seed %llu: %d engines ended under the poison pill\n",
                    static_cast<unsigned long long>(seed), report.crashes_);
    if (withHostile) {
        std::printf("seed %llu: %zu bytes and %zu descriptors at most\n",
                    static_cast<unsigned long long>(seed), peaks.bytes_, peaks.descriptors_);
        cr_assert_leq(peaks.bytes_, bodiesBeyondMemory.machineMegabytes_ * megabyte, "seed %llu",
                      static_cast<unsigned long long>(seed));
        cr_assert_leq(peaks.descriptors_, bodiesBeyondMemory.descriptors_, "seed %llu",
                      static_cast<unsigned long long>(seed));
    }
    cr_assert_leq(report.crashes_, mostCrashes, "seed %llu", static_cast<unsigned long long>(seed));
    const auto broken = ledger.broken(report);
    for (const auto &promise : broken)
        std::fprintf(stderr, "seed %llu: %s\n", static_cast<unsigned long long>(seed),
                     promise.c_str());
    cr_assert(broken.empty(), "seed %llu", static_cast<unsigned long long>(seed));
    cr_assert_eq(falseEnds, 0, "seed %llu", static_cast<unsigned long long>(seed));
    cr_assert(recovers, "seed %llu", static_cast<unsigned long long>(seed));
}

void soakAll(Beside beside)
{
    unsigned long long first = 1;
    unsigned long long count = 1;
    unsigned long long length = 12;
    if (const char *text = std::getenv("CARDAMOMBAY_SOAK"))
        std::sscanf(text, "%llu %llu %llu", &first, &count, &length);
    for (unsigned long long seed = first; seed < first + count; ++seed)
        soak(seed, seconds(length), beside);
}

} // namespace
