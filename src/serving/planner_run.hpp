/// \file
/// \brief One run of the replica planner.
#pragma once

#include <cardamombay/serving/replica_planner.hpp>

namespace cardamombay::serving::impl {

/// \brief How quickly an engine can serve a model.
enum class Readiness {
    Loaded, ///< The model is in the engine's memory.
    Staged, ///< The model is on the engine's host.
    Empty,  ///< The model must be loaded from the weight store.
};

/// \brief How quickly \p engine can serve \p model.
[[nodiscard]] Readiness readinessOf(const Endpoint &engine, const ModelName &model);

/// \brief One planner run: reviews the existing groups, then forms new ones from free engines.
class PlannerRun
{
public:
    explicit PlannerRun(const PlanInput &input)
        : input_(input)
        , loads_(input.loading_.size())
    {
        for (const auto &model : input.profile_->models_)
            groups_[model.name_] = 0;
        for (const auto *engine : input.engines_) {
            if (!input.unresponsive_.contains(engine->id_))
                engines_.push_back(engine);
        }
        domainModels_ = domainModels();
        recordPresentModels();
    }

    Plan plan();

private:
    using Engines = std::vector<const Endpoint *>;

    void review(const GroupView &group);
    [[nodiscard]] bool isAssembling(const GroupView &group, const Model &model) const;
    void reviewWarmUp(const GroupView &group);
    void reviewServing(const GroupView &group, bool isComplete);
    [[nodiscard]] bool hasUnresponsive(const GroupView &group) const;
    void reviewReady(const GroupView &group, bool isComplete);
    void openReady();
    void dissolve(const GroupView &group, std::string_view reason);
    [[nodiscard]] bool isReleased(const Endpoint &engine) const;
    void addIfFree(const Endpoint &engine);
    void formInDomain(Engines &free);
    bool formNextGroup(Engines &free);
    void formGroup(const Model &model, const Engines &members);
    void formAcrossDomains();
    void consolidateGroups();
    void consolidate(const Model &model);
    [[nodiscard]] std::map<FabricDomain, std::size_t> leftoverSpares(const Model &model) const;
    [[nodiscard]] static std::vector<const GroupView *>
    groupsToConsolidate(const Model &model, const FabricDomain &domain, std::size_t able,
                        std::vector<const GroupView *> open);
    [[nodiscard]] Engines settledSpares(const Model &model) const;
    void recordPresentModels();
    [[nodiscard]] bool isStagedForConversion(const Endpoint &engine, const ModelName &model) const;
    [[nodiscard]] const Model *reserveModel(const FabricDomain &domain) const;
    void reclaim();
    void reclaimFor(const Model &model, const FabricDomain &domain);
    [[nodiscard]] std::vector<const GroupView *>
    groupsToReclaim(const Model &model, const FabricDomain &domain, std::size_t missing) const;
    void stageReserveModels();
    [[nodiscard]] bool mayLoadReserve() const;
    [[nodiscard]] const Model *initialModel(const Engines &free) const;
    [[nodiscard]] bool shouldMixModels(std::size_t engines) const;
    [[nodiscard]] bool leavesRoomForSmaller(const Model &model, std::size_t engines) const;
    [[nodiscard]] const Model *modelToLoad(const FabricDomain &domain);
    [[nodiscard]] bool fitsOneDomain(const GroupView &group, const Model &model) const;
    [[nodiscard]] double capacityOf(const GroupView &group) const;
    void loadAtStart(const Engines &free);
    void loadSpares();
    void warmUpSpares(const Engines &free);
    [[nodiscard]] bool needsLoad(const Endpoint &engine) const;
    [[nodiscard]] std::size_t countWithModel(const FabricDomain &domain, const Model &model) const;
    [[nodiscard]] double loadBenefit(const FabricDomain &domain, const Model &model) const;
    [[nodiscard]] const Model *worstServedModel(const Engines &free, Readiness worst) const;
    [[nodiscard]] double coverage(const Model &model) const;
    [[nodiscard]] double coverage(const Model &model, double groups) const;
    [[nodiscard]] double projectedCoverage(const Model &model) const;
    [[nodiscard]] const Model *modelNamed(const ModelName &name) const;
    [[nodiscard]] bool hasOrder(const Endpoint &engine) const;
    [[nodiscard]] bool mayLoad() const;
    [[nodiscard]] bool isLoading(const Endpoint &engine) const;
    void order(const Endpoint &engine, Order order, std::string reason, bool loads = false);

    [[nodiscard]] std::vector<ModelLoad> modelLoads() const;
    void convert();
    [[nodiscard]] const GroupView *convertible(const Conversion &conversion) const;
    [[nodiscard]] bool hasOrLoadsModel(const Endpoint &engine, const Model &model) const;
    [[nodiscard]] static bool allHaveStaged(const GroupView &group, const Model &model);
    void closeForConversion(const GroupView &group);
    void stageForConversion(const GroupView &group, const Model &model);

    [[nodiscard]] double domainWeight(const Model &model) const;
    [[nodiscard]] std::map<FabricDomain, const Model *> domainModels();

    const PlanInput &input_;
    std::vector<const Endpoint *> engines_; ///< Responsive engines.
    std::map<FabricDomain, const Model *> domainModels_;
    std::size_t domainSize_ = 1; ///< Engines of the largest fabric domain.
    std::map<FabricDomain, std::set<const Model *>> presentModels_; ///< Models held by its engines.
    std::size_t loads_;
    std::map<ModelName, double> groups_; ///< Serving or being formed.
    std::map<FabricDomain, Engines> free_;
    std::set<FabricDomain> domainsWithGroups_;
    std::vector<const GroupView *> serving_; ///< Complete groups.
    std::vector<const GroupView *> ready_;   ///< Complete groups that can be opened.
    std::set<GroupName> dissolving_;         ///< Their engines are needed for other groups.
    std::set<GroupName> converting_;         ///< Already counted as groups of the target model.
    std::set<FabricDomain>
        consolidating_;                 ///< Their spares wait for engines of cross-domain groups.
    std::set<FabricDomain> reclaiming_; ///< Their spares wait for reclaimed engines.
    Plan result_;
};

} // namespace cardamombay::serving::impl
