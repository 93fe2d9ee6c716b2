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
    [[nodiscard]] const Model *modelKeptFor(const Engines &free) const;
    void formGroup(const Model &model, const Engines &members);
    void formAcrossDomains();
    void consolidateGroups();
    void closeSurplusAcrossDomains();
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
    groupsToReclaim(const Model &model, const FabricDomain &domain, std::size_t able) const;
    [[nodiscard]] std::vector<const GroupView *>
    reclaimableGroups(const Model &model, const FabricDomain &domain) const;
    [[nodiscard]] bool mayTake(const Model &from, double taken, const Model &to,
                               bool areWaiting) const;
    [[nodiscard]] bool hasKeptEngines(const FabricDomain &domain, const Model &model) const;
    [[nodiscard]] bool hasSurvivors(const Model &model, std::size_t able) const;
    [[nodiscard]] bool raisesSmallerCoverage(const Model &from, double taken,
                                             const Model &to) const;
    [[nodiscard]] ModelLoad expectedLoad(const Model &model) const;
    [[nodiscard]] double expectedCoverage(const Model &model, double less = 0) const;
    void countExpectedGroups();
    void countFreeEngines();
    [[nodiscard]] std::size_t groupsFromFree(const Engines &free, const Model &model) const;
    void countUnlistedGroups();
    [[nodiscard]] const ModelName *keptModel(const Endpoint &engine) const;
    [[nodiscard]] bool isKeptFor(const Endpoint &engine, const Model &model) const;
    [[nodiscard]] bool mayServe(const Endpoint &engine, const Model &model) const;
    void stageReserveModels();
    void stageReserve(const Endpoint &engine, const Model *model, const ModelName &own);
    void stageForSpares();
    [[nodiscard]] const Model *conversionPartner(const ModelName &name) const;
    [[nodiscard]] bool isSpareOfBoth(const Model &model, const FabricDomain &domain) const;
    [[nodiscard]] bool lacksCapacity(const Model &model) const;
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
    [[nodiscard]] std::optional<Conversion> nextConversion() const;
    [[nodiscard]] bool isRatioKnown() const;
    void convertGroup(const GroupView &group, const Conversion &conversion);
    void reportMix(std::string_view outcome) const;
    [[nodiscard]] const GroupView *convertible(const Conversion &conversion) const;
    [[nodiscard]] bool hasOrLoadsModel(const Endpoint &engine, const Model &model) const;
    [[nodiscard]] static bool allHaveStaged(const GroupView &group, const Model &model);
    void closeForConversion(const GroupView &group, const Model &model);
    void closeFor(const GroupView &group, const Model &model, std::string_view reason);
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
    /// Groups that are certain to form from reclaimed or converted engines, but are not in groups_.
    std::map<ModelName, double> expected_;
    std::map<ModelName, double> taken_; ///< Groups being closed for other models, by their model.
    std::map<FabricDomain, Engines> free_;
    std::set<FabricDomain> domainsWithGroups_;
    std::map<FabricDomain, std::size_t> enginesInGroups_;         ///< Members of serving groups.
    std::map<FabricDomain, std::set<const Model *>> groupModels_; ///< Models of these groups.
    std::vector<const GroupView *> serving_;                      ///< Complete groups.
    std::vector<const GroupView *> ready_; ///< Complete groups that can be opened.
    std::set<GroupName> dissolving_;       ///< Their engines are needed for other groups.
    std::set<GroupName> converting_;       ///< Already counted as groups of the target model.
    std::set<FabricDomain>
        consolidating_;                 ///< Their spares wait for engines of cross-domain groups.
    std::set<FabricDomain> reclaiming_; ///< Their spares wait for reclaimed engines.
    std::map<FabricDomain, const Model *> reclaimedModels_; ///< Models of the groups they wait for.
    Plan result_;
};

} // namespace cardamombay::serving::impl
