#include <cardamombay/serving/load_tracker.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Initial backoff after a failure, about as long as a short disturbance of an engine; doubles with
/// each failure.
constexpr Duration initialBackoff = std::chrono::milliseconds(500);
/// 4 s, after which a stalled group is marked broken.
constexpr std::size_t maxBackoffDoublings = 3;

/// A single lost answer is weak evidence; two broken attempts in a row are not.
constexpr std::size_t breaksBeforeAvoidance = 2;
/// Entry VMs that must avoid an endpoint for others to avoid it too: a single one may just be cut
/// off from it.
constexpr std::size_t minFailingReports = 2;
/// An endpoint is reported as failing until a retry is answered, but no longer than this after the
/// last broken attempt. An end with the avoidance would let all others lose requests before the
/// retry: with 7 entry VMs up to 26 requests were reset within 6 s, now 15. The longest avoidance
/// fits into this time; with two digests it remains below 5 s.
constexpr Duration failingReportTime = std::chrono::milliseconds(4500);

/// Reports of a peer are dropped after several of its digests are missed.
constexpr Duration peerReportLifetime = std::chrono::milliseconds(1500);

/// Error rate above which an endpoint is avoided.
constexpr double errorRateThreshold = 0.38;
constexpr double successWeight = 0.15;
/// Share of a failure that a success offsets.
constexpr double failureDecayPerSuccess = 0.34;

/// Counts are repeated in several digests to tolerate the loss of one.
constexpr Duration reportWindow = std::chrono::milliseconds(1200);

/// A crashed endpoint stays listed until three of its heartbeats are missed. If it stayed in use,
/// each entry VM would only learn of the crash from refused connections: 465 sends within 30 s of a
/// day with 28 crashes, each using up one of a request's four attempts. Excluding crashed endpoints
/// raised the share of complete answers from 0.311 to 0.379 while a seventh of the groups crashed
/// every 1.5 s (20 seeds, simulated clock).
constexpr Duration crashRetention = std::chrono::seconds(5);

constexpr Duration idleRetention = std::chrono::seconds(30);

/// \param failures number of preceding failures.
Duration backoffAfter(std::size_t failures)
{
    return initialBackoff * (1U << std::min(failures, maxBackoffDoublings));
}

} // namespace

LoadTracker::SendNumber LoadTracker::started(const VmId &endpoint, std::size_t promptTokens,
                                             TimePoint now)
{
    auto &entry = entries_[endpoint];
    if (entry.failures_ >= 1)
        entry.isOnTrial_ = true;
    ++entry.ownRequests_;
    entry.sent_ += promptTokens;
    entry.sentAt_ = now;
    addPendingTokens(entry, static_cast<double>(promptTokens), now);
    ++sends_;
    if (entry.breaks_ >= breaksBeforeAvoidance && entry.retry_ == 0)
        entry.retry_ = sends_;
    return sends_;
}

void LoadTracker::progressed(const VmId &endpoint, TimePoint now)
{
    auto &entry = entries_[endpoint];
    entry.progressedAt_ = now;
    entry.isOnTrial_ = false;
    entry.isStalled_ = false;
    entry.avoidUntil_ = {};
    const auto crash = crashed_.find(endpoint);
    if (crash != crashed_.end() && crash->second.isReported_
        && now - crash->second.firstAt_ > lateDataPeriod)
        crash->second.isRefuted_ = true;
}

void LoadTracker::ended(const VmId &endpoint, SendNumber send)
{
    auto &entry = entries_[endpoint];
    if (entry.retry_ == send)
        entry.retry_ = 0;
    if (entry.ownRequests_ > 0)
        --entry.ownRequests_;
    entry.isOnTrial_ = entry.isOnTrial_ && entry.ownRequests_ > 0;
}

/// Requests in progress at the same time break together and count as one.
void LoadTracker::broke(const VmId &endpoint, SendNumber send, TimePoint now)
{
    auto &entry = entries_[endpoint];
    if (send <= entry.brokenAfter_)
        return;
    entry.brokenAfter_ = sends_;
    entry.brokeAt_ = now;
    entry.retry_ = 0;
    ++entry.breaks_;
    if (entry.breaks_ >= breaksBeforeAvoidance)
        entry.brokenUntil_ = now + backoffAfter(entry.breaks_ - breaksBeforeAvoidance);
}

