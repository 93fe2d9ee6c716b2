/// \file
/// \brief Admission, routing and retries of the daemon, shared by its traffic threads.
/// \details The decisions themselves stand in modules limits, routing and retries; this class lets
/// several threads share one of each, since capacity and budgets are those of the whole entry VM.
/// A decision takes microseconds, so one mutex serves them all.
#pragma once

#include <cardamombay/limits/admission.hpp>
#include <cardamombay/retries/circuit_breaker_registry.hpp>
#include <cardamombay/retries/retry_policy.hpp>
#include <cardamombay/routing/router.hpp>
#include <cardamombay/traffic/control_link.hpp>

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace cardamombay::traffic {

/// \brief Settings of the decisions.
struct DispatchPolicy
{
    limits::LimitsPolicy limits_;
    routing::RouterPolicy router_;
    retries::RetrySettings retries_;
    retries::CircuitBreakerPolicy circuits_;
    /// Period of the digests to peers: shares are worked out from what was digested, so the demand
    /// is taken once for each.
    Duration digestEvery_ = std::chrono::milliseconds(500);
};

/// \brief What an attempt needs of a group.
struct RouteQuery
{
    ServiceName service_;
    std::span<const std::uint64_t> prefixHashes_;
    std::span<const GroupId> tried_;                     ///< Taken again only if no other is left.
    const endpoint::ModelSpec *requiredModel_ = nullptr; ///< Set to resume a stream.
    std::string_view subject_;                           ///< Request, for the record.
};

/// \brief The group that an attempt goes to, or why there is none.
struct RouteChoice
{
    std::optional<routing::SnapshotGroup> group_;
    routing::RouteReason reason_ = routing::RouteReason::NoGroups;
    DecisionRecord record_; ///< With the groups that were weighed.
};

/// \brief How an attempt ended for its group.
enum class GroupResult {
    Succeeded,
    Failed,
    Abandoned ///< Stopped by this side; says nothing of the group.
};

/// \brief What an attempt showed of its group's speed; zero if it showed nothing.
struct AttemptTimes
{
    Duration timeToFirstToken_{};
    Duration timePerToken_{}; ///< Without the time that the caller needed to take them.
};

/// \brief Final answer to a request that waited for admission.
using AdmissionAnswer = std::variant<limits::Admitted, limits::Shed>;

/// \brief What became of a request whose decisions may be recorded; each kind has its own limit.
enum class RecordKind {
    Smooth,  ///< Answered by its first attempt.
    Eventful ///< Refused, failed, retried or resumed.
};

/// \brief The shared decisions; every function may be called from any thread.
class Dispatcher
{
public:
    /// \brief Called once, from any thread and never under the dispatcher's lock.
    using AdmissionCallback = std::function<void(AdmissionAnswer)>;

    /// \param seed of the routing draws and back-off delays.
    /// \param circuits the chart of circuits, bound.
    /// \param policy settings of the decisions.
    Dispatcher(std::uint64_t seed, retries::CircuitBreakerProgramPtr circuits,
               const DispatchPolicy &policy = {});

    /// \name Admission
    /// \{
    /// \brief Asks to let \p request in; \p answered is called only if it is queued.
    [[nodiscard]] limits::AdmissionDecision offer(const limits::AdmissionRequest &request,
                                                  const routing::RoutingSnapshot &snapshot,
                                                  TimePoint now, AdmissionCallback answered);

    /// \brief The request is over; whoever waits may follow.
    void finished(const RequestId &request, const routing::RoutingSnapshot &snapshot,
                  TimePoint now);

    /// \brief Gives waiting requests their answers that time or a new snapshot brought; cheap if
    /// neither did.
    void releaseWaiting(const routing::RoutingSnapshot &snapshot, TimePoint now);
    /// \}

    /// \name Attempts
    /// \{
    /// \brief Chooses a group and counts the attempt as started there.
    [[nodiscard]] RouteChoice startAttempt(const routing::RoutingSnapshot &snapshot,
                                           const RouteQuery &query, TimePoint now);
    /// \brief The head of an answer came; closes a circuit on trial without waiting for the end.
    void attemptAnswered(const GroupId &group, TimePoint now);
    void finishAttempt(const GroupId &group, GroupResult result, const AttemptTimes &times,
                       TimePoint now);
    void freshRequest(const ServiceName &service, TimePoint now);
    [[nodiscard]] retries::RetryDecision retry(const retries::FailedAttempt &attempt,
                                               TimePoint now);
    /// \}

    /// \brief Slots of \p service, for records.
    [[nodiscard]] limits::ServiceLoad load(const ServiceName &service);

    /// \brief True if the decisions of one more request may be recorded: an overload refuses
    /// thousands for the same reason, and a few of them explain it.
    [[nodiscard]] bool mayRecord(RecordKind kind, TimePoint now);

    /// \brief Demand and in-flight requests for the control thread.
    [[nodiscard]] TrafficReport report(const routing::RoutingSnapshot &snapshot, TimePoint now);

private:
    struct PendingAnswer
    {
        AdmissionCallback answered_;
        AdmissionAnswer answer_;
    };

    [[nodiscard]] std::vector<PendingAnswer> takeReleased(const routing::RoutingSnapshot &snapshot,
                                                          TimePoint now);
    [[nodiscard]] routing::RouteDecision choose(const routing::RoutingSnapshot &snapshot,
                                                const RouteQuery &query, TimePoint now);

    std::mutex mutex_;
    limits::Admission admission_;
    routing::Router router_;
    retries::RetryPolicy retries_;
    retries::CircuitBreakerRegistry circuits_;
    std::unordered_map<RequestId, AdmissionCallback> waiting_;
    std::uint64_t releasedFor_ = 0; ///< Snapshot of the last release; zero asks for another.
    Duration digestEvery_;
    std::optional<TimePoint> demandAt_;
    std::vector<routing::DemandReport> demand_; ///< Of the present digest.
    TimePoint recordPeriod_{};
    std::array<std::uint32_t, 2> records_{}; ///< In this period, by kind.
};

} // namespace cardamombay::traffic
