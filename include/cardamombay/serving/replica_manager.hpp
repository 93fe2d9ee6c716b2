/// \file
/// \brief Forms and dissolves groups of engines while this entry VM holds the planner lease.
/// \details Executes the planner's decisions: sends orders with the lease's fencing token, and
/// queries the members of a stalled group to find the one that failed. The lease ensures that only
/// one entry VM gives orders.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/serving/endpoint_registry.hpp>
#include <cardamombay/serving/group_heads.hpp>
#include <cardamombay/serving/kept_engines.hpp>
#include <cardamombay/serving/load_tracker.hpp>
#include <cardamombay/serving/replica_planner.hpp>
#include <cardamombay/serving/route_table.hpp>

#include <functional>

namespace cardamombay::serving {

/// \brief Dependencies of the manager; all must outlive it.
struct ManagerParts
{
    Clock &clock_;
    leases::LeaseKeeper &lease_;
    ReplicaOrders &orders_;
    const EndpointRegistry &endpointRegistry_;
    const LoadTracker &loadTracker_;
    const ModelMix *mix_ = nullptr; ///< Null: engines keep their models.
};

/// \brief Runs the planner on one entry VM.
class ReplicaManager
{
public:
    explicit ReplicaManager(ManagerParts parts);
    ReplicaManager(const ReplicaManager &) = delete;
    ReplicaManager &operator=(const ReplicaManager &) = delete;

    /// \brief Plans and sends the orders that are due if the lease is held. Call every planPeriod.
    /// \param listedAsOf time up to which the list of engines is known to be current. A stale list
    /// is not planned on, and an order counts as lost only if a later list does not show its
    /// effect.
    void tick(const RouteTable &routes, TimePoint listedAsOf);

    /// \brief Records that requests have arrived; from now on loads take their full time.
    void setTrafficSeen() { isFirstStart_ = false; }

    /// \brief Records the first start of the whole system; loads are fast until traffic arrives.
    void setFirstStart() { isFirstStart_ = true; }

    /// \brief Sets the measured demand by model, in groups.
    void setDemand(std::map<ModelName, double> demand) { demand_ = std::move(demand); }

    /// A repair takes four steps, each of which may be delayed by one period. The period is short
    /// compared with the 200 ms in which an engine with a loaded model joins a group.
    static constexpr Duration planPeriod = std::chrono::milliseconds(40);

private:
    /// Progress of querying the members of a group.
    struct StateQuery
    {
        std::size_t pendingAnswers_ = 0; ///< Queries that are not answered yet.
        TimePoint sentAt_{};
        int rounds_ = 0; ///< Consecutive rounds without a longer pause in between.
    };

    /// State kept between runs for the engines of one service.
    struct ServiceState
    {
        GroupHeads heads_;
        KeptEngines keptEngines_;
        std::map<std::string, TimePoint> mixOutcomes_; ///< When the planner last reported each.
        std::map<VmId, TimePoint> freeSince_; ///< Since when engines have been without a group.
        TimePoint ungroupedQueriedAt_{};
        std::size_t engineCount_ = 0; ///< Listed engines; updated during the first start.
        TimePoint countedAt_{};       ///< Last change of engineCount_.
        TimePoint loggedAt_{};
    };

    [[nodiscard]] std::vector<const Endpoint *>
    plannableEngines(const std::vector<const Endpoint *> &engines) const;
    void updateFreeSince(ServiceState &serviceState,
                         const std::vector<const Endpoint *> &engines) const;
    void queryUngroupedEngines(ServiceState &serviceState,
                               const std::vector<const Endpoint *> &engines);
    void logCapacity(const Service &service, ServiceState &serviceState,
                     const std::vector<const Endpoint *> &engines);
    void queryStalledGroups(const std::vector<const Endpoint *> &engines);
    void queryMember(const GroupName &group, const Endpoint &member);
    void onStateAnswer(const GroupName &group, const VmId &member, std::uint64_t bornAt,
                       const Result<Endpoint> &answer);
    /// \param hasRanks RouteTable::hasRanks() of the service.
    void planService(const Service &service, bool hasRanks);
    [[nodiscard]] bool isListingSettled(ServiceState &serviceState, std::size_t engines) const;
    [[nodiscard]] bool isDue(TimePoint now);
    void logMix(const Service &service, ServiceState &serviceState, std::string_view outcome,
                std::span<const ModelLoad> models) const;
    [[nodiscard]] PlanInput planInput(const Service &service, const ServiceState &serviceState,
                                      const std::vector<const Endpoint *> &engines);
    void send(const PlannedOrder &planned, const EngineProfile &profile);
    void onOrderAnswer(const VmId &engine, const Order &order, const Result<OrderAnswer> &answer);
    [[nodiscard]] std::uint64_t nextEpoch();
    void expire(TimePoint now, TimePoint listedAsOf);

    ManagerParts parts_;
    bool isFirstStart_ = false;
    std::map<ModelName, double> demand_;
    /// An order that has not taken effect yet.
    struct PendingOrder
    {
        TimePoint until_{};
        Endpoint before_; ///< The engine's entry when the order was sent.
        GroupName group_; ///< Group that a join order names; empty for other orders.
    };

    std::map<VmId, PendingOrder> pending_;
    /// A load from the weight store in progress.
    struct Load
    {
        TimePoint until_{}; ///< Latest time at which the load ends.
        ModelName model_;
        std::uint64_t startedAt_ = 0; ///< Start of the engine; see `Endpoint::startedAt_`.
    };
    /// Consecutive queries that an engine has not answered.
    struct UnansweredQueries
    {
        std::uint32_t count_ = 0;
        std::uint64_t startedAt_ = 0; ///< Start of the engine; see `Endpoint::startedAt_`.
    };

    std::map<VmId, Load> loads_;
    std::map<ServiceName, ServiceState> serviceStates_;
    std::map<GroupName, StateQuery> stateQueries_;
    std::map<VmId, UnansweredQueries> unansweredQueries_;
    TimePoint plannedAt_{};
    std::uint64_t plannedRevision_ = 0; ///< Revision of the endpoint registry at the last plan.
    bool hadOrders_ = false;            ///< Orders were sent or have completed since the last plan.
    Epoch counterEpoch_;
    std::uint64_t epochCounter_ = 0;
    bool wasLeaseHeld_ = false;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::serving
