/// \file
/// \brief The operators' configuration after base and overlays were merged and checked.
/// \details Values only, valid by construction: config_parser.hpp refuses an invalid configuration
/// whole. Durations are Duration, capacities are counts of replicas.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamombay::config {

/// \brief A site: the deployment's part in one availability zone.
struct Site
{
    AvailabilityZone zone_;
    RegionName region_;

    friend bool operator==(const Site &, const Site &) = default;
};

/// \brief A customer of the deployment.
struct Team
{
    TeamName name_;
    double weight_ = 1.0; ///< Share of capacity under contention.
    /// SHA-256 (hex) of the bearer tokens that name the team; if absent, callers name it in a
    /// field.
    std::optional<std::vector<std::string>> tokens_;

    friend bool operator==(const Team &, const Team &) = default;
};

/// \brief Declares whether requests of a method and path may be repeated.
struct RouteRule
{
    std::string method_; ///< Empty matches any method.
    std::string path_;   ///< Path prefix.
    bool isIdempotent_ = true;

    friend bool operator==(const RouteRule &, const RouteRule &) = default;
};

/// \brief Capacity declared for a service at a site.
struct SiteCapacity
{
    AvailabilityZone zone_;
    std::uint32_t replicas_ = 0;

    friend bool operator==(const SiteCapacity &, const SiteCapacity &) = default;
};

/// \brief What stands behind a service.
enum class ServiceKind { Model, Plain };

/// \brief A service callers can reach.
struct Service
{
    ServiceName name_;
    ServiceKind kind_ = ServiceKind::Model;
    endpoint::ModelSpec model_;
    std::uint32_t vmsPerReplica_ = 1;
    std::uint32_t requestsPerReplica_ = 16; ///< Concurrent requests one replica takes.
    std::uint32_t priority_ = 100;          ///< Higher gets scarce VMs first.
    bool isIdempotent_ = true;              ///< Default for requests without a rule or mark.
    bool checksFencing_ = true;             ///< Engines refuse an old fencing token.
    std::string pathPrefix_;                ///< Plain services: paths passed through.
    std::vector<RouteRule> routes_;
    std::vector<SiteCapacity> capacity_;
    Duration requestTimeout_ = std::chrono::seconds(120);
    Duration queueTimeout_ = std::chrono::seconds(2); ///< Longest wait before hand-over.
    Duration loadTime_ = std::chrono::seconds(60);    ///< Expected time to load the weights.

    friend bool operator==(const Service &, const Service &) = default;
};

/// \brief Weights and bounds of the group planner.
struct PlannerPolicy
{
    double downtimeWeight_ = 1.0; ///< Cost of one second of downtime of one group.
    double strandedWeight_ = 1.0; ///< Cost of one second of one stranded VM.
    Duration returnTime_ = std::chrono::seconds(45); ///< Expected time for a lost VM to return.
    double returnProbability_ = 0.5;                 ///< Share of lost VMs that return.
    std::uint32_t concurrentLoads_ = 4;              ///< Weight loads at once in a fabric domain.
    Duration replaceGrace_ = std::chrono::seconds(3);

    friend bool operator==(const PlannerPolicy &, const PlannerPolicy &) = default;
};

/// \brief Everything the operators declared, one accepted version.
struct Configuration
{
    ConfigVersion version_;
    std::string deployment_;
    std::vector<Site> sites_;
    std::vector<Team> teams_;
    std::vector<Service> services_;
    PlannerPolicy planner_;

    /// \brief The service of that name, or null.
    [[nodiscard]] const Service *service(const ServiceName &name) const;
    /// \brief The team of that name, or null.
    [[nodiscard]] const Team *team(const TeamName &name) const;
    /// \brief The site in that availability zone, or null.
    [[nodiscard]] const Site *site(const AvailabilityZone &zone) const;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

/// \brief A configuration shared read-only between threads.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace cardamombay::config
