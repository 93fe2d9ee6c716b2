/// \file
/// \brief Decides which share of each rank and team is admitted while callers ask for more work
/// than the groups of a model can do.
/// \details Every entry VM computes the same level from the same figures, without a message beyond
/// the digests. Decides nothing about endpoints and never queues. Deterministic: same inputs, same
/// decisions.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

#include <map>
#include <optional>
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
    /// Admitted share of each team in the divided rank; other teams have dividedShare_.
    std::map<TeamName, double> teamShares_;
    double offered_ = 0; ///< Inputs for the log: total offered work and room, in groups.
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
};

/// \brief Admits ranks in order of urgency up to the room of the model, and divides the rank at
/// which it ends between teams by weighted max-min fairness.
class RankedAdmission final : public AdmissionPolicy
{
public:
    [[nodiscard]] AdmissionLevel level(const ModelDemand &demand,
                                       const ModelCapacity &capacity) const override;

    /// \brief Rate of work that groups can take now, in groups.
    [[nodiscard]] static double room(const ModelCapacity &capacity);
};

/// \brief The levels of all models at one entry VM. Not thread-safe.
class AdmissionController
{
public:
    /// \param policy must outlive this object.
    /// \param startedAt start of the process.
    AdmissionController(const AdmissionPolicy &policy, TimePoint startedAt);

    /// \brief Replaces the figures of a model; call once per digest period.
    /// \param demand of all entry VMs, this one included.
    /// \param figuresAt when the oldest part of the fleet's demand was received.
    /// \param entries number of entry VMs, this one included.
    void update(const ModelName &model, const ModelDemand &demand, const ModelCapacity &capacity,
                TimePoint figuresAt, std::size_t entries);

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

    /// \brief Drops models that have no figures any more.
    void expire(TimePoint now);

private:
    struct Entry
    {
        AdmissionLevel level_;
        ModelCapacity capacity_;
        TimePoint figuresAt_{};
        std::size_t entries_ = 1;
        double ownShare_ = 1; ///< Admitted share while digests are late.
        TimePoint ownShareAt_{};
    };

    const AdmissionPolicy &policy_;
    TimePoint startedAt_;
    std::map<ModelName, Entry> models_;
};

} // namespace cardamombay::overload
