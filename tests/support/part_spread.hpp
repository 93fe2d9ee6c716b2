/// \file
/// \brief A fleet of entry VMs that learns of a deadly part of prompts, for tests of its spread.
#pragma once

#include "support/node_fleet.hpp"

#include <criterion/criterion.h>

#include <cstdio>

namespace cardamombay::support {

/// \brief Time after the last crash by which no entry VM sends the part any more.
inline constexpr Duration spreadBound = std::chrono::milliseconds(500);

inline const serving::RequestFingerprint deadlyPart(0xdead, serving::FingerprintKind::PromptPart);

/// \brief A fleet with nine groups that has run for some seconds.
inline std::unique_ptr<NodeFleet> startedFleet(std::size_t entries, std::uint64_t seed,
                                               double lossShare)
{
    auto fleet = std::make_unique<NodeFleet>(entries, entries > 7 ? 5 : 3, 2, seed);
    fleet->faults_ = {lossShare, std::chrono::milliseconds(20)};
    fleet->configure(1, {"key"});
    for (int i = 0; i < 9; ++i)
        fleet->listGroup("head-" + std::to_string(i));
    fleet->start();
    fleet->pass(std::chrono::seconds(4));
    return fleet;
}

/// \brief Sends different requests with the deadly part, each to another entry VM, until three of
/// them have crashed their endpoints as the answers began, or no more are sent.
inline void crashEndpoints(NodeFleet &fleet)
{
    const std::size_t asked[] = {fleet.size() / 3, fleet.size() / 2, fleet.size() - 1};
    for (std::size_t i = 0; i < 3; ++i) {
        if (i > 0)
            fleet.pass(std::chrono::milliseconds(300));
        auto &node = fleet.node(asked[i]);
        (void)askWithParts(node.gateway_, "/stream/" + std::to_string(i), "m", "key", "dead:2,f:3");
        if (node.upstream_.calls_.empty())
            return;
        const auto call = node.upstream_.calls_.back();
        cr_assert(call->connect());
        call->sealedHead();
        for (std::size_t other = 0; other < fleet.size(); ++other)
            fleet.node(other).upstream_.ended_.insert(call->request_.address_);
        call->fail(true);
    }
}

/// \brief True if the entry VM would send a request with the part now.
inline bool sends(FleetNode &node)
{
    const auto &pills = node.gateway_.poisonPills();
    return !pills.awaitsVerdict({&deadlyPart, 1})
           && !pills.quarantinedFor(deadlyPart, node.clock_.now());
}

/// \brief Number of entry VMs that would send a request with the part now.
inline std::size_t countSending(NodeFleet &fleet)
{
    std::size_t result = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        result += sends(fleet.node(i)) ? 1 : 0;
    return result;
}

/// \brief Time until no entry VM sends the part; spreadBound if some still do.
inline Duration timeUntilNoneSends(NodeFleet &fleet)
{
    const auto from = fleet.clock_.now();
    while (fleet.clock_.now() - from < spreadBound && countSending(fleet) > 0)
        fleet.pass(std::chrono::milliseconds(10));
    return fleet.clock_.now() - from;
}

/// \brief Asserts that the spread takes less than spreadBound, and prints how long it takes.
inline void assertSpread(std::size_t entries, std::uint64_t seed, double lossShare)
{
    const auto fleet = startedFleet(entries, seed, lossShare);
    crashEndpoints(*fleet);
    const auto time = timeUntilNoneSends(*fleet);
    std::printf("%zu entry VMs, %.2f of datagrams lost, seed %llu: no sends %lld ms after the last "
                "crash\n",
                entries, lossShare, static_cast<unsigned long long>(seed),
                static_cast<long long>(toMilliseconds(time)));
    cr_assert_lt(time, spreadBound, "%zu entry VMs, seed %llu: %zu still send", entries,
                 static_cast<unsigned long long>(seed), countSending(*fleet));
    fleet->pass(serving::PoisonPills::objectionPeriod);
    cr_assert_eq(countSending(*fleet), 0);
}

} // namespace cardamombay::support
