#include <cardamombay/serving/load_tracker.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// First pause of a failing endpoint; about how long an engine's short trouble lasts. Doubles.
constexpr Duration firstPause = std::chrono::milliseconds(500);
constexpr std::size_t mostDoublings = 3; ///< 4 s, the time after which a stalled group breaks.

/// Counts of a peer that is not heard of are dropped after several of its digests are missed.
constexpr Duration peerLifetime = std::chrono::milliseconds(1500);

/// Rate of failures above which an endpoint is avoided.
constexpr double mostErrors = 0.38;
constexpr double successWeight = 0.15;
/// Part of a failure that a success makes up for.
constexpr double successShare = 0.34;

/// A count stays in several digests, so that one that is lost does no harm.
constexpr Duration toldFor = std::chrono::milliseconds(1200);

/// A group that works sends something to its streams within one pass; 200 ms are a long one. A lost
/// engine is found as much later where several entry VMs have streams there.
constexpr Duration heardWithin = std::chrono::milliseconds(250);
/// Digests come every 100 ms, sums a little later; older ones do not show that an endpoint works.
constexpr Duration freshNews = std::chrono::milliseconds(400);

/// An endpoint that has ended is listed until three of its heartbeats are missed. Left in, each
/// entry VM finds out by refused connections: 465 sends in 30 s of a day with 28 ends, each one of
/// a request's four. Without them 0.379 in place of 0.311 of all requests were answered whole while
/// a seventh of the groups ended every 1.5 s (20 seeds on the paused clock).
constexpr Duration crashKnownFor = std::chrono::seconds(5);

constexpr Duration memoryOfIdle = std::chrono::seconds(30);

} // namespace

void LoadTracker::started(const VmId &endpoint, std::size_t promptTokens, TimePoint now)
{
    auto &entry = entries_[endpoint];
    if (entry.failures_ >= 1)
        entry.isOnTrial_ = true;
    ++entry.own_;
    entry.sent_ += promptTokens;
    entry.sentAt_ = now;
    addUnread(entry, static_cast<double>(promptTokens), now);
}

void LoadTracker::progressed(const VmId &endpoint, TimePoint now)
{
    auto &entry = entries_[endpoint];
    entry.heardAt_ = now;
    entry.isOnTrial_ = false;
    entry.isSilent_ = false;
    entry.avoidUntil_ = {};
}

void LoadTracker::ended(const VmId &endpoint)
{
    auto &entry = entries_[endpoint];
    if (entry.own_ > 0)
        --entry.own_;
    entry.isOnTrial_ = entry.isOnTrial_ && entry.own_ > 0;
}

void LoadTracker::succeeded(const VmId &endpoint)
{
    auto &entry = entries_[endpoint];
    entry.failures_ = std::max(0.0, entry.failures_ - successShare);
    entry.errorRate_ *= 1 - successWeight;
}

void LoadTracker::erred(const VmId &endpoint, double weight, TimePoint now)
{
    auto &rate = entries_[endpoint].errorRate_;
    rate += (1 - rate) * weight;
    if (rate > mostErrors)
        failed(endpoint, now);
}

void LoadTracker::failed(const VmId &endpoint, TimePoint now)
{
    auto &entry = entries_[endpoint];
    // Requests that were there together fail together; that is one failure.
    if (now < entry.avoidUntil_)
        return;
    entry.avoidUntil_
        = now
          + firstPause * (1U << std::min(static_cast<std::size_t>(entry.failures_), mostDoublings));
    entry.failures_ += 1;
}

void LoadTracker::stalled(const VmId &endpoint, TimePoint now)
{
    failed(endpoint, now);
    entries_[endpoint].isSilent_ = true;
}

void LoadTracker::crashed(const EndpointIncarnation &endpoint, TimePoint now)
{
    crashed_.insert_or_assign(endpoint.id_, Crash{endpoint.startedAt_, now});
}

bool LoadTracker::hasCrashed(const VmId &endpoint, std::uint64_t bornAt) const
{
    const auto found = crashed_.find(endpoint);
    return found != crashed_.end() && found->second.startedAt_ == bornAt;
}

void LoadTracker::restarted(const VmId &endpoint)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return;
    // Own requests there still end one by one, and peers have heard of the tokens.
    Entry fresh;
    fresh.own_ = found->second.own_;
    fresh.sent_ = found->second.sent_;
    fresh.sentAt_ = found->second.sentAt_;
    found->second = fresh;
}

