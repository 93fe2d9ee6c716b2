// Checks the planner's invariants on a range of deployments while engines are lost and replaced by
// empty ones at random.
#include "support/planner_bench.hpp"

#include <cardamombay/core/random.hpp>

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace cardamombay;
using namespace cardamombay::serving;
using namespace cardamombay::support;

namespace {

/// Sizes of fabric domains and groups, and the demand in groups.
struct Deployment
{
    int domains_;
    int engines_; ///< Per domain.
    std::uint32_t largeGroup_;
    std::uint32_t smallGroup_;
    double largeDemand_;
    double smallDemand_;
};

constexpr Deployment deployments[] = {
    {6, 8, 4, 2, 3.3, 3.5},
    {3, 5, 3, 1, 0.4, 9},
    {2, 19, 8, 4, 1.5, 0.2},
    {4, 12, 6, 5, 2, 2},
};

/// Engines that execute each order immediately.
class Fleet
{
public:
    Fleet(const Deployment &deployment, std::uint64_t seed)
        : deployment_(deployment)
        , random_(seed)
    {
        bench_.profile_.models_[0].members_ = deployment.largeGroup_;
        bench_.profile_.models_[1].members_ = deployment.smallGroup_;
        bench_.input_.isFirstStart_ = true;
        bench_.input_.mix_ = &mix_;
        for (int domain = 0; domain < deployment.domains_; ++domain) {
            for (int i = 0; i < deployment.engines_; ++i)
                addSpare(std::to_string(domain));
        }
    }

    /// Plans and executes orders until none is due, for at most \p most steps.
    void settle(int maxSteps)
    {
        for (int step = 0; step < maxSteps; ++step) {
            const auto plan = bench_.plan();
            check(plan);
            if (plan.empty())
                return;
            for (const auto &order : plan)
                execute(order);
        }
    }

    void startTraffic()
    {
        bench_.input_.isFirstStart_ = false;
        bench_.input_.demand_ = {{ModelName("m"), deployment_.largeDemand_},
                                 {ModelName("n"), deployment_.smallDemand_}};
    }

    void removeRandomEngine()
    {
        if (bench_.engines_.size() < 2)
            return;
        const auto index = random_.below(bench_.engines_.size());
        const auto domain = bench_.engines_[index].domain_.text();
        bench_.engines_.erase(bench_.engines_.begin() + static_cast<std::ptrdiff_t>(index));
        if (random_.unit() < 0.5)
            addSpare(domain);
    }

    [[nodiscard]] std::size_t openGroups(const ModelName &model) const
    {
        return static_cast<std::size_t>(
            std::count_if(bench_.engines_.begin(), bench_.engines_.end(), [&](const auto &engine) {
                return engine.membership_ && engine.membership_->isHead()
                       && engine.membership_->state_ == MemberState::Open
                       && modelOf(engine.membership_->group_) == model;
            }));
    }

private:
    void addSpare(const std::string &domain)
    {
        bench_.engines_.push_back(spareEngine("e" + std::to_string(++count_), domain));
    }

    Endpoint *find(const VmId &id)
    {
        for (auto &engine : bench_.engines_) {
            if (engine.id_ == id)
                return &engine;
        }
        return nullptr;
    }

    /// Checks the invariants of a plan.
    void check(const Plan &plan)
    {
        std::map<GroupName, std::set<VmId>> joins;
        std::set<VmId> ordered;
        for (const auto &order : plan) {
            auto *engine = find(order.engine_);
            cr_assert_not_null(engine);
            cr_assert(ordered.insert(order.engine_).second, "two orders to one engine");
            if (const auto *join = std::get_if<JoinOrder>(&order.order_)) {
                // The engine may still be listed in a group whose head has left.
                cr_assert(
                    !engine->membership_
                        || bench_.input_.releasedGroups_.contains(engine->membership_->group_),
                    "an engine of a group is ordered into another");
                if (engine->membership_)
                    cr_assert_not(hasHead(engine->membership_->group_));
                joins[join->group_].insert(order.engine_);
                cr_assert(isWarmUp(join->group_)
                          || join->members_.size() == sizeOf(modelOf(join->group_)));
            }
            if (const auto *close = std::get_if<CloseOrder>(&order.order_))
                cr_assert_not(close->abortsRequests_);
            if (std::holds_alternative<OpenOrder>(order.order_))
                cr_assert_eq(listedMembers(engine->membership_->group_),
                             sizeOf(modelOf(engine->membership_->group_)));
        }
        for (const auto &[group, members] : joins)
            cr_assert_eq(members.size(), isWarmUp(group) ? 1 : sizeOf(modelOf(group)));
    }

