/// \file
/// \brief Forms and ends groups of engines while this entry VM holds the planner lease.
/// \details Carries out what the planner decides: sends orders under the lease's fencing number,
/// and asks the members of a stalled group which of them is lost. Guards that only one entry VM
/// gives orders.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/serving/endpoint_registry.hpp>
#include <cardamombay/serving/group_heads.hpp>
#include <cardamombay/serving/load_tracker.hpp>
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
    const EndpointRegistry &endpointRegistry_;
    const LoadTracker &loadTracker_;
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
    struct Inquiry
    {
        std::size_t open_ = 0; ///< Questions without an answer yet.
        TimePoint askedAt_{};
        int rounds_ = 0; ///< Of questions, without a longer pause between them.
    };

    /// What is remembered of one service's engines.
    struct Memory
    {
        GroupHeads heads_;
        std::map<VmId, TimePoint> freeSince_; ///< Engines without a group.
        TimePoint leftOutAskedAt_{};
        std::size_t engineCount_ = 0; ///< Listed at the first start.
        TimePoint countedAt_{};       ///< When that changed last.
        TimePoint loggedAt_{};
    };

    [[nodiscard]] std::vector<const Endpoint *>
    plannable(const std::vector<const Endpoint *> &engines) const;
    void noteFree(Memory &memory, const std::vector<const Endpoint *> &engines) const;
    void askLeftOut(Memory &memory, const std::vector<const Endpoint *> &engines);
    void logCapacity(const Service &service, Memory &memory,
                     const std::vector<const Endpoint *> &engines);
    void inquire(const std::vector<const Endpoint *> &engines);
    void ask(const GroupName &group, const Endpoint &member);
    void memberAnswered(const GroupName &group, const VmId &member, std::uint64_t bornAt,
                        const Result<Endpoint> &answer);
    void planService(const Service &service);
    [[nodiscard]] bool hasSettled(Memory &memory, std::size_t engines) const;
    [[nodiscard]] bool isDue(TimePoint now);
    [[nodiscard]] PlanInput inputFor(const Service &service, const Memory &memory,
                                     const std::vector<const Endpoint *> &engines);
    void send(const PlannedOrder &planned, const EngineProfile &profile);
    void answered(const VmId &engine, const Order &order, const Result<OrderAnswer> &answer);
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
        std::uint64_t startedAt_ = 0; ///< Of the engine.
    };
    /// Questions in a row that an engine left open.
    struct Silence
    {
        std::uint32_t questions_ = 0;
        std::uint64_t startedAt_ = 0; ///< Of the engine.
    };

    std::map<VmId, Load> loads_;
    std::map<ServiceName, Memory> memories_;
    std::map<GroupName, Inquiry> inquiries_;
    std::map<VmId, Silence> unanswered_;
    TimePoint plannedAt_{};
    std::uint64_t plannedRevision_ = 0; ///< Of the book when the last plan was made.
    bool hadOrders_ = false;            ///< Orders were given or have ended since the last plan.
    Epoch countedFor_;
    std::uint64_t counter_ = 0;
    bool wasHeld_ = false;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::serving
