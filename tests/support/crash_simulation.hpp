/// \file
/// \brief Simulates callers, crashing groups and a fleet of gateways on a manual clock.
/// \details Groups start a request after a queueing delay, and crash with all their requests when
/// they run a poison pill or when the load says so. A crashed group is delisted after 3.6 s and
/// replaced after 6 s.
#pragma once

#include "support/node_fleet.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cardamombay::crashing {

/// \brief Requests whose prompts contain a part that crashes endpoints. No two are alike; sound
/// requests share their team and their other parts.
struct DeadlyParts
{
    double requestsPerSecond_ = 0; ///< Of new requests, at random entry VMs; zero: none.
    Duration lasts_ = std::chrono::seconds(15); ///< Starts after 2 s.
    bool isFirst_ = false;          ///< The deadly part is the first one, which all others share.
    bool wasSound_ = false;         ///< The part was sound until it starts to crash endpoints.
    bool sendsHead_ = true;         ///< Endpoints send the head of an answer before they crash.
    bool hasRareCompanion_ = false; ///< All deadly requests share a part that is rare elsewhere.
};

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
    DeadlyParts deadly_;
    Duration answersLast_ = std::chrono::milliseconds(800); ///< Shortest answer.
    /// If set, called with the fleet and the time since the start at each step.
    std::function<void(support::NodeFleet &, Duration)> disturb_;
};

/// \brief A number of requests out of others.
struct Share
{
    std::size_t count_ = 0;
    std::size_t total_ = 0;

    void add(bool counts)
    {
        count_ += counts ? 1 : 0;
        ++total_;
    }
    void add(const Share &other)
    {
        count_ += other.count_;
        total_ += other.total_;
    }
    [[nodiscard]] double value() const
    {
        return total_ == 0 ? 1 : static_cast<double>(count_) / static_cast<double>(total_);
    }
};

/// \brief Results of a simulation.
struct Outcome
{
    std::size_t asked_ = 0;
    std::size_t onTime_ = 0;      ///< Complete, with the first event within 1 s of arrival.
    std::size_t served_ = 0;      ///< Complete answers.
    std::size_t quarantined_ = 0; ///< Other callers refused because of a quarantine.
    std::size_t poisonSends_ = 0; ///< Sends of the poison pill to live groups.
    /// Sends later than 3 s after the third crash, or after the fifth if a part is deadly.
    std::size_t poisonLate_ = 0;
    std::set<std::string> soundPartsJudged_; ///< Parts in quarantine that are not deadly.
    std::size_t ended_ = 0;                  ///< Groups crashed by the poison pill.
    /// Sound requests that began at the first attempt: before the first deadly request, and from
    /// 6 s after the fifth crash until the last one.
    Share firstTryBefore_;
    Share firstTryAfter_;
};

/// \brief Runs \p load with the random numbers of \p seed.
[[nodiscard]] Outcome simulate(const Load &load, std::uint64_t seed);

} // namespace cardamombay::crashing