    [[nodiscard]] bool hasHead(const GroupName &group) const
    {
        return std::any_of(bench_.engines_.begin(), bench_.engines_.end(), [&](const auto &one) {
            return one.membership_ && one.membership_->group_ == group && one.membership_->isHead();
        });
    }

    [[nodiscard]] std::size_t sizeOf(const ModelName &model) const
    {
        return model == ModelName("m") ? deployment_.largeGroup_ : deployment_.smallGroup_;
    }

    [[nodiscard]] std::size_t listedMembers(const GroupName &group) const
    {
        return static_cast<std::size_t>(
            std::count_if(bench_.engines_.begin(), bench_.engines_.end(), [&](const auto &engine) {
                return engine.membership_ && engine.membership_->group_ == group;
            }));
    }

    void execute(const PlannedOrder &planned)
    {
        auto &engine = *find(planned.engine_);
        if (const auto *join = std::get_if<JoinOrder>(&planned.order_)) {
            const auto rank = std::find(join->members_.begin(), join->members_.end(), engine.id_)
                              - join->members_.begin();
            if (engine.model_ != join->model_)
                engine.staged_ = {join->model_};
            engine.model_ = join->model_;
            engine.membership_ = Membership{join->group_, join->epoch_,
                                            static_cast<std::uint32_t>(rank), MemberState::Ready};
        } else if (std::holds_alternative<OpenOrder>(planned.order_)) {
            engine.membership_->state_ = MemberState::Open;
        } else if (std::holds_alternative<CloseOrder>(planned.order_)) {
            engine.membership_->state_ = MemberState::Ready;
        } else if (std::holds_alternative<LeaveOrder>(planned.order_)) {
            engine.membership_.reset();
        } else if (const auto *stage = std::get_if<StageOrder>(&planned.order_)) {
            engine.staged_ = {stage->model_};
        }
    }

    Deployment deployment_;
    Random random_;
    DemandMix mix_;
    PlannerBench bench_;
    int count_ = 0;
};

} // namespace

Test(planner_invariants, orders_satisfy_invariants_while_engines_are_lost)
{
    constexpr int losses = 40;
    constexpr int steps = 12; ///< Enough to close a group, form another one and open it.
    for (const auto &deployment : deployments) {
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            Fleet fleet(deployment, seed);
            fleet.settle(steps);
            fleet.startTraffic();
            for (int loss = 0; loss < losses; ++loss) {
                fleet.removeRandomEngine();
                fleet.settle(steps);
            }
        }
    }
}

Test(planner_invariants, both_models_serve_after_the_first_start)
{
    for (const auto &deployment : deployments) {
        Fleet fleet(deployment, 1);
        fleet.settle(12);
        cr_assert_gt(fleet.openGroups(ModelName("m")), 0);
        cr_assert_gt(fleet.openGroups(ModelName("n")), 0);
    }
}

Test(planner_invariants, both_models_serve_after_a_quarter_of_the_engines_was_lost)
{
    for (const auto &deployment : deployments) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Fleet fleet(deployment, seed);
            fleet.settle(12);
            fleet.startTraffic();
            for (int loss = 0; loss < deployment.domains_ * deployment.engines_ / 4; ++loss) {
                fleet.removeRandomEngine();
                fleet.settle(12);
            }
            cr_assert_gt(fleet.openGroups(ModelName("m")), 0, "seed %d", static_cast<int>(seed));
            cr_assert_gt(fleet.openGroups(ModelName("n")), 0, "seed %d", static_cast<int>(seed));
        }
    }
}
