/// \file
/// \brief A fleet of entry VMs that admit requests by the level, on the paused clock.
/// \details Digests pass at common ticks of 100 ms: after one tick within a zone, and after two, as
/// a sum, between zones.
#pragma once

#include "overload/slot_groups.hpp"

#include <cardamombay/overload/admission_controller.hpp>
#include <cardamombay/overload/demand_meter.hpp>

#include <array>
#include <deque>
#include <memory>
#include <set>
#include <vector>

namespace cardamombay::fixture {

inline constexpr Duration digestPeriod = std::chrono::milliseconds(100);

/// \brief Callers of one team.
struct Crowd
{
    overload::Rank rank_ = 0;
    std::string team_;
    double load_ = 1; ///< Offered work as a share of the capacity.
};

/// \brief Outcomes of a crowd's requests that arrived since the last startWindow().
struct Tally
{
    std::size_t inGoal_ = 0;  ///< Found a slot soon enough for the first event.
    std::size_t refused_ = 0; ///< By the level, at arrival.
    std::size_t late_ = 0;    ///< Found no slot within the goal.

    [[nodiscard]] std::size_t lost() const { return refused_ + late_; }
    [[nodiscard]] double share() const
    {
        return inGoal_ == 0 ? 0 : double(inGoal_) / double(inGoal_ + lost());
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
    double digestLoss_ = 0;            ///< Share of the digests and sums that are lost.
    std::set<std::size_t> noReporter_; ///< Zones whose sums do not reach other zones.
    std::size_t listedEntries_;        ///< Entry VMs that the store lists.
    void restart(std::size_t entry);
    void setSuspended(std::size_t entry, bool isSuspended)
    {
        vms_[entry].isSuspended_ = isSuspended;
    }
    void setPreviousBuild(std::size_t entry, bool isPrevious)
    {
        vms_[entry].isPrevious_ = isPrevious;
    }
    [[nodiscard]] SlotGroups &groups() { return groups_; }
    /// \}

    [[nodiscard]] std::size_t groupsPerZone() const { return groupsPerZone_; }
    /// \brief Share of the time of all slots spent on answers within their goal.
    [[nodiscard]] double capacityUsed() const;
    [[nodiscard]] const Tally &tally(std::size_t crowd) const { return tallies_[crowd]; }
    [[nodiscard]] Tally total() const;
    [[nodiscard]] overload::AdmissionLevel level(std::size_t entry) const;
    /// \brief Most requests in progress at an entry VM since its start.
    [[nodiscard]] std::size_t maxInProgress(std::size_t entry) const
    {
        return vms_[entry].maxInProgress_;
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
        std::size_t inFlight_ = 0;   ///< Requests with a slot.
        std::size_t inProgress_ = 0; ///< Those and what waits.
        std::size_t maxInProgress_ = 0;
        std::size_t starts_ = 0;
        bool isSuspended_ = false;
        bool isPrevious_ = false;
    };
    void scheduleArrival(std::size_t crowd);
    [[nodiscard]] SlotEvents events();
    void arrive(std::size_t crowd, std::size_t vm);
    void tick();
    void tell(Vm &vm, std::size_t index);
    void hear(Vm &vm);
    void update(Vm &vm);
    void count(const SlotRequest &request, std::size_t Tally::*outcome);

    ManualClock clock_;
    Random random_;
    overload::RankedAdmission policy_;
    std::vector<Crowd> crowds_;
    std::vector<Tally> tallies_;
    std::vector<Vm> vms_;
    std::size_t groupsPerZone_;
    SlotGroups groups_;
    std::deque<std::array<Heard, zones>> sums_; ///< Of the last ticks, newest first.
    std::size_t ticks_ = 0;
    TimePoint windowStart_{};
    double secondsInGoal_ = 0;
};

} // namespace cardamombay::fixture
