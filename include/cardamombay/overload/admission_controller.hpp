/// \file
/// \brief Decides which share of each rank and team is admitted while callers ask for more work
/// than the groups of a model can do.
/// \details Every entry VM computes the same level from the same figures, without a message beyond
/// the digests. Decides nothing about endpoints and never queues. Deterministic: same inputs, same
/// decisions.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>
#include <cardamombay/overload/level_log.hpp>

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace cardamombay::overload {

/// \brief Where the figures of a level come from.
enum class FigureSource {
    Fleet, ///< Recent digests of the fleet.
    Own,   ///< Digests are late: the entry VM's own sends.
    Start, ///< The process has just started and has heard of no peer.
};

/// \brief Name used in logs.
[[nodiscard]] std::string_view nameOf(FigureSource source);

/// \brief Which requests for a model are admitted.
struct AdmissionLevel
{
    /// Rank that is divided; less urgent ones are refused, more urgent ones pass whole. Absent if
    /// all pass.
    std::optional<Rank> dividedRank_;
    double dividedShare_ = 1; ///< Admitted share of the divided rank's work, 0 to 1.
    /// Admitted share of each team that the figures name in the divided rank.
    std::map<TeamName, double> teamShares_;
    double otherTeamsShare_ = 1; ///< Admitted share of teams in the divided rank without a name.
    double offered_ = 0;         ///< Inputs for the log: total offered work and room, in groups.
    double room_ = 0;
    double occupancy_ = 0;
    FigureSource source_ = FigureSource::Fleet;

    /// \brief Admitted share of a team's requests of a rank, 0 to 1.
    [[nodiscard]] double share(Rank rank, const TeamName &team) const;
};

/// \brief Computes a level from figures; pure.
class AdmissionPolicy
{
public:
    AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy &) = delete;
    AdmissionPolicy &operator=(const AdmissionPolicy &) = delete;
    virtual ~AdmissionPolicy() = default;

    /// \param demand of all entry VMs.
    /// \param capacity of the groups that may be used.
    [[nodiscard]] virtual AdmissionLevel level(const ModelDemand &demand,
                                               const ModelCapacity &capacity) const = 0;

    /// \brief Level for a given room.
    /// \param demand of the entry VMs that share the room.
    /// \param room rate of work that may be admitted, in groups.
    [[nodiscard]] virtual AdmissionLevel divide(const ModelDemand &demand, double room) const = 0;
};

/// \brief Admits ranks in order of urgency up to the room of the model, and divides the rank at
/// which it ends between teams by weighted max-min fairness.
class RankedAdmission final : public AdmissionPolicy
{
public:
    [[nodiscard]] AdmissionLevel level(const ModelDemand &demand,
                                       const ModelCapacity &capacity) const override;
    [[nodiscard]] AdmissionLevel divide(const ModelDemand &demand, double room) const override;

    /// \brief Rate of work that groups can take now, in groups.
    [[nodiscard]] static double room(const ModelCapacity &capacity);
};

/// \brief What an entry VM knows of one model at the end of a digest period.
struct ModelFigures
{
    ModelDemand fleet_; ///< Demand of all entry VMs that are heard of, this one included.
    ModelDemand own_;   ///< Demand at this entry VM.
    ModelCapacity capacity_;
    std::size_t slots_ = 0;   ///< Slots of the usable groups.
    std::size_t entries_ = 1; ///< Entry VMs that the store lists, this one included.
    /// When the newest part of \ref fleet_ was received; no value before the first one.
    std::optional<TimePoint> receivedAt_;
};

/// \brief The levels of all models at one entry VM. Not thread-safe.
class AdmissionController
{
public:
    /// \param policy must outlive this object.
    /// \param startedAt start of the process.
    AdmissionController(const AdmissionPolicy &policy, TimePoint startedAt);

    /// \brief Replaces the figures of a model; call once per digest period, also without news of
    /// peers. Logs a change of the level.
    void update(const ModelName &model, const ModelFigures &figures, TimePoint now);

    /// \brief An engine accepted or refused a request of this entry VM; used while digests are
    /// late.
    void recordSend(const ModelName &model, bool isRefused, TimePoint now);

    /// \param inFlight requests of this entry VM in progress for the model.
    /// \returns true if the request may be sent or held.
    [[nodiscard]] bool admits(const AdmissionRequest &request, std::size_t inFlight,
                              TimePoint now) const;

    /// \brief Level in force; everything passes for a model without figures.
    [[nodiscard]] AdmissionLevel level(const ModelName &model, TimePoint now) const;

    /// \brief Age of a model's figures; no value if there are none.
    [[nodiscard]] std::optional<Duration> figuresAge(const ModelName &model, TimePoint now) const;

    /// \brief Drops the models that are not in \p models. A model is never dropped for the age of
    /// its figures, because a VM that resumes would then admit everything.
    void retain(std::span<const ModelName> models);

private:
    /// What is admitted while digests are late: more urgent ranks than \ref rank_ in full.
    struct OwnShare
    {
        std::optional<Rank> rank_; ///< The divided rank; everything passes without one.
        double share_ = 1;
        TimePoint loweredAt_{};
        TimePoint risesFrom_{}; ///< Start of the present time without a refusal.
    };
    struct Entry
    {
        AdmissionLevel fleetLevel_;
        AdmissionLevel ownLevel_;
        ModelFigures figures_;
        OwnShare own_;
        LevelLog log_;
    };

    [[nodiscard]] FigureSource sourceOf(const Entry &entry, TimePoint now) const;
    [[nodiscard]] const AdmissionLevel &levelOf(const Entry &entry, TimePoint now) const;
    static void lowerOwnShare(Entry &entry, TimePoint now);
    static void raiseOwnShare(Entry &entry, TimePoint now);
    void divideOwn(Entry &entry) const;

    const AdmissionPolicy &policy_;
    TimePoint startedAt_;
    std::map<ModelName, Entry> models_;
};

} // namespace cardamombay::overload
