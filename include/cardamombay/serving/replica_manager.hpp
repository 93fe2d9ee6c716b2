/// \file
/// \brief Forms and ends groups of engines while this entry VM holds the planner lease.
/// \details Carries out what the planner decides: sends orders under the lease's fencing number,
/// and asks the members of a stalled group which of them is lost. Guards that only one entry VM
/// gives orders.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/serving/endpoint_book.hpp>
#include <cardamombay/serving/group_heads.hpp>
#include <cardamombay/serving/load_board.hpp>
#include <cardamombay/serving/replica_planner.hpp>
#include <cardamombay/serving/route_table.hpp>

#include <functional>

namespace cardamombay::serving {

/// \brief What the manager uses; all outlive it.
struct ManagerParts
{
    Clock &clock_;
    leases::LeaseKeeper &lease_;
    ReplicaOrders &orders_;
    const EndpointBook &book_;
    const LoadBoard &board_;
    const ModelMix *mix_ = nullptr; ///< None: engines keep their models.
};

/// \brief The planning side of one entry VM.
class ReplicaManager
{
public:
    explicit ReplicaManager(ManagerParts parts);
    ReplicaManager(const ReplicaManager &) = delete;
    ReplicaManager &operator=(const ReplicaManager &) = delete;

    /// \brief Plans and sends what is due, if the lease is held. Call every planPeriod.
    /// \param listedAsOf the engines' entries are known as of then; nothing is planned by an old
    /// view, and an order counts as lost only if a later view does not show its effect.
    void tick(const RouteTable &routes, TimePoint listedAsOf);

    /// \brief Requests have come, so loads take their full time from now on.
    void setTrafficSeen() { isFirstLoad_ = false; }

    /// \brief The whole system starts for the first time: loads are fast until traffic comes.
    void setFirstStart() { isFirstLoad_ = true; }

    /// \brief Groups' worth of work by model, as measured.
    void setDemand(std::map<ModelName, double> demand) { demand_ = std::move(demand); }

    /// A repair takes four steps, each of which waits for this at the worst; short against the 200
    /// ms that a join of a loaded engine takes.
    static constexpr Duration planPeriod = std::chrono::milliseconds(40);

private:
    /// What members of a stalled group answered.
    struct StateQuery
    {
        std::size_t pendingAnswers_ = 0; ///< Questions without an answer yet.
        TimePoint sentAt_{};
        int rounds_ = 0; ///< Of questions, without a longer pause between them.
    };

    /// What is remembered of one service's engines.
    struct ServiceState
    {
        GroupHeads heads_;
        std::map<VmId, TimePoint> freeSince_; ///< Engines without a group.
        TimePoint ungroupedQueriedAt_{};
        std::size_t engineCount_ = 0; ///< Listed at the first start.
        TimePoint countedAt_{};       ///< When that changed last.
        TimePoint loggedAt_{};
    };

    [[nodiscard]] std::vector<const Endpoint *>
    plannable(const std::vector<const Endpoint *> &engines) const;
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
    void planService(const Service &service);
    [[nodiscard]] bool isListingSettled(ServiceState &serviceState, std::size_t engines) const;
    [[nodiscard]] bool isDue(TimePoint now);
    [[nodiscard]] PlanInput planInput(const Service &service, const ServiceState &serviceState,
                                      const std::vector<const Endpoint *> &engines);
    void send(const PlannedOrder &planned, const EngineProfile &profile);
    void onOrderAnswer(const VmId &engine, const Order &order, const Result<OrderAnswer> &answer);
    [[nodiscard]] std::uint64_t nextEpoch();
    void expire(TimePoint now, TimePoint listedAsOf);

    ManagerParts parts_;
    bool isFirstLoad_ = false;
    std::map<ModelName, double> demand_;
    /// An order whose effect is not seen yet.
    struct Pending
    {
        TimePoint until_{};
        Endpoint before_; ///< What the engine listed when the order was sent.
        GroupName group_; ///< That it was ordered into; empty for other orders.
    };

    std::map<VmId, Pending> pending_;
    /// A load from the weight store that is under way.
    struct Load
    {
        TimePoint until_{}; ///< By then it has ended.
        ModelName model_;
        std::uint64_t bornAt_ = 0; ///< Of the engine.
    };
    /// Questions in a row that an engine left open.
    struct UnansweredQueries
    {
        std::uint32_t count_ = 0;
        std::uint64_t bornAt_ = 0; ///< Of the engine.
    };

    std::map<VmId, Load> loads_;
    std::map<ServiceName, ServiceState> serviceStates_;
    std::map<GroupName, StateQuery> stateQueries_;
    std::map<VmId, UnansweredQueries> unansweredQueries_;
    TimePoint plannedAt_{};
    std::uint64_t plannedRevision_ = 0; ///< Of the book when the last plan was made.
    bool hadOrders_ = false;            ///< Orders were given or have ended since the last plan.
    Epoch counterEpoch_;
    std::uint64_t epochCounter_ = 0;
    bool wasHeld_ = false;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::serving
