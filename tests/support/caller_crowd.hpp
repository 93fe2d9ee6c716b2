/// \file
/// \brief Callers on threads of their own, who note what they were told.
#pragma once

#include "support/fleet.hpp"

#include <cardamombay/core/random.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace cardamombay::support {

/// \brief What the callers of a crowd ask for, by share.
struct CrowdMix
{
    double streams_ = 0.45;       ///< Idempotent, with a seed.
    double whole_ = 0.15;         ///< The same, not streamed.
    double markedStreams_ = 0.15; ///< Marked as non-idempotent.
    double keyedBookings_ = 0.15; ///< With a key; tried again elsewhere with the same key.
    std::uint32_t bookingTries_ = 3;
    // The rest are bookings without a key, sent once.
};

/// \brief Callers that go on until they are stopped.
/// \details They pick entry VMs at random, as a balancer without health checks would, so they also
/// meet those that are down.
class CallerCrowd
{
public:
    CallerCrowd(const Fleet &fleet, std::uint64_t seed, std::uint32_t callers, CrowdMix mix = {});
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;
    ~CallerCrowd();

    /// \brief Waits for the calls under way.
    /// \returns what the callers were told.
    std::vector<CallRecord> stop();

    /// \brief Calls ended with a whole success so far.
    [[nodiscard]] std::uint64_t successes() const { return successes_; }

private:
    void run(std::uint64_t seed, std::uint32_t caller);
    void complete(Random &random, const std::string &mark, bool isStream, bool isMarked);
    void book(Random &random, const std::string &mark, bool isKeyed);
    void note(CallRecord told);
    [[nodiscard]] Caller pickEntry(Random &random) const;

    const Fleet &fleet_;
    CrowdMix mix_;
    std::atomic<bool> isStopping_{false};
    std::atomic<std::uint64_t> successes_{0};
    std::mutex mutex_;
    std::vector<CallRecord> told_;
    std::vector<std::thread> threads_;
};

/// \brief Number of records by status and outcome, for the test's output.
[[nodiscard]] std::string summarize(std::span<const CallRecord> told);

} // namespace cardamombay::support
