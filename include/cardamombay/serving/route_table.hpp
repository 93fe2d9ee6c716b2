/// \file
/// \brief Looks up the routes, services and teams of one configuration.
/// \details Immutable, so requests in progress keep the table they started with.
#pragma once

#include <cardamombay/serving/configuration.hpp>

#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Finds routes by host and longest path prefix, and teams by key.
/// \code
/// const RouteTable table(configuration);
/// if (const auto *route = table.route("studio.example", "/scripts/7"))
///     std::cout << route->name_;
/// \endcode
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /// \brief The route of \p host with the longest prefix of \p path; null if none matches.
    /// \param host in any case, with or without a port.
    /// \param path with or without a query.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    /// \brief The team that holds \p key; null if none does.
    [[nodiscard]] const Team *team(std::string_view key) const;

    /// \brief The service of that name; null if it is unknown.
    [[nodiscard]] const Service *service(const ServiceName &name) const;

    /// \brief True if routes of the service declare at least two different ranks, so that some of
    /// its work may be deferred in favour of other work. False for services without engines.
    [[nodiscard]] bool hasRanks(const ServiceName &name) const;

    [[nodiscard]] const Configuration &configuration() const { return configuration_; }
    [[nodiscard]] ConfigVersion version() const { return configuration_.version_; }

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route *>, std::less<>> routesByHost_;
    std::unordered_map<std::string, const Team *> teamsByKey_;
    std::unordered_map<ServiceName, const Service *> services_;
    std::set<ServiceName> rankedServices_;
};

/// \brief Chooses a backend of \p route by weight.
/// \param draw a random number in [0, 1).
/// \returns null if no backend of the route has a positive weight.
[[nodiscard]] const Backend *chooseBackend(const Route &route, double draw);

} // namespace cardamombay::serving
