/// \file
/// \brief Simulates the planner with engines that execute orders with realistic delays, and callers
/// who need a free slot in a group while the request mix departs from the configured shares.
#pragma once

#include "support/planner_bench.hpp"

#include <cardamombay/core/random.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <set>

namespace cardamombay::support {

using namespace cardamombay::serving;

/// Size of the fleet and whether its hosts may prepare conversions.
struct FleetSize
{
    int domains_ = 9;
    int enginesPerDomain_ = 18;
    std::uint32_t largeGroup_ = 8;
    std::uint32_t smallGroup_ = 2;
    bool mayPrepareConversions_ = false;
    bool losesEngines_ = true;
    double crossDomainFactor_ = 1;
};

inline constexpr std::size_t slotsPerGroup = 20;

/// Durations in the simulation, in seconds.
inline constexpr double loadSeconds = 12;
inline constexpr double stagedJoinSeconds = 1.1; ///< To join with weights on the host.
inline constexpr double loadedJoinSeconds = 0.2; ///< To join with weights in memory.
inline constexpr double openSeconds = 0.3;
inline constexpr double drainSeconds = 2; ///< To complete the answers of a closing group.
inline constexpr double answerSeconds = 1.8;
inline constexpr double lossIntervalSeconds = 1.5;
inline constexpr double replacementDelaySeconds = 5;

/// Requests per second for the small and the large model.
struct RequestMix
{
    double small_;
    double large_;
};

/// The mix that the configured shares were made for, a mix halfway to the current one, and the
/// current, shifted mix at its peak hours, which are 20% above the mean.
inline constexpr RequestMix originalMix{200, 90};
inline constexpr RequestMix intermediateMix{286, 65};
inline constexpr RequestMix shiftedMix{373, 43};

/// Shares of the callers who found no free slot immediately.
struct WaitingShares
{
    double small_ = 0;
    double large_ = 0;
    int conversions_ = 0; ///< Groups that were told to close.
};

/// Open groups of each model whose members are in one fabric domain.
struct OpenGroups
{
    std::size_t large_ = 0;
    std::size_t small_ = 0;
};

/// Engines, 162 by default, that execute the planner's orders with delays; one engine is lost every
/// 1.5 s.
class ShiftedDemandSimulation
{
public:
    ShiftedDemandSimulation(const ModelMix &mix, std::uint64_t seed, const FleetSize &size = {})
        : size_(size)
        , random_(seed)
    {
        bench_.profile_.models_[0].members_ = size.largeGroup_;
        bench_.profile_.models_[1].members_ = size.smallGroup_;
        bench_.input_.mayPrepareConversions_ = size.mayPrepareConversions_;
        bench_.profile_.models_[0].share_ = 0.5;
        bench_.profile_.models_[1].share_ = 0.5;
        bench_.profile_.fullSpeedLoads_ = 20;
        bench_.profile_.crossDomainFactor_ = size.crossDomainFactor_;
        bench_.input_.mix_ = &mix;
        bench_.input_.isFirstStart_ = true;
        for (int i = 0; i < size.domains_ * size.enginesPerDomain_; ++i)
            add(domainName(i / size.enginesPerDomain_));
        for (; now_ < 12; now_ += step)
            advance();
        bench_.input_.isFirstStart_ = false;
        now_ = 0;
        started_ = true;
    }

    /// Simulates callers with \p requestMix for \p seconds and counts those who find no free slot.
    WaitingShares serve(double seconds, RequestMix requestMix)
    {
        std::map<ModelName, Count> counts;
        for (const double end = now_ + seconds; now_ < end; now_ += step) {
            measure(requestMix);
            advance();
            sendRequests(ModelName("m"), requestMix.large_, counts[ModelName("m")]);
            sendRequests(ModelName("n"), requestMix.small_, counts[ModelName("n")]);
        }
        const auto share = [&](const char *name) {
            const auto &count = counts[ModelName(name)];
            return count.requests_ == 0
                       ? 0
                       : static_cast<double>(count.waiting_) / static_cast<double>(count.requests_);
        };
        return {share("n"), share("m"), conversions_};
    }

    /// Advances for \p seconds with \p demand in groups and calls \p check after each step.
    void run(double seconds, const std::map<ModelName, double> &demand,
             const std::function<void()> &check = {})
    {
        for (const double end = now_ + seconds; now_ < end; now_ += step) {
            measureGroups(demand);
            advance();
            if (check)
                check();
        }
    }

    [[nodiscard]] static std::string domainName(int domain) { return "d" + std::to_string(domain); }