/// What the endpoint has read since the last look is taken off first.
void LoadTracker::addUnread(Entry &entry, double tokens, TimePoint now)
{
    const double read = toSeconds(now - entry.unreadAt_) * entry.readRate_;
    entry.unread_ = std::max(0.0, entry.unread_ - read) + tokens;
    entry.unreadAt_ = now;
}

void LoadTracker::setPeerLoad(const std::string &peer, PeerLoad load)
{
    auto &known = peers_[peer];
    for (const auto &[endpoint, tokens] : load.sent_) {
        const auto before = known.sent_.find(endpoint);
        // A peer that is new here, or has started anew, tells nothing of what is unread now.
        const bool isComparable = before != known.sent_.end() && before->second <= tokens;
        if (isComparable && tokens > before->second)
            addUnread(entries_[endpoint], static_cast<double>(tokens - before->second), load.at_);
    }
    // Counts that did not change lately are not told again.
    load.sent_.merge(known.sent_);
    known = std::move(load);
}

void LoadTracker::expire(TimePoint now)
{
    std::erase_if(peers_, [now](const auto &one) { return now - one.second.at_ > peerLifetime; });
    std::erase_if(crashed_,
                  [now](const auto &one) { return now - one.second.at_ > crashKnownFor; });
    std::erase_if(entries_, [now](const auto &one) {
        const auto &entry = one.second;
        return entry.own_ == 0 && now > entry.avoidUntil_ && now - entry.heardAt_ > memoryOfIdle;
    });
}

std::size_t LoadTracker::ownRequests(const VmId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? 0 : found->second.own_;
}

std::size_t LoadTracker::totalRequests(const VmId &endpoint) const
{
    std::size_t result = ownRequests(endpoint);
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.counts_.find(endpoint);
        if (found != peer.counts_.end())
            result += found->second;
    }
    return result;
}

std::size_t LoadTracker::peerCount() const
{
    std::size_t result = 0;
    for (const auto &[name, peer] : peers_)
        result += peer.entries_;
    return result;
}

double LoadTracker::pendingPromptTokens(const VmId &endpoint, double tokensPerSecond,
                                        TimePoint now) const
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return 0;
    found->second.readRate_ = tokensPerSecond;
    addUnread(found->second, 0, now);
    return found->second.unread_;
}

std::unordered_map<VmId, std::size_t> LoadTracker::ownSentTokens(TimePoint now) const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.sent_ > 0 && now - entry.sentAt_ < toldFor)
            result.emplace(id, entry.sent_);
    }
    return result;
}

std::vector<VmId> LoadTracker::locallyStalled() const
{
    std::vector<VmId> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.isSilent_)
            result.push_back(id);
    }
    return result;
}

/// A cut between some entry VMs and an endpoint looks there as if it stood still. Of 130 engines
/// that 30 in 100 entry VMs could not reach, the groups were given up though they served all
/// others.
std::vector<VmId> LoadTracker::stalledEverywhere(TimePoint now) const
{
    auto result = locallyStalled();
    for (const auto &[name, peer] : peers_)
        result.insert(result.end(), peer.silent_.begin(), peer.silent_.end());
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    std::erase_if(result, [&](const VmId &endpoint) { return isHeard(endpoint, now); });
    return result;
}

bool LoadTracker::isHeard(const VmId &endpoint, TimePoint now) const
{
    const auto local = entries_.find(endpoint);
    if (local != entries_.end() && now - local->second.heardAt_ < heardWithin)
        return true;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto &one) {
        return now - one.second.at_ < freshNews && one.second.heard_.contains(endpoint);
    });
}

std::unordered_map<VmId, std::size_t> LoadTracker::locallyActive(TimePoint now) const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.own_ > 0 && now - entry.heardAt_ < heardWithin)
            result.emplace(id, 1);
    }
    return result;
}

bool LoadTracker::isUsable(const VmId &endpoint, TimePoint now) const
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return true;
    return now >= found->second.avoidUntil_ && !found->second.isOnTrial_;
}

TimePoint LoadTracker::lastProgressAt(const VmId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? TimePoint{} : found->second.heardAt_;
}

std::unordered_map<VmId, std::size_t> LoadTracker::ownRequestCounts() const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.own_ > 0)
            result.emplace(id, entry.own_);
    }
    return result;
}

} // namespace cardamombay::serving
