/// \file
/// \brief A fleet of entry VMs that admit requests by the level, on the paused clock.
/// \details Groups are slots with a service time. What an entry VM finds no slot for waits in one
/// queue by rank, then arrival, as long as its goal allows. Digests pass at common ticks of 100 ms:
/// after one tick within a zone, and after two, as a sum, between zones.
#pragma once

#include <cardamombay/core/manual_clock.hpp>
#include <cardamombay/core/random.hpp>
#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/overload/demand_meter.hpp>

#include <array>
#include <deque>
#include <memory>
#include <set>
#include <vector>

namespace cardamombay::fixture {

inline constexpr std::size_t zones = 3;
inline constexpr std::size_t slotsPerGroup = 16;
inline constexpr double meanServiceSeconds = 0.4;
inline constexpr Duration waitLimit = std::chrono::milliseconds(200); ///< Goal 250, 50 to answer.
inline constexpr Duration digestPeriod = std::chrono::milliseconds(100);

/// \brief Callers of one team.
struct Crowd
{
    overload::Rank rank_ = 0;
    std::string team_;
    double load_ = 1; ///< Offered work as a share of the capacity.
};

/// \brief Outcomes of a crowd's requests since the last startWindow().
struct Tally
{
    std::size_t asked_ = 0;
    std::size_t inGoal_ = 0;
    std::size_t refused_ = 0; ///< By the level, at arrival.
    std::size_t late_ = 0;    ///< Found no slot within the goal.

    [[nodiscard]] double share() const
    {
        return asked_ == 0 ? 1 : double(inGoal_) / double(asked_);
    }
};

class AdmissionFleet
{
public:
    AdmissionFleet(std::size_t entries, std::vector<Crowd> crowds, std::uint64_t seed);

    void run(Duration time) { clock_.advance(time); }
    void startWindow();
    void setLoad(std::size_t crowd, double load) { crowds_[crowd].load_ = load; }

    /// \name Faults
    /// \{
    double digestLoss_ = 0;             ///< Share of the digests and sums that are lost.
    std::set<std::size_t> noReporter_;  ///< Zones whose sums do not reach other zones.
    std::optional<std::size_t> cutOff_; ///< Zone without a link to the others.
    double serviceFactor_ = 1;          ///< Groups are slower than their profile.
    void restart(std::size_t entry);
    void setSuspended(std::size_t entry, bool isSuspended)
    {
        vms_[entry].isSuspended_ = isSuspended;
    }
    void setPreviousBuild(std::size_t entry, bool isPrevious)
    {
        vms_[entry].isPrevious_ = isPrevious;
    }
    void setGroups(std::size_t zone, std::size_t groups) { slots_[zone] = groups * slotsPerGroup; }
    /// \}

    [[nodiscard]] std::size_t groupsPerZone() const { return groupsPerZone_; }
    /// \brief Share of the time of all slots spent on answers within their goal.
    [[nodiscard]] double capacityUsed() const;
    [[nodiscard]] const Tally &tally(std::size_t crowd) const { return tallies_[crowd]; }
    [[nodiscard]] Tally total() const;
    [[nodiscard]] overload::AdmissionLevel level(std::size_t entry) const;
    /// \brief Most requests in flight at an entry VM since its start.
    [[nodiscard]] std::size_t maxInFlight(std::size_t entry) const
    {
        return vms_[entry].maxInFlight_;
    }

private:
    struct Heard ///< Last sum of one zone.
    {
        overload::ModelDemand demand_;
        double inFlight_ = 0;
        std::optional<TimePoint> at_;
    };
    struct Vm
    {
        std::size_t zone_ = 0;
        std::unique_ptr<overload::AdmissionController> controller_;
        overload::DemandMeter meter_;
        overload::ModelDemand told_; ///< As in its last digest.
        double toldInFlight_ = 0;
        std::array<Heard, zones> heard_;
        std::size_t inFlight_ = 0;
        std::size_t maxInFlight_ = 0;
        bool isSuspended_ = false;
        bool isPrevious_ = false;
    };
    struct Waiting
    {
        std::size_t crowd_ = 0;
        std::size_t vm_ = 0;
        TimePoint arrivedAt_{};
    };

    void scheduleArrival(std::size_t crowd);
    void arrive(std::size_t crowd, std::size_t vm);
    [[nodiscard]] bool reaches(std::size_t fromZone, std::size_t zone) const;
    [[nodiscard]] bool send(const Waiting &request);
    void finish(const Waiting &request, std::size_t zone, double seconds);
    void serveWaiting();
    void tick();
    void sweep();
    void tell(Vm &vm, std::size_t index);
    void hear(Vm &vm);
    void update(Vm &vm);
    void count(const Waiting &request, std::size_t Tally::*outcome);

    ManualClock clock_;
    Random random_;
    overload::RankedAdmission policy_;
    std::vector<Crowd> crowds_;
    std::vector<Tally> tallies_;
    std::vector<Vm> vms_;
    std::size_t groupsPerZone_;
    std::array<std::size_t, zones> slots_{};
    std::array<std::size_t, zones> busy_{};
    std::map<std::pair<overload::Rank, std::size_t>, Waiting> waiting_;
    std::deque<std::array<Heard, zones>> sums_; ///< Of the last ticks, newest first.
    std::size_t ticks_ = 0;
    std::size_t arrivals_ = 0;
    TimePoint windowStart_{};
    double secondsInGoal_ = 0;
};

} // namespace cardamombay::fixture
