/// \file
/// \brief Callers, groups that crash and a fleet of gateways on the paused clock.
/// \details Groups begin a request after a while in their queue, take a batch at most, and end with
/// all they have when they begin a poison pill or when they are told to. An entry is dropped 3.6 s
/// after the end; another engine takes its place after six seconds.
#pragma once

#include "support/node_fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamombay::crashing {

/// \brief What is sent, and what goes wrong.
struct Load
{
    std::size_t entries_ = 7;
    std::size_t groups_ = 10;
    double callersPerSecond_ = 14;
    std::size_t poisonCallers_ = 0; ///< Each sends the same poison pill again as soon as it failed.
    Duration poisonFor_{};          ///< From two seconds on.
    Duration crashEvery_{};     ///< A seventh of the groups end for another reason; zero: never.
    bool answersFirst_ = false; ///< The poison pill ends a group after its first event.
    Duration length_ = std::chrono::seconds(20); ///< Callers come no more after it.
    double lossShare_ = 0.01;
};

/// \brief What callers got.
struct Outcome
{
    std::size_t asked_ = 0;
    std::size_t onTime_ = 0;      ///< Whole, and the first event within a second of the first try.
    std::size_t served_ = 0;      ///< Whole.
    std::size_t quarantined_ = 0; ///< Other callers that were refused as senders of a poison pill.
    std::size_t poisonSends_ = 0; ///< To groups that began them.
    std::size_t poisonLate_ = 0;  ///< Later than three seconds after the third end.
    std::size_t ended_ = 0;       ///< Groups, under the poison pill.
};

/// \brief Plays \p load with the luck of \p seed.
[[nodiscard]] Outcome simulate(const Load &load, std::uint64_t seed);

} // namespace cardamombay::crashing
