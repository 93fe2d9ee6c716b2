// Overload part of Node: what digests tell about the work that callers offer, and about endpoints
// that break new requests.
#include <cardamombay/serving/node.hpp>

#include <cardamombay/log/log.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Work offered at a peer that sent nothing for this time is left out: its callers have moved to
/// other entry VMs by then.
constexpr Duration overloadFiguresLifetime = std::chrono::seconds(1);

constexpr std::uint64_t digestsPerTeams = 5;

} // namespace

/// Teams change slowly and are most of the bytes, so they are named in every fifth digest only.
bool Node::namesTeams() const
{
    return digestsSent_ % digestsPerTeams == 0;
}

/// Work offered at the other entry VMs, as told lately by digests or sums.
Node::OverloadFigures Node::peerOverload(TimePoint now) const
{
    OverloadFigures result;
    const auto add = [&](const overload::FleetDemand &demand, TimePoint at) {
        if (now - at > overloadFiguresLifetime)
            return;
        for (const auto &[model, one] : demand)
            result.demand_[model] += one;
        result.at_ = std::max(result.at_.value_or(at), at);
    };
    for (const auto &[entry, peer] : peers_)
        add(peer.overload_, peer.overloadAt_);
    for (const auto &[entry, sum] : sums_)
        add(sum.overload_, sum.at_);
    return result;
}

void Node::updateOverload(TimePoint now, Duration passed)
{
    auto &overload = parts_.gateway_.overload();
    overload.advance(passed);
    auto others = peerOverload(now);
    overload.update(parts_.gateway_.overloadDemand(true), others.demand_, others.at_,
                    peers_.size() + 1);
}

void Node::logAvoidedEndpoints(TimePoint now)
{
    const auto isListed
        = [this](const VmId &id) { return parts_.endpointRegistry_.find(id) != nullptr; };
    const auto lines
        = avoidanceLog_.update(parts_.loadTracker_.breakingEndpoints(now), isListed, now);
    for (const auto &line : lines)
        log::write(log::Level::Info, line.event_, line.details_);
    parts_.gateway_.parts().metrics_.avoidedEndpoints_.set(
        static_cast<double>(avoidanceLog_.size()));
}

/// \param reports number of endpoints with a count that the sender cannot know of.
void Node::logIgnoredReports(const EntryId &from, std::size_t reports)
{
    if (const auto line = avoidanceLog_.ignored(from, reports))
        log::write(log::Level::Warning, line->event_, line->details_);
}

} // namespace cardamombay::serving
