// Retries: what this entry VM may spend of the fleet's budget, and what peers have spent of theirs.
#include <cardamombay/serving/node.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>

namespace cardamombay::serving {

namespace {

/// Interval at which the known peers are counted.
constexpr Duration fleetSizePeriod = std::chrono::seconds(1);

/// A process that has just started may know few others.
constexpr Duration fleetDiscoveryTime = std::chrono::seconds(1);

/// An entry VM that peers have known for less is new to the fleet.
constexpr Duration newcomerTime = std::chrono::seconds(3);

/// Retries after which peers are told at once, as a process that ends leaves no other record.
constexpr std::size_t maxUnreportedRetries = 5;

constexpr Duration quotaReportInterval = 2 * digestPeriod;

/// Peers asked at a time; the first ones of the zone are its reporters in a large fleet.
constexpr std::size_t maxAskedPeers = 16;

std::string_view nameOf(QuotaRecovery::State state)
{
    switch (state) {
    case QuotaRecovery::State::Asking:
        return "asking";
    case QuotaRecovery::State::Newcomer:
        return "newcomer";
    case QuotaRecovery::State::Inherited:
        return "inherited";
    case QuotaRecovery::State::Expired:
        break;
    }
    return "expired";
}

} // namespace

std::map<ServiceName, RetryCounts> Node::peerRetries() const
{
    std::map<ServiceName, RetryCounts> result;
    const auto add = [&result](const std::map<ServiceName, RetryCounts> &counts) {
        for (const auto &[service, one] : counts) {
            result[service].requests_ += one.requests_;
            result[service].retries_ += one.retries_;
        }
    };
    for (const auto &[entry, sum] : sums_)
        add(sum.retries_);
    if (reporter_)
        return result; // The reporter's sums cover all peers.
    for (const auto &[entry, peer] : peers_)
        add(peer.retries_);
    return result;
}

TimePoint Node::oldestPeerRetries(TimePoint now) const
{
    auto result = now;
    for (const auto &[entry, sum] : sums_)
        result = std::min(result, sum.at_);
    for (const auto &[entry, peer] : peers_) {
        if (!peer.retries_.empty())
            result = std::min(result, peer.overloadAt_);
    }
    return result;
}

void Node::peerLeft(const EntryId &entry, TimePoint now)
{
    fleetSize_.left(entry, parts_.gateway_.retries().reserveDelay(), now);
    if (peers_.erase(entry) > 0)
        markPeersChanged();
}

/// The reserve is divided among all entry VMs that may use a part of it. One that is new to the
/// fleet waits until nothing counts any more that the others spent before they knew of it.
void Node::updateReservePart(TimePoint now)
{
    const bool isSettled = now - startedAt_ >= fleetDiscoveryTime;
    if (!isSettled || now - fleetSizeAt_ >= fleetSizePeriod) {
        fleetSizeAt_ = now;
        for (const auto &[entry, peer] : peers_)
            fleetSize_.present(entry, now);
        fleetSize_.expire(now);
        quotaHistory_.expire(now);
    }
    parts_.gateway_.retries().setReservePart(isSettled && peerWatch_.isListed() ? ownReservePart()
                                                                                : 0);
}

/// Entry VMs that left before this process started may be unknown to it, and what they have used
/// still counts; so the part of the previous process is an upper bound as long as that matters.
double Node::ownReservePart() const
{
    const auto part = 1 / static_cast<double>(fleetSize_.count());
    switch (quotaRecovery_.state()) {
    case QuotaRecovery::State::Asking:
        return 0;
    case QuotaRecovery::State::Newcomer:
        return settings_.isFirstStart_ ? part : 0;
    case QuotaRecovery::State::Inherited:
        return std::min(part, inheritedReservePart_);
    case QuotaRecovery::State::Expired:
        break;
    }
    return part;
}

/// Until a peer has told what the previous process had spent, this one only spends what it receives
/// from peers.
void Node::recoverQuota(TimePoint now)
{
    auto &retries = parts_.gateway_.retries();
    const auto before = quotaRecovery_.state();
    const auto answer = quotaRecovery_.decide(retries.reserveDelay(), now);
    if (answer) {
        retries.inherit(answer->report_, answer->age_);
        inheritedReservePart_ = answer->report_.reservePart_;
    }
    if (quotaRecovery_.state() != before)
        log::info(event::quotaRecovered,
                  {{"state", std::string(nameOf(quotaRecovery_.state()))},
                   {"after-ms", std::to_string(toMilliseconds(now - startedAt_))},
                   {"from", answer ? answer->from_.text() : ""},
                   {"age-ms", answer ? std::to_string(toMilliseconds(answer->age_)) : ""},
                   {"reserve-part", std::to_string(inheritedReservePart_)}});
    retries.setBlocked(quotaRecovery_.state() == QuotaRecovery::State::Asking);
    if (!peers_.empty() && quotaRecovery_.isQuestionDue(now))
        askForQuotaReport();
}

void Node::askForQuotaReport()
{
    auto asked = reporters_.likely(maxAskedPeers);
    for (auto peer = peers_.begin(); peer != peers_.end() && asked.size() < maxAskedPeers; ++peer) {
        if (std::find(asked.begin(), asked.end(), peer->first) == asked.end())
            asked.push_back(peer->first);
    }
    const auto text
        = encode(QuotaReportRequest{settings_.entry_, settings_.digests_, settings_.incarnation_});
    for (const auto &entry : asked) {
        if (const auto found = peers_.find(entry); found != peers_.end())
            parts_.datagrams_.send(found->second.address_, text);
    }
}

/// An entry VM that was known to this one, but has reported nothing lately, may have spent quota
/// elsewhere; no answer leaves it waiting.
void Node::onQuotaReportRequest(const QuotaReportRequest &request)
{
    const auto now = parts_.clock_.now();
    auto answer = quotaHistory_.before(request.from_, request.since_, now);
    const bool isNewcomer = !fleetSize_.isKnownSince(request.from_, now - newcomerTime);
    const bool knowsAll
        = peerWatch_.isListed() && now - startedAt_ >= parts_.gateway_.retries().reserveDelay();
    if (!answer && isNewcomer && knowsAll)
        answer = QuotaReportAnswer{{}, request.since_, true, {}, {}};
    if (!answer)
        return;
    answer->from_ = settings_.entry_;
    parts_.datagrams_.send(request.address_, encode(*answer));
}

void Node::onQuotaReportAnswer(const QuotaReportAnswer &answer)
{
    if (answer.since_ == settings_.incarnation_)
        quotaRecovery_.answered(answer, parts_.clock_.now());
}

bool Node::hasUnreportedRetries() const
{
    return parts_.gateway_.retries().unreported() >= maxUnreportedRetries;
}

/// The reports cost bytes, so only some digests have one.
std::optional<QuotaReport> Node::dueQuotaReport(TimePoint now)
{
    if (now - quotaReportedAt_ < quotaReportInterval && !hasUnreportedRetries() && !isLeaving_)
        return std::nullopt;
    quotaReportedAt_ = now;
    return parts_.gateway_.retries().report();
}

} // namespace cardamombay::serving
