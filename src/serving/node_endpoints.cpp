// What the endpoints list of themselves: read, told to the book and to peers, logged.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Entries that another writer has spoiled and that are told of; bounds the memory for them.
constexpr std::size_t mostRefused = 1000;

/// Between two lines on the endpoints at entry VMs that do not plan; a line for each endpoint at
/// each entry VM would be most of all lines.
constexpr Duration endpointsLogPeriod = std::chrono::seconds(1);

constexpr std::string_view heardFromStore = "store";
constexpr std::string_view heardFromListing = "listing";

} // namespace

/// A watch whose history was lost lists anew. Readers of this entry VM's news are told what has
/// changed since all the same; otherwise all entry VMs list all endpoints at the same moment.
void Node::endpointsListed(const std::vector<platform::Row> &rows)
{
    const auto now = parts_.clock_.now();
    const auto version = endpointWatch_.version();
    storeAnswered(now);
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
            keepWhatIsNewer(*endpoint);
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
    noteLearning();
}

/// A restored store lists endpoints as they were some seconds ago, so what is known here of the
/// same life stands until they have written their entries again. A leaving is never older than its
/// entry.
void Node::keepWhatIsNewer(Endpoint &endpoint) const
{
    const auto *known = parts_.endpointRegistry_.find(endpoint.id_);
    if (known == nullptr || known->startedAt_ != endpoint.startedAt_)
        return;
    const bool isDraining = known->isDraining_ || endpoint.isDraining_;
    endpoint = *known;
    endpoint.isDraining_ = isDraining;
}

/// What changes where requests may go, at the entry VMs that plan or may; the steps on the way only
/// at the planner, which acts on them.
bool Node::isWorthLogging(const Endpoint *known, const Endpoint &now) const
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

void Node::takeEndpoint(const platform::RowChange &change)
{
    const auto &row = change.row_;
    EndpointChange result{VmId(row.key_.key_), row.version_, std::nullopt};
    if (change.isRemoved_)
        refused_.erase(result.id_);
    else
        result.endpoint_ = readEndpoint(row);
    endpointChanged(result, heardFromStore);
}

/// An entry that another writer has spoiled names nothing to use, until the endpoint writes it
/// anew. It is logged once, however often it is written.
std::optional<Endpoint> Node::readEndpoint(const platform::Row &row)
{
    const VmId id(row.key_.key_);
    auto endpoint = parts_.format_.endpoint(id, row.value_);
    if (isOk(endpoint)) {
        refused_.erase(id);
        return valueOf(std::move(endpoint));
    }
    if (refused_.size() < mostRefused && refused_.insert(id).second)
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

/// One line at each entry VM when it learns that an endpoint gets nothing new any more. The store
/// had acknowledged that `view-age-ms` before, at the most.
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

/// \param source where the news comes from, for the log.
void Node::endpointChanged(const EndpointChange &change, std::string_view source)
{
    const auto now = parts_.clock_.now();
    logLeaving(change, source);
    // Some entry VM has it from the store just now.
    storeAnswered(now);
    history_.add(change, now);
    listedVersion_ = std::max(listedVersion_, change.version_);
    const auto version = std::to_string(change.version_.value());
    if (!change.endpoint_) {
        ++goneCount_;
        if (rank_ || parts_.lease_.isHeld())
            log::info(event::endpointGone, {{"endpoint", change.id_.text()}, {"version", version}});
        parts_.endpointRegistry_.remove(change.id_, now);
        return;
    }
    const auto &endpoint = *change.endpoint_;
    ++listedCount_;
    parts_.gateway_.coldEndpoints().listed(endpoint);
    if (isWorthLogging(parts_.endpointRegistry_.find(change.id_), endpoint)) {
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
    if (now - endpointsLoggedAt_ < endpointsLogPeriod || listedCount_ + goneCount_ == 0)
        return;
    endpointsLoggedAt_ = now;
    log::info(event::endpointsChanged,
              {{"entries", std::to_string(std::exchange(listedCount_, 0))},
               {"gone", std::to_string(std::exchange(goneCount_, 0))},
               {"version", std::to_string(endpointWatch_.version().value())},
               {"view-age-ms", std::to_string(toMilliseconds(viewAge()))}});
}

} // namespace cardamombay::serving
