/// \file
/// \brief Groups as slots with a service time, on the paused clock.
/// \details What finds no free slot waits in one queue by rank, then arrival, as long as the goal
/// allows: an ideal form of the queues of entry VMs.
#pragma once

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/overload/admission_figures.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>

namespace cardamombay::fixture {

inline constexpr std::size_t zones = 3;
inline constexpr std::size_t slotsPerGroup = 16;
inline constexpr double meanServiceSeconds = 0.4;
inline constexpr double meanWork = meanServiceSeconds / slotsPerGroup; ///< Of one request.
inline constexpr Duration waitLimit = std::chrono::milliseconds(200);  ///< Goal 250, 50 to answer.

/// \brief A request that was admitted.
struct SlotRequest
{
    overload::Rank rank_ = 0;
    std::size_t crowd_ = 0;
    std::size_t entry_ = 0;
    std::size_t start_ = 0; ///< Of the process of its entry VM.
    TimePoint arrivedAt_{};
};

/// \brief What becomes of requests.
struct SlotEvents
{
    std::function<void(const SlotRequest &)> started_;
    std::function<void(const SlotRequest &, double seconds)> finished_;
    std::function<void(const SlotRequest &)> late_; ///< Found no slot within its goal.
};

class SlotGroups
{
public:
    /// \param groups in each zone.
    SlotGroups(ManualClock &clock, Random &random, std::size_t groups, SlotEvents events);

    /// \brief Starts a request if a slot that its entry VM reaches is free; otherwise it waits.
    /// \returns true if it was started.
    bool send(const SlotRequest &request);

    [[nodiscard]] bool reaches(std::size_t fromZone, std::size_t zone) const;
    [[nodiscard]] std::size_t slots(std::size_t zone) const { return slots_[zone]; }

    /// \brief Changes the number of groups; requests that run are finished.
    void setGroups(std::size_t zone, std::size_t groups) { slots_[zone] = groups * slotsPerGroup; }

    std::optional<std::size_t> cutOff_; ///< Zone without a link to the others.
    double serviceFactor_ = 1;          ///< Above 1, groups are slower than their profile.

private:
    [[nodiscard]] bool start(const SlotRequest &request);
    [[nodiscard]] std::size_t freeSlots(std::size_t zone) const;
    void serveWaiting();
    void sweep();

    ManualClock &clock_;
    Random &random_;
    SlotEvents events_;
    std::array<std::size_t, zones> slots_{};
    std::array<std::size_t, zones> busy_{};
    std::map<std::pair<overload::Rank, std::size_t>, SlotRequest> waiting_;
    std::size_t arrivals_ = 0;
};

} // namespace cardamombay::fixture
