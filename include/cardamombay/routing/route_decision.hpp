/// \file
/// \brief A routing question and its answer.
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace cardamombay::routing {

/// \brief What a request needs of a group.
struct RouteRequest
{
    ServiceName service_{};
    std::span<const std::uint64_t> prefixHashes_{}; ///< From prefixHashes(); empty if unknown.
    std::span<const GroupId> excluded_{};           ///< Tried already, or with an open circuit.
    const endpoint::ModelSpec *requiredModel_ = nullptr; ///< Resume: exactly this model.
    std::optional<endpoint::GroupRole> role_{}; ///< One step only; empty for a whole request.
};

/// \brief Why the group was chosen, or why there is none.
enum class RouteReason {
    PrefixAffinity, ///< It probably holds the prefix, and its load is within the slack.
    PrefixHome,     ///< All entry VMs send this prefix there; its load is within the slack.
    BetterOfTwo,    ///< The less loaded of two drawn groups.
    OnlyCandidate,
    UnknownService, ///< The snapshot has no such service.
    NoGroups,       ///< The service has no group that could take this step.
    AllStale,       ///< Each group has a member without a fresh observation.
    AllVetoed,      ///< Each fresh group leaves or drains.
    AllExcluded,    ///< The request excluded each usable group.
    OtherModel      ///< No usable group serves the required model and version.
};

/// \brief Short name, for logs and metrics, such as "prefix-affinity".
[[nodiscard]] std::string_view nameOf(RouteReason reason);

/// \brief A group that was weighed.
struct RouteCandidate
{
    const SnapshotGroup *group_ = nullptr;
    double load_ = 0;                 ///< Estimated share of capacity, with zone penalty.
    std::uint32_t matchedBlocks_ = 0; ///< Prompt blocks it probably holds.
};

/// \brief How many groups of the service were passed over, by cause.
struct SkippedGroups
{
    std::uint32_t stale_ = 0;
    std::uint32_t vetoed_ = 0;
    std::uint32_t excluded_ = 0;
    std::uint32_t otherModel_ = 0;
    std::uint32_t otherRole_ = 0;
    std::uint32_t ejected_ = 0;
};

/// \brief The group for a request; the pointers live as long as the snapshot.
struct RouteDecision
{
    static constexpr std::size_t candidateLimit = 4;

    const SnapshotGroup *group_ = nullptr;       ///< Null: none, see reason_.
    const SnapshotGroup *decodeGroup_ = nullptr; ///< Set if group_ only prefills and hands over.
    RouteReason reason_ = RouteReason::NoGroups;
    std::uint32_t usable_ = 0; ///< Groups that could have been chosen.
    SkippedGroups passedOver_{};
    std::array<RouteCandidate, candidateLimit> candidates_{};
    std::size_t candidateCount_ = 0;

    /// \brief The groups that were weighed; the chosen one is first.
    [[nodiscard]] std::span<const RouteCandidate> candidates() const
    {
        return {candidates_.data(), candidateCount_};
    }

    /// \brief The record for "cardamombayctl explain".
    [[nodiscard]] DecisionRecord record(const RouteRequest &request, std::string subject,
                                        TimePoint now) const;
};

/// \brief What a finished attempt showed of its group.
struct RequestSample
{
    Duration timeToFirstToken_{}; ///< Or to the first byte; zero if none came.
    bool isOk_ = true;            ///< False if the group failed, not if the caller left.
    Duration timePerToken_{};     ///< Mean time between tokens; tells slow groups of models.
};

} // namespace cardamombay::routing