    [[nodiscard]] OpenGroups open() const
    {
        return {openInDomains(ModelName("m")), openInDomains(ModelName("n"))};
    }

    /// Makes all engines of \p domain unresponsive, with their groups.
    void darken(int domain)
    {
        for (auto &engine : bench_.engines_) {
            if (engine.domain_ != FabricDomain(domainName(domain)))
                continue;
            bench_.input_.unresponsive_.insert(engine.id_);
            dropOrders(engine.id_);
        }
    }

    /// Restarts all engines of \p domain: their memory is empty and their hosts keep what is
    /// staged, or only \p staged if it is given.
    void restore(int domain, const std::string &staged = {})
    {
        for (auto &engine : bench_.engines_) {
            if (engine.domain_ != FabricDomain(domainName(domain)))
                continue;
            bench_.input_.unresponsive_.erase(engine.id_);
            engine.model_ = ModelName();
            engine.membership_.reset();
            ++engine.startedAt_;
            if (!staged.empty())
                engine.staged_ = {ModelName(staged)};
        }
    }

    /// Lets another planner continue, which knows only what the engines report.
    void replacePlanner()
    {
        bench_.keptEngines_ = {};
        bench_.heads_ = {};
    }

    [[nodiscard]] const std::vector<Endpoint> &engines() const { return bench_.engines_; }

    /// Orders to close a group, by the reason in the log.
    std::map<std::string, int> closes_;
    std::size_t formed_ = 0;    ///< Groups ordered since the traffic began, by their heads.
    std::size_t mostLoads_ = 0; ///< Most loads in progress at a time since the traffic began.

private:
    static constexpr double step = 0.05;

    struct Count
    {
        std::size_t requests_ = 0;
        std::size_t waiting_ = 0;
    };

    void dropOrders(const VmId &engine)
    {
        due_.erase(engine);
        loads_.erase(engine);
        forgetOrder(engine);
    }

    void add(const std::string &domain)
    {
        bench_.engines_.push_back(spareEngine("e" + std::to_string(++count_), domain));
    }

    Endpoint *find(const VmId &id)
    {
        const auto found = std::find_if(bench_.engines_.begin(), bench_.engines_.end(),
                                        [&id](const Endpoint &one) { return one.id_ == id; });
        return found == bench_.engines_.end() ? nullptr : &*found;
    }

    /// Updates the measured demand as entry VMs do: in groups, smoothed over four seconds.
    void measure(const RequestMix &requestMix)
    {
        const double groupsPerRequest = answerSeconds / static_cast<double>(slotsPerGroup);
        measureGroups({{ModelName("m"), requestMix.large_ * groupsPerRequest},
                       {ModelName("n"), requestMix.small_ * groupsPerRequest}});
    }

    void measureGroups(const std::map<ModelName, double> &demand)
    {
        for (const auto &[model, groups] : demand) {
            auto &known = bench_.input_.demand_[model];
            known += (groups - known) * step / 4;
        }
    }

    void advance()
    {
        if (started_ && size_.losesEngines_ && now_ >= nextLoss_) {
            nextLoss_ = now_ + lossIntervalSeconds;
            removeRandomEngine();
        }
        while (!arrivals_.empty() && arrivals_.front().first <= now_) {
            add(arrivals_.front().second);
            arrivals_.pop();
        }
        executeDue();
        bench_.now_ += std::chrono::milliseconds(50);
        const auto plan = bench_.plan();
        check(plan);
        for (const auto &order : plan)
            accept(order);
        mostLoads_ = started_ ? std::max(mostLoads_, bench_.input_.loading_.size()) : 0;
    }

    /// Checks that no engine is in two groups, that only groups with all their members are opened,
    /// and that each order to join reaches all members.
    void check(const Plan &plan)
    {
        std::set<VmId> ordered;
        std::map<GroupName, std::size_t> joins;
        for (const auto &order : plan) {
            const auto *engine = find(order.engine_);
            cr_assert_not_null(engine);
            cr_assert(ordered.insert(order.engine_).second, "two orders to one engine");
            cr_assert_not(bench_.input_.unresponsive_.contains(order.engine_));
            if (const auto *join = std::get_if<JoinOrder>(&order.order_)) {
                cr_assert(
                    !engine->membership_
                        || bench_.input_.releasedGroups_.contains(engine->membership_->group_),
                    "an engine of a group is ordered into another");
                ++joins[join->group_];
                formed_
                    += started_ && !isWarmUp(join->group_) && join->members_.front() == engine->id_;
            }
            if (std::holds_alternative<OpenOrder>(order.order_))
                cr_assert_eq(listedMembers(engine->membership_->group_),
                             sizeOf(modelOf(engine->membership_->group_)));
            if (std::holds_alternative<CloseOrder>(order.order_))
                closes_[order.reason_] += started_ ? 1 : 0;
        }
        for (const auto &[group, members] : joins)
            cr_assert_eq(members, isWarmUp(group) ? 1 : sizeOf(modelOf(group)));
    }

