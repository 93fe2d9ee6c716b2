// Entries of endpoints: reads them, updates the endpoint book, relays changes to peers and logs
// them.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Maximum number of endpoints with unreadable entries to log; bounds the memory for them.
constexpr std::size_t maxUnreadableLogged = 1000;

/// Interval between summary lines on endpoints. A line per endpoint at each entry VM would make up
/// most of the log.
constexpr Duration endpointsLogInterval = std::chrono::seconds(1);

constexpr std::string_view heardFromStore = "store";
constexpr std::string_view heardFromListing = "listing";

} // namespace

/// A watch that lost its history lists the whole table. The differences are still added to the
/// history, so that readers of this entry VM's relay get just the changes; otherwise all entry VMs
/// would list all endpoints at the same moment.
void Node::endpointsListed(const std::vector<platform::Row> &rows)
{
    const auto now = parts_.clock_.now();
    const auto version = endpointWatch_.version();
    noteStoreAnswer(now);
    std::vector<Endpoint> endpoints;
    std::set<VmId> listed;
    if (!areEndpointsListed_ || version.timeline() != listedVersion_.timeline())
        history_.restart(version);
    for (const auto &row : rows) {
        auto endpoint = readEndpoint(row);
        if (!endpoint)
            continue;
        listed.insert(endpoint->id_);
        parts_.gateway_.coldEndpoints().listed(*endpoint);
        if (isSettling(now))
            mergeKnownState(*endpoint);
        if (row.version_ > listedVersion_)
            history_.add({endpoint->id_, row.version_, endpoint}, now);
        endpoints.push_back(*std::move(endpoint));
    }
    for (const auto &id : parts_.endpointRegistry_.ids()) {
        if (listed.contains(id))
            continue;
        const EndpointChange end{id, version, std::nullopt};
        logLeaving(end, heardFromListing);
        history_.add(end, now);
    }
    log::info(event::endpointListed, {{"count", std::to_string(endpoints.size())},
                                      {"version", std::to_string(version.value())},
                                      {"before", std::to_string(listedVersion_.value())}});
    parts_.endpointRegistry_.replaceAll(std::move(endpoints), now);
    listedVersion_ = version;
    areEndpointsListed_ = true;
    updateLearning();
}

/// A restored store lists endpoints in a state some seconds old. Known state of the same process
/// therefore takes precedence until the endpoints have written their entries again, except that an
/// endpoint that is draining in either remains draining: that flag is never older than the entry.
void Node::mergeKnownState(Endpoint &endpoint) const
{
    const auto *known = parts_.endpointRegistry_.find(endpoint.id_);
    if (known == nullptr || known->startedAt_ != endpoint.startedAt_)
        return;
    const bool isDraining = known->isDraining_ || endpoint.isDraining_;
    endpoint = *known;
    endpoint.isDraining_ = isDraining;
}

/// Planners and candidates log changes that affect where requests may go; only the planner logs the
/// steps in between, as it acts on them.
bool Node::shouldLog(const Endpoint *known, const Endpoint &now) const
{
    if (!rank_ && !parts_.lease_.isHeld())
        return false;
    if (known == nullptr || known->isDraining_ != now.isDraining_ || parts_.lease_.isHeld())
        return known == nullptr || *known != now;
    const auto isServing = [](const Endpoint &one) {
        return one.membership_ && one.membership_->isHead()
               && one.membership_->state_ == MemberState::Open;
    };
    return isServing(*known) != isServing(now);
}

void Node::applyEndpointRow(const platform::RowChange &change)
{
    const auto &row = change.row_;
    EndpointChange result{VmId(row.key_.key_), row.version_, std::nullopt};
    if (change.isRemoved_)
        unreadableEndpoints_.erase(result.id_);
    else
        result.endpoint_ = readEndpoint(row);
    endpointChanged(result, heardFromStore);
}