/// Older streams may go on while the endpoint resets every new request.
void LoadTracker::answered(const VmId &endpoint, SendNumber send)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end() || send <= found->second.brokenAfter_)
        return;
    found->second.breaks_ = 0;
    found->second.brokenUntil_ = {};
    found->second.retry_ = 0;
}

void LoadTracker::succeeded(const VmId &endpoint)
{
    auto &entry = entries_[endpoint];
    entry.failures_ = std::max(0.0, entry.failures_ - failureDecayPerSuccess);
    entry.errorRate_ *= 1 - successWeight;
}

void LoadTracker::erred(const VmId &endpoint, double weight, TimePoint now)
{
    auto &rate = entries_[endpoint].errorRate_;
    rate += (1 - rate) * weight;
    if (rate > errorRateThreshold)
        failed(endpoint, now);
}

void LoadTracker::failed(const VmId &endpoint, TimePoint now)
{
    auto &entry = entries_[endpoint];
    // Requests in progress at the same time fail together and count as one failure.
    if (now < entry.avoidUntil_)
        return;
    entry.avoidUntil_ = now + backoffAfter(static_cast<std::size_t>(entry.failures_));
    entry.failures_ += 1;
}

void LoadTracker::stalled(const VmId &endpoint, TimePoint now)
{
    failed(endpoint, now);
    entries_[endpoint].isStalled_ = true;
}

void LoadTracker::exonerate(const VmId &endpoint)
{
    crashed_.erase(endpoint);
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    entry.failures_ = 0;
    entry.avoidUntil_ = {};
    entry.isOnTrial_ = false;
    entry.isStalled_ = false;
    entry.breaks_ = 0;
    entry.brokenAfter_ = sends_;
    entry.brokenUntil_ = {};
    entry.retry_ = 0;
}

void LoadTracker::restarted(const VmId &endpoint, TimePoint now)
{
    restartedAt_[endpoint] = now;
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return;
    // Requests in progress still end one by one, and peers already know the sent tokens.
    Entry fresh;
    fresh.ownRequests_ = found->second.ownRequests_;
    fresh.sent_ = found->second.sent_;
    fresh.sentAt_ = found->second.sentAt_;
    fresh.brokenAfter_ = sends_;
    found->second = fresh;
}

/// Few requests of each entry VM reach a certain group, so that no retry might clear the failures
/// for as long as they are reported to peers, while the engine already serves in a new group.
void LoadTracker::regrouped(const VmId &endpoint)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    entry.breaks_ = std::min(entry.breaks_, breaksBeforeAvoidance - 1);
    entry.brokenAfter_ = sends_;
    entry.brokenUntil_ = {};
    entry.retry_ = 0;
}

/// First subtracts the tokens processed since the last update.
void LoadTracker::addPendingTokens(Entry &entry, double tokens, TimePoint now)
{
    const double read = toSeconds(now - entry.pendingAsOf_) * entry.prefillTokensPerSecond_;
    entry.pendingTokens_ = std::max(0.0, entry.pendingTokens_ - read) + tokens;
    entry.pendingAsOf_ = now;
}

void LoadTracker::setPeerLoad(const std::string &peer, PeerLoad load)
{
    auto &known = peers_[peer];
    for (const auto &[endpoint, tokens] : load.sent_) {
        const auto before = known.sent_.find(endpoint);
        // The first report of a new or restarted peer does not say which tokens are still pending.
        const bool isComparable = before != known.sent_.end() && before->second <= tokens;
        if (isComparable && tokens > before->second)
            addPendingTokens(entries_[endpoint], static_cast<double>(tokens - before->second),
                             load.at_);
    }
    for (const auto &endpoint : load.inquired_)
        inquire(endpoint, load.at_);
    refuteCrashes(load.witnessed_);
    // Counts that have not changed recently are not reported again.
    load.sent_.merge(known.sent_);
    known = std::move(load);
}

void LoadTracker::expire(TimePoint now)
{
    std::erase_if(peers_,
                  [now](const auto &one) { return now - one.second.at_ > peerReportLifetime; });
    std::erase_if(crashed_,
                  [now](const auto &one) { return now - one.second.at_ > crashRetention; });
    std::erase_if(restartedAt_,
                  [now](const auto &one) { return now - one.second > crashRetention; });
    std::erase_if(inquiries_,
                  [now](const auto &one) { return now - one.second.repeatedAt_ > maxReportAge; });
    std::erase_if(entries_, [now](const auto &one) {
        const auto &entry = one.second;
        const bool hasBroken = entry.breaks_ > 0 && now - entry.brokeAt_ <= idleRetention;
        return entry.ownRequests_ == 0 && now > entry.avoidUntil_ && !hasBroken
               && now - entry.progressedAt_ > idleRetention;
    });
}