    [[nodiscard]] std::size_t sizeOf(const ModelName &model) const
    {
        return model == ModelName("m") ? size_.largeGroup_ : size_.smallGroup_;
    }

    [[nodiscard]] std::size_t listedMembers(const GroupName &group) const
    {
        return static_cast<std::size_t>(
            std::count_if(bench_.engines_.begin(), bench_.engines_.end(), [&](const auto &engine) {
                return engine.membership_ && engine.membership_->group_ == group;
            }));
    }

    /// Removes a random engine; its group ends, and the survivors become free.
    void removeRandomEngine()
    {
        const auto index = random_.below(bench_.engines_.size());
        const auto lost = bench_.engines_[index];
        bench_.engines_.erase(bench_.engines_.begin() + static_cast<std::ptrdiff_t>(index));
        due_.erase(lost.id_);
        forgetOrder(lost.id_);
        arrivals_.push({now_ + replacementDelaySeconds, lost.domain_.text()});
        if (!lost.membership_)
            return;
        for (auto &engine : bench_.engines_) {
            if (engine.membership_ && engine.membership_->group_ == lost.membership_->group_) {
                engine.membership_.reset();
                forgetOrder(engine.id_);
                due_.erase(engine.id_);
            }
        }
        busyUntil_.erase(lost.membership_->group_);
    }

    void forgetOrder(const VmId &engine)
    {
        bench_.input_.pending_.erase(engine);
        bench_.input_.joining_.erase(engine);
        bench_.input_.loading_.erase(engine);
    }

    [[nodiscard]] double timeOf(const Endpoint &engine, const Order &order) const
    {
        const double slow = bench_.input_.isFirstStart_ ? 0.1 : 1;
        if (const auto *join = std::get_if<JoinOrder>(&order)) {
            if (engine.model_ == join->model_)
                return loadedJoinSeconds;
            return engine.hasStaged(join->model_) ? stagedJoinSeconds : loadSeconds * slow;
        }
        if (std::holds_alternative<StageOrder>(order))
            return loadSeconds * slow;
        if (std::holds_alternative<OpenOrder>(order))
            return openSeconds;
        return std::holds_alternative<CloseOrder>(order) ? drainSeconds : 0;
    }

    void accept(const PlannedOrder &planned)
    {
        auto &engine = *find(planned.engine_);
        // Weights are staged onto the host while the engine continues its other work.
        if (const auto *stage = std::get_if<StageOrder>(&planned.order_)) {
            bench_.input_.loading_[engine.id_] = stage->model_;
            loads_[engine.id_] = {now_ + timeOf(engine, planned.order_), planned};
            return;
        }
        bench_.input_.pending_.insert(engine.id_);
        if (const auto *join = std::get_if<JoinOrder>(&planned.order_)) {
            bench_.input_.joining_[engine.id_] = join->group_;
        } else if (std::holds_alternative<CloseOrder>(planned.order_)) {
            engine.membership_->state_ = MemberState::Closing;
            conversions_ += started_ ? 1 : 0;
        }
        due_[engine.id_] = {now_ + timeOf(engine, planned.order_), planned};
    }

    void executeDue()
    {
        for (auto *orders : {&due_, &loads_}) {
            for (auto one = orders->begin(); one != orders->end();) {
                if (one->second.first > now_) {
                    ++one;
                    continue;
                }
                const auto planned = one->second.second;
                one = orders->erase(one);
                if (auto *engine = find(planned.engine_))
                    execute(*engine, planned.order_);
            }
        }
    }

    void execute(Endpoint &engine, const Order &order)
    {
        if (const auto *stage = std::get_if<StageOrder>(&order)) {
            engine.staged_ = {stage->model_};
            bench_.input_.loading_.erase(engine.id_);
            return;
        }
        bench_.input_.pending_.erase(engine.id_);
        bench_.input_.joining_.erase(engine.id_);
        if (const auto *join = std::get_if<JoinOrder>(&order)) {
            const auto rank = std::find(join->members_.begin(), join->members_.end(), engine.id_)
                              - join->members_.begin();
            if (engine.model_ != join->model_ && !engine.hasStaged(join->model_))
                engine.staged_ = {join->model_};
            engine.model_ = join->model_;
            engine.membership_ = Membership{join->group_, join->epoch_,
                                            static_cast<std::uint32_t>(rank), MemberState::Ready};
        } else if (std::holds_alternative<LeaveOrder>(order)) {
            engine.membership_.reset();
        } else if (engine.membership_) {
            const bool opens = std::holds_alternative<OpenOrder>(order);
            engine.membership_->state_ = opens ? MemberState::Open : MemberState::Ready;
        }
    }