/// An unreadable entry, for example one that another writer has overwritten, is ignored until the
/// endpoint writes it again. Logged once per endpoint until it is readable again.
std::optional<Endpoint> Node::readEndpoint(const platform::Row &row)
{
    const VmId id(row.key_.key_);
    auto endpoint = parts_.format_.endpoint(id, row.value_);
    if (isOk(endpoint)) {
        unreadableEndpoints_.erase(id);
        return valueOf(std::move(endpoint));
    }
    if (unreadableEndpoints_.size() < maxUnreadableLogged && unreadableEndpoints_.insert(id).second)
        log::warning(event::endpointRefused, {{"endpoint", id.text()},
                                              {"version", std::to_string(row.version_.value())},
                                              {"problem", messageOf(errorOf(endpoint))}});
    return std::nullopt;
}

void Node::endpointRestarted(const Endpoint &before)
{
    if (rank_ || parts_.lease_.isHeld())
        log::info(event::endpointRestarted, {{"endpoint", before.id_.text()},
                                             {"born-before", std::to_string(before.startedAt_)}});
    parts_.gateway_.endpointRestarted(before.incarnation(), before.address_);
}

Duration Node::viewAge() const
{
    return parts_.clock_.now() - parts_.gateway_.endpointsConfirmedAt();
}

/// Each entry VM logs one line when it learns that an endpoint takes no new requests. `view-age-ms`
/// is the upper bound of the time since the store acknowledged the change.
void Node::logLeaving(const EndpointChange &change, std::string_view source) const
{
    const auto *known = parts_.endpointRegistry_.find(change.id_);
    const bool isLeaving = !change.endpoint_ || change.endpoint_->isDraining_;
    if (known == nullptr || known->isDraining_ || !isLeaving)
        return;
    log::info(event::endpointLeaving, {{"endpoint", change.id_.text()},
                                       {"how", change.endpoint_ ? "draining" : "gone"},
                                       {"heard-from", std::string(source)},
                                       {"version", std::to_string(change.version_.value())},
                                       {"view-age-ms", std::to_string(toMilliseconds(viewAge()))}});
}

/// \param source where the change was learned from, for the log.
void Node::endpointChanged(const EndpointChange &change, std::string_view source)
{
    const auto now = parts_.clock_.now();
    logLeaving(change, source);
    // Some entry VM has just received this change from the store.
    noteStoreAnswer(now);
    history_.add(change, now);
    listedVersion_ = std::max(listedVersion_, change.version_);
    const auto version = std::to_string(change.version_.value());
    if (!change.endpoint_) {
        ++removedCount_;
        if (rank_ || parts_.lease_.isHeld())
            log::info(event::endpointGone, {{"endpoint", change.id_.text()}, {"version", version}});
        parts_.endpointRegistry_.remove(change.id_, now);
        return;
    }
    const auto &endpoint = *change.endpoint_;
    ++entryCount_;
    parts_.gateway_.coldEndpoints().listed(endpoint);
    if (shouldLog(parts_.endpointRegistry_.find(change.id_), endpoint)) {
        const auto &membership = endpoint.membership_;
        log::info(event::endpointListed,
                  {{"endpoint", change.id_.text()},
                   {"domain", endpoint.domain_.text()},
                   {"draining", endpoint.isDraining_ ? "yes" : "no"},
                   {"staged", endpoint.staged_.empty() ? "" : endpoint.staged_.front().text()},
                   {"group", membership ? membership->group_.text() : ""},
                   {"rank", membership ? std::to_string(membership->rank_) : ""},
                   {"state", membership ? std::string(nameOf(membership->state_)) : ""},
                   {"version", version}});
    }
    parts_.endpointRegistry_.put(endpoint);
}

void Node::logEndpoints(TimePoint now)
{
    if (now - endpointsLoggedAt_ < endpointsLogInterval || entryCount_ + removedCount_ == 0)
        return;
    endpointsLoggedAt_ = now;
    log::info(event::endpointsChanged,
              {{"entries", std::to_string(std::exchange(entryCount_, 0))},
               {"gone", std::to_string(std::exchange(removedCount_, 0))},
               {"version", std::to_string(endpointWatch_.version().value())},
               {"view-age-ms", std::to_string(toMilliseconds(viewAge()))}});
}

} // namespace cardamombay::serving
