/// \file
/// \brief What operators declare: routes, services with their models, teams and callers' limits.
/// \details Plain values. Whoever receives a configuration decodes it into these types once; all
/// decisions read only these.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamombay::serving {

/// \brief What may be repeated.
enum class RequestKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs once at most for each attempt of a caller.
    Stream,        ///< An event stream; non-idempotent unless the route is resumable.
};

/// \brief A service that a route leads to, with its share of the route's requests.
struct Backend
{
    ServiceName service_;
    std::uint32_t weight_ = 1;

    friend bool operator==(const Backend &, const Backend &) = default;
};

/// \brief Requests of one host below one path prefix.
struct Route
{
    std::string name_;
    std::string host_;
    std::string prefix_; ///< Begins and ends with a slash.
    RequestKind kind_ = RequestKind::NonIdempotent;
    Duration timeout_{};            ///< Longest wait that the operator allows.
    Duration latencyGoal_{};        ///< Answers (streams: first events) within it count fully.
    Duration eventGapGoal_{};       ///< Longest pause between events of an answer on time.
    std::uint32_t priority_ = 0;    ///< 0 is the most urgent.
    std::uint32_t maxAttempts_ = 1; ///< Endpoints that one request may be handed to.
    bool isResumable_ = false;
    bool needsKey_ = true;
    std::vector<Backend> backends_;
    std::vector<RegionName> regions_; ///< Its requests run only there; empty: anywhere.

    friend bool operator==(const Route &, const Route &) = default;
};

/// \brief A model that the engines of a service can serve in groups.
struct Model
{
    ModelName name_;
    std::uint32_t members_ = 1; ///< VMs of a group.
    double share_ = 0;          ///< Its share of the work at the start, 0 to 1.
    double timeFactor_ = 1;     ///< Factor on all times of a group.
    Duration load_{};           ///< From the weight store.
    Duration warmLoad_{};       ///< From the VM's own host.

    friend bool operator==(const Model &, const Model &) = default;
};

/// \brief How engines of a service work; figures are for a group at pace 1.
struct EngineProfile
{
    std::uint32_t slots_ = 1;                 ///< Requests in a batch.
    std::uint64_t kvCacheTokens_ = 0;         ///< Tokens of context that fit.
    Duration step_{};                         ///< One token for each request of the batch.
    Duration stepPerRequest_{};               ///< Added to a step for each request that writes.
    Duration stepPerThousandTokens_{};        ///< Added to a step for each 1,000 tokens of context.
    double prefillTokensPerSecond_ = 1;       ///< Prompt tokens read.
    std::uint32_t prefillChunkTokens_ = 2048; ///< Prompt tokens read between two steps at most.
    std::uint32_t tokensPerEvent_ = 1;        ///< Tokens that one event holds.
    std::uint32_t meanPromptTokens_ = 0;      ///< Mean prompt, tokens; 0 if it is not declared.
    std::uint32_t meanAnswerTokens_ = 0;      ///< Mean answer, tokens; 0 if it is not declared.
    double crossDomainFactor_ = 1;     ///< A group over several fabric domains is slower by this.
    Duration groupFormationTime_{};    ///< From the order to open until the group serves.
    double loadsPerSecond_ = 1;        ///< Most loads from the weight store that may begin.
    std::uint32_t fullSpeedLoads_ = 1; ///< Loads beyond this share the weight store's speed.
    std::vector<Model> models_;

    /// \brief The model of that name; null if the service has none.
    [[nodiscard]] const Model *model(const ModelName &name) const;
    friend bool operator==(const EngineProfile &, const EngineProfile &) = default;
};

/// \brief A service; one without an engine profile is a plain service.
struct Service
{
    ServiceName name_;
    std::uint32_t maxConnections_ = 0; ///< Of each endpoint, over all callers.
    Duration coldStart_{};             ///< An endpoint is cold for that long after its start.
    double coldRequestsPerSecond_ = 0; ///< That a cold endpoint takes; 0: as many as any.
    std::optional<EngineProfile> engine_;

    friend bool operator==(const Service &, const Service &) = default;
};

/// \brief A customer with the keys that its callers show.
struct Team
{
    TeamName name_;
    std::vector<std::string> keys_;
    std::optional<std::uint32_t> priority_; ///< Goes before the route's.
    std::vector<RegionName> regions_{};     ///< Its requests run only there; empty: anywhere.

    friend bool operator==(const Team &, const Team &) = default;
};

/// \brief What callers may send, and how long they may take.
struct CallerLimits
{
    std::uint32_t headerBytes_ = 16 * 1024;
    std::uint32_t bodyBytes_ = 4 * 1024 * 1024;
    Duration headerTime_ = std::chrono::seconds(10); ///< For a request to arrive.
    Duration idleTime_ = std::chrono::seconds(60);   ///< Between two requests of a connection.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// \brief One accepted configuration.
struct Configuration
{
    ConfigVersion version_;
    std::vector<Route> routes_;
    std::vector<Service> services_;
    std::vector<Team> teams_; ///< Empty: no key is asked for.
    CallerLimits limits_;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace cardamombay::serving
