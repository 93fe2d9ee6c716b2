#include <cardamombay/serving/return_coordinator.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/core/hash.hpp>
#include <cardamombay/log/log.hpp>

#include <utility>

namespace cardamombay::serving {

namespace {

/// Claims in progress; each ends within maxClaimWait, so that more of them are a fault of the
/// caller.
constexpr std::size_t maxClaims = 4096;
/// Sweeps are 20 ms apart. A process that has not swept for longer was suspended; the times in
/// messages that waited for it are relative to an unknown instant.
constexpr Duration maxSweepGap = std::chrono::milliseconds(100);
/// Time in which a resumed process reads the messages that waited for it.
constexpr Duration drainTime = std::chrono::milliseconds(100);
/// A sender can forge any number of different messages; only so many are logged in each period.
constexpr std::size_t maxIgnoredLogged = 64;
constexpr Duration ignoredPeriod = std::chrono::minutes(1);
/// Bytes of an ignored message that are logged.
constexpr std::size_t maxLoggedBytes = 160;

std::string textOf(std::uint64_t request)
{
    return RequestFingerprint(request).text();
}

} // namespace

ReturnCoordinator::ReturnCoordinator(Clock &clock, GatewayMetrics &metrics, Random random)
    : clock_(clock)
    , metrics_(metrics)
    , firstId_(random.below(std::uint64_t{1} << 32U))
    , lastId_(firstId_)
    , lastSweepAt_(clock.now())
    , ignoredSince_(clock.now())
{
}

ReturnCoordinator::~ReturnCoordinator()
{
    for (const auto &[id, claim] : claims_)
        clock_.cancel(claim.timer_);
}

void ReturnCoordinator::setPeers(Peers peers)
{
    const auto before = std::exchange(peers_, std::move(peers));
    logLostOwners(before);
    dropVoidPromises();
}

void ReturnCoordinator::logLostOwners(const Peers &before) const
{
    if (issued_.empty() && register_.size() == 0)
        return;
    for (const auto &[entry, address] : before) {
        if (peers_.contains(entry))
            continue;
        const auto count
            = std::count_if(issued_.begin(), issued_.end(), [&entry = entry](const auto &one) {
                  return one.second.owner_ == entry;
              });
        log::info(event::returnOwnerLost,
                  {{"entry", entry.text()}, {"promises-from-here", std::to_string(count)}});
    }
}

/// Claims go to the owner by the peers known at that time, which has no promise of a previous
/// owner.
void ReturnCoordinator::dropVoidPromises()
{
    const auto now = clock_.now();
    std::erase_if(issued_, [this, now](const auto &one) {
        const auto &[until, issued] = one;
        const auto owner = ownerOf(issued.request_);
        if (until < now || (owner != peers_.end() && owner->first == issued.owner_))
            return until < now;
        log::info(event::returnPromiseVoid,
                  {{"fingerprint", textOf(issued.request_)},
                   {"owner", issued.owner_.text()},
                   {"reason", peers_.contains(issued.owner_) ? "owner-changed" : "owner-lost"},
                   {"ends-in-ms", std::to_string(toMilliseconds(until - now))}});
        return true;
    });
}

/// \returns the end of the peers if this entry VM is the owner.
ReturnCoordinator::Peers::const_iterator ReturnCoordinator::ownerOf(std::uint64_t request) const
{
    const auto key = textOf(request);
    auto best = peers_.end();
    std::pair most(rendezvousWeight(key, self_.text()), self_);
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
        const auto weight = rendezvousWeight(key, peer->first.text());
        if (weight < most.first || (weight == most.first && peer->first <= most.second))
            continue;
        most = {weight, peer->first};
        best = peer;
    }
    return best;
}

void ReturnCoordinator::promise(const overload::ReturnPromise &promise)
{
    const auto now = clock_.now();
    if (!overload::isPlausible(promise) || promise.until_ <= now)
        return;
    metrics_.returnPromises_.increment();
    const auto owner = ownerOf(promise.request_);
    if (owner == peers_.end()) {
        register_.add(promise, now);
        return;
    }
    if (issued_.size() < overload::maxPromises)
        issued_.emplace(promise.until_, Issued{promise.request_, owner->first});
    send(owner->second,
         encode(ReturnPromised{promise.request_, promise.model_, promise.rank_, promise.work_,
                               std::max(Duration::zero(), promise.from_ - now),
                               promise.until_ - now}));
}

