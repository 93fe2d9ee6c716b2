/// \file
/// \brief Operator configuration: routes, services with their models, teams and caller limits.
/// \details Plain value types. A configuration is decoded into them once, on receipt.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamombay::serving {

/// \brief Whether a request may be executed more than once.
enum class RequestKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
    Stream,        ///< An event stream; non-idempotent unless the route is resumable.
};

/// \brief A target service of a route, weighted by its share of the route's requests.
struct Backend
{
    ServiceName service_;
    std::uint32_t weight_ = 1;

    friend bool operator==(const Backend &, const Backend &) = default;
};

/// \brief Regions in which the requests of a route or team may run.
/// \details Unrestricted unless a list is declared; an empty list allows no region.
class RegionRestriction
{
public:
    RegionRestriction() = default;
    explicit RegionRestriction(std::vector<RegionName> allowed)
        : allowed_(std::move(allowed))
    {
    }

    [[nodiscard]] bool isUnrestricted() const { return !allowed_; }

    /// \param region empty if unknown, which only an unrestricted request accepts.
    [[nodiscard]] bool allows(const RegionName &region) const
    {
        if (!allowed_)
            return true;
        return !region.isEmpty()
               && std::find(allowed_->begin(), allowed_->end(), region) != allowed_->end();
    }

    friend bool operator==(const RegionRestriction &, const RegionRestriction &) = default;

private:
    std::optional<std::vector<RegionName>> allowed_;
};

/// \brief Rules for the requests to one host under one path prefix.
struct Route
{
    std::string name_;
    std::string host_;
    std::string prefix_; ///< Begins and ends with a slash.
    RequestKind kind_ = RequestKind::NonIdempotent;
    Duration timeout_{};         ///< Maximum total time of a request.
    Duration latencyGoal_{};     ///< Responses (streams: first events) within it count as on time.
    Duration eventGapGoal_{};    ///< Maximum gap between events of an on-time stream.
    std::uint32_t priority_ = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts_ = 1; ///< Maximum attempts per request, each at one endpoint.
    bool isResumable_ = false;
    bool needsKey_ = true;
    std::vector<Backend> backends_;
    RegionRestriction regions_;

    friend bool operator==(const Route &, const Route &) = default;
};

/// \brief A model that a service serves with groups of engines.
struct Model
{
    ModelName name_;
    std::uint32_t members_ = 1; ///< VMs per group.
    double share_ = 0;          ///< Initial share of the service's work, 0 to 1.
    double timeFactor_ = 1;     ///< Multiplies all processing times of a group.
    Duration load_{};           ///< Load time from the weight store.
    Duration warmLoad_{};       ///< Load time if the weights are staged on the VM's host.

    friend bool operator==(const Model &, const Model &) = default;
};

/// \brief Performance profile of a service's engines, for a group whose time factor is 1.
struct EngineProfile
{
    std::uint32_t slots_ = 1;           ///< Maximum requests in a batch.
    std::uint64_t kvCacheTokens_ = 0;   ///< Capacity of the KV cache, tokens.
    Duration step_{};                   ///< Base time of a decoding step (one token per request).
    Duration stepPerRequest_{};         ///< Step time added by each decoding request.
    Duration stepPerThousandTokens_{};  ///< Step time added by each 1,000 tokens of context.
    double prefillTokensPerSecond_ = 1; ///< Prompt processing rate.
    std::uint32_t prefillChunkTokens_
        = 2048;                          ///< Maximum prompt tokens processed between two steps.
    std::uint32_t tokensPerEvent_ = 1;   ///< Tokens per stream event.
    std::uint32_t meanPromptTokens_ = 0; ///< Mean prompt length; 0 if not declared.
    std::uint32_t meanAnswerTokens_ = 0; ///< Mean answer length; 0 if not declared.
    double crossDomainFactor_ = 1;       ///< Slowdown of a group that spans several fabric domains.
    Duration groupFormationTime_{};      ///< Time from the open order until the group serves.
    double loadsPerSecond_ = 1;        ///< Maximum rate at which loads from the weight store start.
    std::uint32_t fullSpeedLoads_ = 1; ///< Loads that run at full speed; more share the bandwidth.
    std::vector<Model> models_;

    /// \returns the model of that name, or null.
    [[nodiscard]] const Model *model(const ModelName &name) const;
    friend bool operator==(const EngineProfile &, const EngineProfile &) = default;
};

/// \brief A service. Without an engine profile it is a plain service.
struct Service
{
    ServiceName name_;
    std::uint32_t maxConnections_ = 0; ///< Per endpoint, over all callers.
    Duration coldStart_{};             ///< Time after its start during which an endpoint is cold.
    double coldRequestsPerSecond_ = 0; ///< Rate limit of a cold endpoint; 0: no special limit.
    std::optional<EngineProfile> engine_;

    friend bool operator==(const Service &, const Service &) = default;
};

/// \brief A team and the API keys of its callers.
struct Team
{
    TeamName name_;
    std::vector<std::string> keys_;         ///< An empty key is never valid.
    std::optional<std::uint32_t> priority_; ///< Overrides the route's priority.
    RegionRestriction regions_{};

    friend bool operator==(const Team &, const Team &) = default;
};

/// \brief Size and time limits for callers.
struct CallerLimits
{
    std::uint32_t headerBytes_ = 16 * 1024;
    std::uint32_t bodyBytes_ = 4 * 1024 * 1024;
    Duration headerTime_ = std::chrono::seconds(10); ///< Maximum time to receive a request.
    Duration idleTime_
        = std::chrono::seconds(60); ///< Maximum idle time of a connection between requests.

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// \brief What a configuration states about the keys of requests.
enum class KeyPolicy {
    Required,    ///< Only keys of the declared teams are valid; without any team, none is.
    NotRequired, ///< No teams are declared, so no request needs a key.
    Unreadable,  ///< The declaration of teams cannot be read, so no key can be checked.
};

/// \returns the name of \p policy for logs.
[[nodiscard]] std::string_view nameOf(KeyPolicy policy);

/// \brief One version of the operator configuration.
struct Configuration
{
    ConfigVersion version_;
    std::vector<Route> routes_;
    std::vector<Service> services_;
    KeyPolicy keyPolicy_ = KeyPolicy::Required;
    std::vector<Team> teams_;
    std::size_t unreadableTeams_ = 0; ///< Entries of teams that cannot be read completely.
    CallerLimits limits_;

    /// \returns false if some declared key cannot be read.
    [[nodiscard]] bool areKeysReadable() const
    {
        return keyPolicy_ != KeyPolicy::Unreadable && unreadableTeams_ == 0;
    }
    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace cardamombay::serving
