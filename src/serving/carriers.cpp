#include <cardamombay/serving/carriers.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// As long as this part of the own zone can carry requests, none carries more than twice its own.
constexpr std::size_t zoneDivisor = 2;

/// Digests tell within this time whether the entry VM is still there and reaches endpoints.
constexpr Duration failurePause = std::chrono::seconds(1);

} // namespace

Carriers::Carriers(Clock &clock, Random random)
    : clock_(clock)
    , random_(random)
{
}

void Carriers::setPeers(AvailabilityZone ownZone, std::vector<Carrier> peers)
{
    ownZone_ = std::move(ownZone);
    peers_ = std::move(peers);
    ownZoneSize_ = 1
                   + static_cast<std::size_t>(
                       std::count_if(peers_.begin(), peers_.end(), [this](const Carrier &peer) {
                           return peer.zone_ == ownZone_;
                       }));
}

bool Carriers::isEligible(const Carrier &peer, std::span<const EntryId> tried) const
{
    if (partitioned_.contains(peer.entry_)
        || std::find(tried.begin(), tried.end(), peer.entry_) != tried.end())
        return false;
    const auto failed = failedAt_.find(peer.entry_);
    return failed == failedAt_.end() || clock_.now() - failed->second >= failurePause;
}

std::size_t Carriers::underWayAt(const Carrier &peer) const
{
    const auto found = underWay_.find(peer.entry_);
    return found == underWay_.end() ? 0 : found->second;
}

std::optional<Carrier> Carriers::choose(std::span<const EntryId> tried)
{
    std::vector<const Carrier *> all;
    std::vector<const Carrier *> near;
    for (const auto &peer : peers_) {
        if (!isEligible(peer, tried))
            continue;
        all.push_back(&peer);
        if (peer.zone_ == ownZone_)
            near.push_back(&peer);
    }
    const auto &choices = near.size() * zoneDivisor >= ownZoneSize_ ? near : all;
    if (choices.empty())
        return std::nullopt;
    const auto *one = choices[random_.below(choices.size())];
    const auto *other = choices[random_.below(choices.size())];
    return underWayAt(*other) < underWayAt(*one) ? *other : *one;
}

void Carriers::ended(const EntryId &entry)
{
    const auto found = underWay_.find(entry);
    if (found != underWay_.end() && --found->second == 0)
        underWay_.erase(found);
}

void Carriers::failed(const EntryId &entry)
{
    const auto now = clock_.now();
    std::erase_if(failedAt_, [now](const auto &one) { return now - one.second >= failurePause; });
    failedAt_[entry] = now;
}

} // namespace cardamombay::serving
