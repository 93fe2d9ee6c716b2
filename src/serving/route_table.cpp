#include <cardamombay/serving/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <numeric>

namespace cardamombay::serving {

namespace {

std::string normalizedHost(std::string_view host)
{
    const auto colon = host.rfind(':');
    std::string result(host.substr(0, colon));
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

/// Services with engines whose streams have different ranks.
std::set<ServiceName> rankedServices(const Configuration &configuration)
{
    std::map<ServiceName, std::set<std::uint32_t>> ranks;
    for (const auto &route : configuration.routes_) {
        if (route.kind_ != RequestKind::Stream)
            continue;
        for (const auto &backend : route.backends_)
            ranks[backend.service_].insert(route.priority_);
    }
    std::set<ServiceName> result;
    for (const auto &service : configuration.services_) {
        if (service.engine_ && ranks[service.name_].size() > 1)
            result.insert(service.name_);
    }
    return result;
}

bool hasLongerPrefix(const Route *left, const Route *right)
{
    return left->prefix_.size() > right->prefix_.size();
}

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto &route : configuration_.routes_)
        routesByHost_[normalizedHost(route.host_)].push_back(&route);
    for (auto &[host, routes] : routesByHost_)
        std::stable_sort(routes.begin(), routes.end(), hasLongerPrefix);
    for (const auto &team : configuration_.teams_) {
        for (const auto &key : team.keys_) {
            // A request without a key has an empty one.
            if (!key.empty())
                teamsByKey_.emplace(key, &team);
        }
    }
    for (const auto &service : configuration_.services_)
        services_.emplace(service.name_, &service);
    rankedServices_ = rankedServices(configuration_);
}

const Route *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto routes = routesByHost_.find(normalizedHost(host));
    if (routes == routesByHost_.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const auto *route : routes->second) {
        if (path.starts_with(route->prefix_))
            return route;
    }
    return nullptr;
}

const Team *RouteTable::team(std::string_view key) const
{
    const auto found = teamsByKey_.find(std::string(key));
    return found == teamsByKey_.end() ? nullptr : found->second;
}

const Service *RouteTable::service(const ServiceName &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

bool RouteTable::hasRanks(const ServiceName &name) const
{
    return rankedServices_.contains(name);
}

const Backend *chooseBackend(const Route &route, double draw)
{
    const auto total
        = std::accumulate(route.backends_.begin(), route.backends_.end(), 0.0,
                          [](double sum, const Backend &one) { return sum + one.weight_; });
    double left = draw * total;
    for (const auto &backend : route.backends_) {
        if (left < backend.weight_)
            return &backend;
        left -= backend.weight_;
    }
    return nullptr;
}

} // namespace cardamombay::serving