    /// Entry VMs route by load information that is one digest old. This is modelled as choosing the
    /// better of two groups drawn at random; callers who find it full wait.
    void sendRequests(const ModelName &model, double perSecond, Count &count)
    {
        const auto groups = openGroups(model);
        for (dueRequests_[model] += perSecond * step; dueRequests_[model] >= 1;
             dueRequests_[model] -= 1) {
            ++count.requests_;
            std::vector<double> *best = nullptr;
            for (int draw = 0; draw < 2 && !groups.empty(); ++draw) {
                auto &busy = busyUntil_[groups[random_.below(groups.size())]];
                std::erase_if(busy, [this](double until) { return until <= now_; });
                if (best == nullptr || busy.size() < best->size())
                    best = &busy;
            }
            if (best == nullptr || best->size() >= slotsPerGroup)
                ++count.waiting_;
            else
                best->push_back(now_ + answerSeconds * (0.5 + random_.unit()));
        }
    }

    [[nodiscard]] std::size_t openInDomains(const ModelName &model) const
    {
        const auto names = openGroups(model);
        std::vector<const Endpoint *> engines;
        for (const auto &engine : bench_.engines_)
            engines.push_back(&engine);
        const auto groups = groupsOf(engines);
        return static_cast<std::size_t>(
            std::count_if(groups.begin(), groups.end(), [&names](const GroupView &group) {
                return !group.spansDomains()
                       && std::find(names.begin(), names.end(), group.group_) != names.end();
            }));
    }

    [[nodiscard]] std::vector<GroupName> openGroups(const ModelName &model) const
    {
        std::vector<GroupName> result;
        for (const auto &engine : bench_.engines_) {
            const bool serves = engine.membership_ && engine.membership_->isHead()
                                && !bench_.input_.unresponsive_.contains(engine.id_)
                                && engine.membership_->state_ == MemberState::Open
                                && modelOf(engine.membership_->group_) == model;
            if (serves)
                result.push_back(engine.membership_->group_);
        }
        return result;
    }

    FleetSize size_;
    Random random_;
    PlannerBench bench_;
    double now_ = 0;
    bool started_ = false;
    double nextLoss_ = lossIntervalSeconds;
    int count_ = 0;
    int conversions_ = 0;
    std::queue<std::pair<double, std::string>> arrivals_;
    std::map<VmId, std::pair<double, PlannedOrder>> due_;
    std::map<VmId, std::pair<double, PlannedOrder>> loads_;
    std::map<ModelName, double> dueRequests_;
    std::map<GroupName, std::vector<double>> busyUntil_;
};

/// Mean results over several seeds. If \p settling is positive, callers first arrive with the mix
/// \p before and then for \p settling seconds with \p requestMix before they are counted.
inline WaitingShares meanWaitingShares(const ModelMix &mix, RequestMix requestMix,
                                       RequestMix before = {}, double settling = 0,
                                       const FleetSize &size = {})
{
    constexpr std::uint64_t seeds = 5;
    constexpr double seconds = 40;
    WaitingShares sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ShiftedDemandSimulation fleet(mix, seed, size);
        if (settling > 0) {
            (void)fleet.serve(seconds / 2, before);
            (void)fleet.serve(settling, requestMix);
        }
        const auto one = fleet.serve(seconds, requestMix);
        sum.small_ += one.small_ / seeds;
        sum.large_ += one.large_ / seeds;
        sum.conversions_ += one.conversions_;
    }
    return sum;
}

inline void print(const char *requestMix, const WaitingShares &kept, const WaitingShares &mixed)
{
    std::printf("%s: callers without a free slot, small model %.4f and %.4f, large model %.4f and "
                "%.4f; groups closed %d and %d (fixed mix and demand mix)\n",
                requestMix, kept.small_, mixed.small_, kept.large_, mixed.large_, kept.conversions_,
                mixed.conversions_);
}

/// Maximum share of callers that may find no free slot immediately, since callers that wait are
/// late.
inline constexpr double maxWaitingShare = 0.01;

} // namespace cardamombay::support
