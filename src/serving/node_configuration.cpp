// Puts configurations of the store and of peers into force.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

void logUnreadableTeams(const Configuration &configuration)
{
    if (configuration.areKeysReadable())
        return;
    log::error(event::teamsUnreadable,
               {{"version", std::to_string(configuration.version_.value())},
                {"keys", std::string(nameOf(configuration.keyPolicy_))},
                {"unreadable-teams", std::to_string(configuration.unreadableTeams_)},
                {"remedy", "declare a list of teams, each with a name and a list of keys"}});
}

} // namespace

/// \param row version of the row that holds it; none if it came from a peer.
void Node::applyConfiguration(std::string_view text, RowVersion row)
{
    auto configuration = parts_.format_.configuration(text);
    // A text from a peer says nothing about the store's newest one.
    if (!row.isNone())
        isNewestUnreadable_ = !isOk(configuration);
    if (!isOk(configuration)) {
        log::error(event::configurationRefused, {{"row", std::to_string(row.value())},
                                                 {"problem", messageOf(errorOf(configuration))},
                                                 {"remedy", remedyOf(errorOf(configuration))}});
        reportReadability();
        return;
    }
    const auto version = valueOf(configuration).version_;
    const auto &routes = parts_.gateway_.routes();
    if (routes && version <= routes->version()) {
        reportReadability();
        return; // The version never decreases within a process.
    }
    log::info(event::configurationInForce,
              {{"version", std::to_string(version.value())},
               {"row", row.isNone() ? "from-peer" : std::to_string(row.value())},
               {"routes", std::to_string(valueOf(configuration).routes_.size())},
               {"teams", std::to_string(valueOf(configuration).teams_.size())},
               {"keys", std::string(nameOf(valueOf(configuration).keyPolicy_))}});
    logUnreadableTeams(valueOf(configuration));
    for (const auto &service : valueOf(configuration).services_) {
        if (service.engine_ && service.engine_->meanPromptTokens_ == 0)
            log::info(event::usualSizesUnknown, {{"service", service.name_.text()},
                                                 {"instead", "mean of the prompts seen here"}});
    }
    exchange_.setCurrent(version, std::string(text));
    parts_.gateway_.coldEndpoints().setServices(valueOf(configuration).services_);
    parts_.gateway_.setRoutes(std::make_shared<RouteTable>(valueOf(std::move(configuration))));
    reportReadability();
    updateLearning();
    if (configurationHandler_)
        configurationHandler_(parts_.gateway_.routes()->configuration());
}

void Node::reportReadability()
{
    const auto &routes = parts_.gateway_.routes();
    const bool areKeysReadable = !routes || routes->configuration().areKeysReadable();
    parts_.gateway_.setConfigurationReadable(areKeysReadable && !isNewestUnreadable_);
}

} // namespace cardamombay::serving
