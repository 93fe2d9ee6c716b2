/// \file
/// \brief Simulates callers, crashing groups and a fleet of gateways on a manual clock.
/// \details Groups start a request after a queueing delay, and crash with all their requests when
/// they run a poison pill or when the load says so. A crashed group is delisted after 3.6 s and
/// replaced after 6 s.
#pragma once

#include "support/node_fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::crashing {

/// \brief The requests and faults of a simulation.
struct Load
{
    std::size_t entries_ = 7;
    std::size_t groups_ = 10;
    double callersPerSecond_ = 14;
    std::size_t poisonCallers_ = 0; ///< Each repeats the same poison pill after every failure.
    Duration poisonFor_{};          ///< Duration of the poison pill, which starts after 2 s.
    Duration crashEvery_{}; ///< Interval of other crashes of a seventh of the groups; zero: none.
    bool answersFirst_ = false; ///< The poison pill crashes a group only after its first event.
    Duration length_ = std::chrono::seconds(20); ///< No new callers arrive after this time.
    double lossShare_ = 0.01;
};

/// \brief Results of a simulation.
struct Outcome
{
    std::size_t asked_ = 0;
    std::size_t onTime_ = 0;      ///< Complete, with the first event within 1 s of arrival.
    std::size_t served_ = 0;      ///< Complete answers.
    std::size_t quarantined_ = 0; ///< Other callers refused because of a quarantine.
    std::size_t poisonSends_ = 0; ///< Sends of the poison pill to live groups.
    std::size_t poisonLate_ = 0;  ///< Sends later than 3 s after the third crash.
    std::size_t ended_ = 0;       ///< Groups crashed by the poison pill.
};

/// \brief Runs \p load with the random numbers of \p seed.
[[nodiscard]] Outcome simulate(const Load &load, std::uint64_t seed);

} // namespace cardamombay::crashing
