/// \file
/// \brief Measures the work that callers offer at one entry VM.
/// \details Only counts; the figures are carried to the other entry VMs by digests.
#pragma once

#include <cardamombay/overload/admission_figures.hpp>

namespace cardamombay::overload {

/// Teams of one model that a digest names at most. Below this number of names, no entry VM has left
/// a team out.
inline constexpr std::size_t maxNamedTeams = 32;

/// \brief Offered work by model, rank and team, smoothed over a short time. Not thread-safe.
class DemandMeter
{
public:
    /// \brief Counts a request, whether or not it is admitted. Ranks above maxRank count as it.
    /// Requests without a team count as one team with an empty name.
    /// \param work seconds of a full group's time; ignored unless positive and finite.
    void count(const AdmissionRequest &request, double work);

    /// \brief Ends a measuring period.
    /// \param passed length of the period.
    void advance(Duration passed);

    /// \brief Offered work of all models, in groups. Teams are those of \p dividedRanks only.
    /// \param dividedRanks the divided rank of each model with one.
    /// \param maxTeams at most so many teams per model, those with most work.
    [[nodiscard]] FleetDemand demand(const std::map<ModelName, Rank> &dividedRanks,
                                     std::size_t maxTeams) const;

    /// \brief Mean work of a model's requests in seconds; 0 if none was counted.
    [[nodiscard]] double meanWork(const ModelName &model) const;

private:
    struct Rate
    {
        double counted_ = 0; ///< Work in the current period, seconds.
        double groups_ = 0;  ///< Smoothed rate.
    };
    struct Model
    {
        std::map<Rank, Rate> ranks_;
        std::map<Rank, std::map<TeamName, Rate>> teams_;
        double meanWork_ = 0;
    };

    [[nodiscard]] static std::map<TeamName, double> teamsOf(const Model &model, Rank rank,
                                                            std::size_t maxTeams);

    std::map<ModelName, Model> models_;
};

} // namespace cardamombay::overload
