/// \file
/// \brief Lookup of routes, services and teams of one configuration.
/// \details Decides which route a request takes and whose key it shows, and nothing else.
/// Immutable, so requests under way keep the table they began with.
#pragma once

#include <cardamombay/serving/configuration.hpp>

#include <map>
#include <string_view>
#include <unordered_map>

namespace cardamombay::serving {

/// \brief Routes by host and longest prefix, teams by key.
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

    /// \brief The route of \p host whose prefix is the longest that begins \p path; null if none.
    /// \param host in any case, with or without a port.
    /// \param path with or without a query.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;

    /// \brief The team that holds \p key; null if none does.
    [[nodiscard]] const Team *team(std::string_view key) const;

    /// \brief The service of that name; null if it is unknown.
    [[nodiscard]] const Service *service(const ServiceName &name) const;

    [[nodiscard]] const Configuration &configuration() const { return configuration_; }
    [[nodiscard]] ConfigVersion version() const { return configuration_.version_; }

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route *>, std::less<>> routesByHost_;
    std::unordered_map<std::string, const Team *> teamsByKey_;
    std::unordered_map<ServiceName, const Service *> services_;
};

/// \brief Chooses a backend of \p route by weight.
/// \param draw a number in [0, 1).
/// \returns null if the route has no backend of any weight.
[[nodiscard]] const Backend *chooseBackend(const Route &route, double draw);

} // namespace cardamombay::serving
