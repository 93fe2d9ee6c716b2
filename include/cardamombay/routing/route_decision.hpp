/// \file
/// \brief Routing request and decision.
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

/// \brief Requirements that a request has for its group.
struct RouteRequest
{
    ServiceName service_{};
    std::span<const std::uint64_t> prefixHashes_{};      ///< From prefixHashes(); empty if unknown.
    std::span<const GroupId> excluded_{};                ///< Already attempted, or circuit open.
    const endpoint::ModelSpec *requiredModel_ = nullptr; ///< Exact model, to resume a response.
    std::optional<endpoint::GroupRole> role_{}; ///< One phase only; empty for a whole request.
};

/// \brief Why the group was chosen, or why none was.
enum class RouteReason {
    PrefixAffinity, ///< It probably holds the prefix, and its load is within the slack.
    PrefixHome,     ///< Chosen by rendezvous hashing of the prefix; load within the slack.
    BetterOfTwo,    ///< The less loaded of two random groups.
    OnlyCandidate,
    UnknownService, ///< The snapshot has no such service.
    NoGroups,       ///< The service has no group for this phase.
    AllStale,       ///< Every group has a member without a fresh observation.
    AllVetoed,      ///< Every fresh group has a leaving member or is draining.
    AllExcluded,    ///< The request excludes every usable group.
    OtherModel      ///< No usable group serves the required model and version.
};

/// \brief Short name, for logs and metrics, such as "prefix-affinity".
[[nodiscard]] std::string_view nameOf(RouteReason reason);

/// \brief A group that was considered.
struct RouteCandidate
{
    const SnapshotGroup *group_ = nullptr;
    double load_ = 0;                 ///< Estimated load over capacity, with penalties.
    std::uint32_t matchedBlocks_ = 0; ///< Prompt blocks it probably holds.
};

/// \brief Number of skipped groups of the service, by reason.
struct SkippedGroups
{
    std::uint32_t stale_ = 0;
    std::uint32_t vetoed_ = 0;
    std::uint32_t excluded_ = 0;
    std::uint32_t otherModel_ = 0;
    std::uint32_t otherRole_ = 0;
    std::uint32_t ejected_ = 0;
};

/// \brief The group chosen for a request; the pointers are valid while the snapshot exists.
struct RouteDecision
{
    static constexpr std::size_t candidateLimit = 4;

    const SnapshotGroup *group_ = nullptr;       ///< Null if none; see reason_.
    const SnapshotGroup *decodeGroup_ = nullptr; ///< Set if group_ only does the prefill.
    RouteReason reason_ = RouteReason::NoGroups;
    std::uint32_t usable_ = 0; ///< Groups that could have been chosen.
    SkippedGroups skipped_{};
    std::array<RouteCandidate, candidateLimit> candidates_{};
    std::size_t candidateCount_ = 0;

    /// \brief The groups that were considered; the chosen one is first.
    [[nodiscard]] std::span<const RouteCandidate> candidates() const
    {
        return {candidates_.data(), candidateCount_};
    }

    /// \brief Decision record for "cardamombayctl explain".
    [[nodiscard]] DecisionRecord record(const RouteRequest &request, std::string subject,
                                        TimePoint now) const;
};

/// \brief Measurements of a finished attempt.
struct RequestSample
{
    Duration timeToFirstToken_{}; ///< Or to the first byte; zero if none arrived.
    bool isOk_ = true;            ///< False if the group failed, not if the caller disconnected.
    Duration timePerToken_{};     ///< Mean time between tokens; zero if unknown.
};

} // namespace cardamombay::routing
