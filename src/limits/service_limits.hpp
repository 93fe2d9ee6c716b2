/// \file
/// \brief Slots and queues of one service.
#pragma once

#include "limits/share_table.hpp"

#include <cardamombay/limits/admission_request.hpp>
#include <cardamombay/limits/limits_policy.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cardamombay::limits::impl {

/// \brief Order of a team's queue: by descending priority, then by arrival.
struct QueueKey
{
    std::uint32_t priority_ = 0;
    std::uint64_t arrival_ = 0;

    friend bool operator<(const QueueKey &a, const QueueKey &b)
    {
        return a.priority_ != b.priority_ ? a.priority_ > b.priority_ : a.arrival_ < b.arrival_;
    }
};

/// \brief A queued request.
struct QueuedRequest
{
    RequestId request_;
    TimePoint deadline_{};
    TimePoint expires_{}; ///< The request is refused at this time if it is still queued.
    bool isNonIdempotent_ = false;
};

/// \brief Event rate, averaged with exponential decay.
class DecayingRate
{
public:
    /// \brief Counts an event at \p now.
    void add(TimePoint now);
    /// \brief Events per second at \p now.
    [[nodiscard]] double perSecond(TimePoint now) const;

private:
    double perSecond_ = 0;
    TimePoint updatedAt_{};
};

/// \brief Time-weighted average of a count, with exponential decay.
class DecayingAverage
{
public:
    void set(TimePoint now, std::uint32_t count);
    [[nodiscard]] double average(TimePoint now) const;

private:
    double average_ = 0;
    std::uint32_t count_ = 0;
    TimePoint updatedAt_{};
};

/// \brief Slots and queue of one team at one service.
struct TeamLimits
{
    TeamName name_;
    double share_ = 0; ///< Slots that the team may use at this entry VM.
    std::uint32_t running_ = 0;
    DecayingAverage averageRunning_;
    DecayingRate offeredRate_;
    std::map<QueueKey, QueuedRequest> queue_;
    double lastReported_ = 0; ///< Demand in the latest digest.
    double knownToPeers_ = 0; ///< Demand in the digest before, which the peers have received.
};

/// \brief Slots and queues of one service at this entry VM.
class ServiceLimits
{
public:
    ServiceLimits(ServiceName name, const LimitsPolicy &policy)
        : name_(std::move(name))
        , policy_(policy)
    {
    }

    [[nodiscard]] AdmissionDecision offer(const AdmissionRequest &request,
                                          const config::Service &service,
                                          const routing::RoutingSnapshot &snapshot, TimePoint now);
    /// \brief Frees the slot of a request that was admitted at \p admittedAt.
    void releaseSlot(TeamLimits &team, TimePoint admittedAt, TimePoint now);
    /// \brief Removes a request from the queue.
    void removeFromQueue(TeamLimits &team, const QueueKey &key);
    void release(const config::Service &service, const routing::RoutingSnapshot &snapshot,
                 TimePoint now, std::vector<Released> &out);
    void reportDemand(TimePoint now, std::vector<routing::DemandReport> &out);

    [[nodiscard]] TimePoint nextWake() const;
    [[nodiscard]] std::uint32_t running() const { return running_; }
    [[nodiscard]] std::uint32_t waiting() const { return waiting_; }
    [[nodiscard]] const ShareTable &shares() const { return shares_; }
    [[nodiscard]] TeamLimits &team(const TeamName &name);
    [[nodiscard]] std::uint64_t lastArrival() const { return arrivalCount_; }

private:
    /// \brief Competition of the other teams for the slots that one team waits for.
    struct Contention
    {
        double slotsLeft_ = 0;       ///< Left when every other queued team has its share.
        double teamsBelowShare_ = 0; ///< Other teams with queued requests.
    };

    /// \brief Recomputes the shares if the snapshot is new or they are too old.
    void updateShares(const config::Service &service, const routing::RoutingSnapshot &snapshot,
                      TimePoint now);
    void applyLoadAllowance(double allowance, TimePoint now);
    [[nodiscard]] std::vector<LocalDemand> localDemand(bool hasNoPeers, TimePoint now) const;
    [[nodiscard]] double currentDemand(const TeamLimits &team, TimePoint now) const;
    [[nodiscard]] Contention contentionFor(const TeamLimits &team) const;
    [[nodiscard]] Duration expectedWait(const TeamLimits &team, std::size_t ahead) const;
    [[nodiscard]] Duration serviceTimeNeeded(bool isNonIdempotent) const;
    [[nodiscard]] AdmissionDecision enqueue(TeamLimits &team, const AdmissionRequest &request,
                                            const config::Service &service, TimePoint now);
    [[nodiscard]] bool evictLowestPriority(TeamLimits &team, std::uint32_t priority);
    [[nodiscard]] Shed shed(const RequestId &request, ShedReason reason, Duration wait) const;
    [[nodiscard]] bool hasOutage(TimePoint now) const;
    [[nodiscard]] TeamLimits *mostUnderservedTeam(TimePoint now);
    void admit(TeamLimits &team, TimePoint now);
    void dropExpired(TimePoint now, std::vector<Released> &out);
    void dropLateRequests(TimePoint now, std::vector<Released> &out);
    void dropAll(std::vector<Released> &out);
    void dropLastQueued(TeamLimits &team, ShedReason reason, std::vector<Released> &out);

    ServiceName name_;
    const LimitsPolicy &policy_;
    std::unordered_map<TeamName, TeamLimits> teams_;
    std::set<std::pair<TimePoint, std::pair<TeamName, QueueKey>>> expiries_;
    std::vector<Released> displaced_; ///< Decisions to be returned by the next release().
    std::uint64_t arrivalCount_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint64_t completedCount_ = 0;
    double meanServiceSeconds_ = 0; ///< Moving average; zero until known.
    ShareTable shares_;
    double loadAllowance_ = 1;         ///< Moving average of reportedLoadAllowance().
    std::uint64_t sharesSequence_ = 0; ///< Of the snapshot that the shares were computed from.
    std::optional<TimePoint> sharesUpdatedAt_;
    bool hasNewShares_ = false;  ///< Since the last release().
    TimePoint lastCapacityAt_{}; ///< When capacity was last above zero.
};

} // namespace cardamombay::limits::impl