std::size_t LoadTracker::ownRequests(const VmId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? 0 : found->second.ownRequests_;
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
    found->second.prefillTokensPerSecond_ = tokensPerSecond;
    addPendingTokens(found->second, 0, now);
    return found->second.pendingTokens_;
}

std::unordered_map<VmId, std::size_t> LoadTracker::ownSentTokens(TimePoint now) const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.sent_ > 0 && now - entry.sentAt_ < reportWindow)
            result.emplace(id, entry.sent_);
    }
    return result;
}

std::vector<VmId> LoadTracker::locallyStalled() const
{
    std::vector<VmId> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.isStalled_)
            result.push_back(id);
    }
    return result;
}

/// To entry VMs cut off from an endpoint it looks stalled. Without this check, when 30 of 100 entry
/// VMs could not reach 130 engines, their groups were abandoned although they still served all
/// other entry VMs.
std::vector<VmId> LoadTracker::stalledEverywhere(TimePoint now) const
{
    auto result = locallyStalled();
    for (const auto &[name, peer] : peers_)
        result.insert(result.end(), peer.silent_.begin(), peer.silent_.end());
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    std::erase_if(result, [&](const VmId &endpoint) { return isActiveAnywhere(endpoint, now); });
    return result;
}

bool LoadTracker::isActiveAnywhere(const VmId &endpoint, TimePoint now) const
{
    const auto local = entries_.find(endpoint);
    if (local != entries_.end() && now - local->second.progressedAt_ < activityWindow)
        return true;
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto &one) {
        return now - one.second.at_ < maxReportAge && one.second.heard_.contains(endpoint);
    });
}

std::unordered_map<VmId, std::size_t> LoadTracker::locallyActive(TimePoint now) const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.ownRequests_ > 0 && now - entry.progressedAt_ < activityWindow)
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

/// An entry VM with broken attempts of its own does not wait for the others, so that entry VMs that
/// avoid an endpoint do not keep each other from retrying it.
bool LoadTracker::isBreaking(const VmId &endpoint, TimePoint now) const
{
    const auto found = entries_.find(endpoint);
    if (found != entries_.end() && found->second.breaks_ >= breaksBeforeAvoidance)
        return now < found->second.brokenUntil_ || found->second.retry_ != 0;
    return failingElsewhere(endpoint, now) >= minFailingReports;
}

std::unordered_map<VmId, std::size_t> LoadTracker::locallyFailing(TimePoint now) const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.breaks_ >= breaksBeforeAvoidance && now < entry.brokeAt_ + failingReportTime)
            result.emplace(id, 1);
    }
    return result;
}

std::size_t LoadTracker::failingElsewhere(const VmId &endpoint, TimePoint now) const
{
    std::size_t result = 0;
    for (const auto &[name, peer] : peers_) {
        const auto found = peer.failing_.find(endpoint);
        // A sum cannot contain more reports than entry VMs.
        if (found != peer.failing_.end() && now - peer.at_ < maxReportAge)
            result += std::min(found->second, peer.entries_);
    }
    return result;
}

std::map<VmId, LoadTracker::Breaking> LoadTracker::breakingEndpoints(TimePoint now) const
{
    std::map<VmId, Breaking> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.breaks_ > 0)
            result[id] = {entry.breaks_ >= breaksBeforeAvoidance, entry.breaks_, 0, {}};
    }
    for (const auto &[name, peer] : peers_) {
        if (now - peer.at_ >= maxReportAge)
            continue;
        for (const auto &[id, count] : peer.failing_)
            result[id].toldBy_.push_back(name);
    }
    for (auto &[id, one] : result)
        one.reports_ = failingElsewhere(id, now);
    std::erase_if(result, [](const auto &one) {
        return !one.second.isOwn_ && one.second.reports_ < minFailingReports;
    });
    return result;
}

TimePoint LoadTracker::lastProgressAt(const VmId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? TimePoint{} : found->second.progressedAt_;
}

std::unordered_map<VmId, std::size_t> LoadTracker::ownRequestCounts() const
{
    std::unordered_map<VmId, std::size_t> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.ownRequests_ > 0)
            result.emplace(id, entry.ownRequests_);
    }
    return result;
}

} // namespace cardamombay::serving
