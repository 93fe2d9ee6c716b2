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

/// \brief Place in a team's queue: higher priority first, then arrival.
struct QueueKey
{
    std::uint32_t priority_ = 0;
    std::uint64_t arrival_ = 0;

    friend bool operator<(const QueueKey &a, const QueueKey &b)
    {
        return a.priority_ != b.priority_ ? a.priority_ > b.priority_ : a.arrival_ < b.arrival_;
    }
};

/// \brief A request that waits.
struct Waiting
{
    RequestId request_;
    TimePoint deadline_{};
    TimePoint expires_{}; ///< Its final answer is due by then.
    bool isNonIdempotent_ = false;
};

/// \brief Value that decays towards what it is fed with.
class MovingRate
{
public:
    /// \brief An event happened at \p now.
    void add(TimePoint now);
    /// \brief Events per second around \p now.
    [[nodiscard]] double perSecond(TimePoint now) const;

private:
    double level_ = 0;
    TimePoint at_{};
};

/// \brief Time average of a count.
class MovingCount
{
public:
    void set(TimePoint now, std::uint32_t count);
    [[nodiscard]] double average(TimePoint now) const;

private:
    double average_ = 0;
    std::uint32_t count_ = 0;
    TimePoint at_{};
};

/// \brief One team at one service.
struct TeamLimits
{
    TeamName name_;
    double share_ = 0; ///< Slots it may have here.
    std::uint32_t running_ = 0;
    MovingCount usage_;
    MovingRate offered_;
    std::map<QueueKey, Waiting> queue_;
    double digested_ = 0; ///< Demand last told to the peers.
    double heard_ = 0;    ///< Demand told before that, which the peers have heard by now.
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
    void free(TeamLimits &team, TimePoint admittedAt, TimePoint now);
    /// \brief Takes a request out of the queue.
    void withdraw(TeamLimits &team, const QueueKey &key);
    void release(const config::Service &service, const routing::RoutingSnapshot &snapshot,
                 TimePoint now, std::vector<Released> &out);
    void reportDemand(TimePoint now, std::vector<routing::DemandReport> &out);

    [[nodiscard]] TimePoint nextWake() const;
    [[nodiscard]] std::uint32_t running() const { return running_; }
    [[nodiscard]] std::uint32_t waiting() const { return waiting_; }
    [[nodiscard]] const ShareTable &shares() const { return shares_; }
    [[nodiscard]] TeamLimits &team(const TeamName &name);
    [[nodiscard]] std::uint64_t lastArrival() const { return arrivals_; }

private:
    /// \brief What the other teams leave to one team.
    struct Rivals
    {
        double slotsLeft_ = 0;       ///< Once those that wait have their shares.
        double teamsBelowShare_ = 0; ///< That wait.
    };

    /// \brief Divides the capacity anew if the figures may have changed.
    void refresh(const config::Service &service, const routing::RoutingSnapshot &snapshot,
                 TimePoint now);
    [[nodiscard]] std::vector<OwnDemand> ownDemand(bool isAlone, TimePoint now) const;
    [[nodiscard]] double liveDemand(const TeamLimits &team, TimePoint now) const;
    [[nodiscard]] Rivals rivalsOf(const TeamLimits &team) const;
    [[nodiscard]] Duration expectedWait(const TeamLimits &team, std::size_t ahead) const;
    [[nodiscard]] Duration serviceTimeNeeded(bool isNonIdempotent) const;
    [[nodiscard]] AdmissionDecision enqueue(TeamLimits &team, const AdmissionRequest &request,
                                            const config::Service &service, TimePoint now);
    [[nodiscard]] bool makeRoom(TeamLimits &team, std::uint32_t priority);
    [[nodiscard]] Shed shed(const RequestId &request, ShedReason reason, Duration wait) const;
    [[nodiscard]] bool isOut(TimePoint now) const;
    [[nodiscard]] TeamLimits *mostBehind(TimePoint now);
    void admit(TeamLimits &team, TimePoint now);
    void dropExpired(TimePoint now, std::vector<Released> &out);
    void dropHopeless(TimePoint now, std::vector<Released> &out);
    void dropAll(std::vector<Released> &out);
    void dropLast(TeamLimits &team, ShedReason reason, std::vector<Released> &out);

    ServiceName name_;
    const LimitsPolicy &policy_;
    std::unordered_map<TeamName, TeamLimits> teams_;
    std::set<std::pair<TimePoint, std::pair<TeamName, QueueKey>>> expiries_;
    std::vector<Released> displaced_; ///< Answers for the next release().
    std::uint64_t arrivals_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    std::uint64_t served_ = 0;
    double serviceTime_ = 0; ///< Seconds, moving average; zero until known.
    ShareTable shares_;
    std::uint64_t sharesOf_ = 0; ///< Sequence of the snapshot the shares were made from.
    std::optional<TimePoint> sharesAt_;
    bool hasNewShares_ = false; ///< Since the last release().
    TimePoint servedAt_{};      ///< When capacity was last above zero.
};

} // namespace cardamombay::limits::impl