void ReturnCoordinator::claim(const RequestFingerprint &request, Duration within,
                              std::function<void(bool isGranted)> answered)
{
    metrics_.returnClaims_.increment();
    const auto now = clock_.now();
    const auto owner = ownerOf(request.value());
    if (owner == peers_.end()) {
        conclude(answered, register_.claim(request.value(), now));
        return;
    }
    const auto wait = std::min(within, maxClaimWait);
    if (wait <= Duration::zero() || claims_.size() >= maxClaims) {
        conclude(answered, std::nullopt);
        return;
    }
    const auto id = ++lastId_;
    const auto timer = clock_.schedule(wait, [this, id] { endClaim(id, std::nullopt); });
    claims_.emplace(id, Claim{now + wait, std::move(answered), timer});
    send(owner->second, encode(ReturnClaimed{self_, id, request.value()}));
}

bool ReturnCoordinator::take(std::string_view text)
{
    if (!isReturnMessage(text))
        return false;
    if (const auto promised = decodeReturnPromised(text))
        take(*promised, text);
    else if (const auto claimed = decodeReturnClaimed(text))
        take(*claimed, text);
    else if (const auto answer = decodeReturnAnswer(text))
        take(*answer, text);
    else
        ignore(text, "unreadable");
    return true;
}

void ReturnCoordinator::take(const ReturnPromised &message, std::string_view text)
{
    const auto now = clock_.now();
    if (isStale(now))
        return;
    const overload::ReturnPromise promise{message.request_,   message.model_,
                                          message.rank_,      message.work_,
                                          now + message.due_, now + message.until_};
    if (overload::isPlausible(promise))
        register_.add(promise, now);
    else
        ignore(text, "implausible");
}

void ReturnCoordinator::take(const ReturnClaimed &message, std::string_view text)
{
    const auto now = clock_.now();
    // The sender no longer waits for the answer.
    if (isStale(now))
        return;
    const auto peer = peers_.find(message.from_);
    if (peer == peers_.end()) {
        ignore(text, "unknown-sender");
        return;
    }
    send(peer->second, encode(ReturnAnswer{message.id_, register_.claim(message.request_, now)}));
}

void ReturnCoordinator::take(const ReturnAnswer &message, std::string_view text)
{
    if (message.id_ <= firstId_ || message.id_ > lastId_) {
        ignore(text, "unknown-claim");
        return;
    }
    const auto found = claims_.find(message.id_);
    if (found == claims_.end())
        return; // Late.
    const bool isInTime = clock_.now() <= found->second.until_;
    endClaim(message.id_, isInTime ? std::optional(message.isGranted_) : std::nullopt);
}

/// \param answer no value if the owner did not answer in time.
void ReturnCoordinator::endClaim(std::uint64_t id, std::optional<bool> answer)
{
    const auto node = claims_.extract(id);
    if (!node)
        return;
    clock_.cancel(node.mapped().timer_);
    conclude(node.mapped().answered_, answer);
}

void ReturnCoordinator::conclude(const std::function<void(bool)> &answered,
                                 std::optional<bool> answer) const
{
    if (!answer)
        metrics_.returnClaimsUnanswered_.increment();
    else if (*answer)
        metrics_.returnClaimsGranted_.increment();
    else
        metrics_.returnClaimsDenied_.increment();
    answered(answer.value_or(false));
}

/// Messages may have waited for a suspended process; their times and senders are out of date.
bool ReturnCoordinator::isStale(TimePoint now) const
{
    return now < staleUntil_ || now - lastSweepAt_ > maxSweepGap;
}

void ReturnCoordinator::sweep()
{
    const auto now = clock_.now();
    if (now - std::exchange(lastSweepAt_, now) > maxSweepGap)
        staleUntil_ = now + drainTime;
    register_.expire(now);
    issued_.erase(issued_.begin(), issued_.lower_bound(now));
    if (now - ignoredSince_ > ignoredPeriod) {
        ignored_.clear();
        ignoredSince_ = now;
    }
}

/// Logs each message once in a period, as a faulty or hostile sender may repeat it.
void ReturnCoordinator::ignore(std::string_view text, std::string_view reason)
{
    if (ignored_.size() >= maxIgnoredLogged || !ignored_.insert(stableHash(text)).second)
        return;
    log::warning(event::returnMessageIgnored,
                 {{"reason", std::string(reason)},
                  {"message", std::string(text.substr(0, maxLoggedBytes))}});
}

void ReturnCoordinator::send(const Address &to, std::string_view text) const
{
    if (send_)
        send_(to, text);
}

} // namespace cardamombay::serving
