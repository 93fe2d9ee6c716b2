#include <cardamombay/serving/quota_exchange.hpp>

#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// A peer answers within a few milliseconds; later the request or its answer counts as lost.
constexpr Duration answerTimeout = std::chrono::milliseconds(80);
/// A peer that gave too little is short of quota itself for some time.
constexpr Duration refusalSkipTime = std::chrono::milliseconds(250);
constexpr Duration silenceSkipTime = std::chrono::seconds(1);
/// Pause after a refusal; doubles with each further one, so that a fleet without unused quota does
/// not spend its bandwidth on requests.
constexpr Duration minPause = std::chrono::milliseconds(5);
constexpr Duration maxPause = std::chrono::milliseconds(320);
/// Several sweeps, one of which may be late.
constexpr Duration needLifetime = std::chrono::milliseconds(100);
/// Peers tried for one choice; in a large fleet nearly none of them is skipped.
constexpr std::size_t maxChoices = 64;

/// Request numbers are exact in a double, as JSON parsers may read them as such.
constexpr std::uint64_t firstNumberBits = 48;

} // namespace

QuotaExchange::QuotaExchange(Clock &clock, QuotaHolder &holder, Random random)
    : clock_(clock)
    , holder_(holder)
    , random_(random)
    , lastNumber_(random_.below(std::uint64_t{1} << firstNumberBits))
{
}

void QuotaExchange::setSelf(EntryId entry, Address address)
{
    self_ = std::move(entry);
    address_ = std::move(address);
}

void QuotaExchange::setPeers(const std::map<EntryId, Address> &peers)
{
    peers_.clear();
    for (const auto &[entry, address] : peers)
        peers_.push_back({entry, address});
}

bool QuotaExchange::take(std::string_view text)
{
    if (const auto request = decodeQuotaRequest(text)) {
        answer(*request);
        return true;
    }
    if (const auto transfer = decodeQuotaTransfer(text)) {
        receive(*transfer);
        return true;
    }
    return false;
}

void QuotaExchange::need(const ServiceName &service, double amount)
{
    auto &need = needs_[service];
    need.amount_ = amount;
    need.at_ = clock_.now();
    if (need.awaited_ == 0)
        ask(service, need);
}

bool QuotaExchange::isHopeful(const ServiceName &service) const
{
    const auto found = needs_.find(service);
    if (found == needs_.end())
        return false;
    const auto &need = found->second;
    if (need.awaited_ != 0)
        return true;
    const auto now = clock_.now();
    return std::any_of(peers_.begin(), peers_.end(), [&need, now](const Peer &peer) {
        const auto skipped = need.skipped_.find(peer.entry_);
        return skipped == need.skipped_.end() || skipped->second <= now;
    });
}

void QuotaExchange::sweep()
{
    const auto now = clock_.now();
    std::erase_if(asked_, [this, now](const auto &one) {
        return now - one.second.at_ >= holder_.quotaLifetime();
    });
    std::erase_if(needs_, [now](const auto &one) {
        return now - one.second.at_ > needLifetime && now - one.second.nextAt_ > maxPause;
    });
    for (auto &[service, need] : needs_) {
        std::erase_if(need.skipped_, [now](const auto &one) { return one.second <= now; });
        if (need.awaited_ != 0 && now - need.askedAt_ >= answerTimeout) {
            const auto asked = asked_.find(need.awaited_);
            if (asked != asked_.end())
                refused(need, asked->second.peer_, silenceSkipTime);
            need.awaited_ = 0;
        }
        if (need.awaited_ == 0 && now - need.at_ <= needLifetime)
            ask(service, need);
    }
}

void QuotaExchange::ask(const ServiceName &service, Need &need)
{
    const auto now = clock_.now();
    if (need.amount_ <= 0 || now < need.nextAt_ || !send_)
        return;
    const auto *peer = choosePeer(need);
    if (peer == nullptr)
        return;
    need.awaited_ = ++lastNumber_;
    need.askedAt_ = now;
    asked_.emplace(lastNumber_, Asked{service, peer->entry_, need.amount_, now});
    send_(peer->address_,
          encode(QuotaRequest{self_, address_, lastNumber_, service, need.amount_}));
}

/// Starts at a random peer, so that the entry VMs of a fleet do not all ask the same one.
const QuotaExchange::Peer *QuotaExchange::choosePeer(const Need &need)
{
    if (peers_.empty())
        return nullptr;
    const auto first = random_.below(peers_.size());
    const auto choices = std::min(peers_.size(), maxChoices);
    for (std::size_t i = 0; i < choices; ++i) {
        const auto &peer = peers_[(first + i) % peers_.size()];
        const auto skipped = need.skipped_.find(peer.entry_);
        if (skipped == need.skipped_.end() || skipped->second <= clock_.now())
            return &peer;
    }
    return nullptr;
}

void QuotaExchange::answer(const QuotaRequest &request)
{
    const auto amount = holder_.giveQuota(request.service_, request.amount_);
    if (amount > 0)
        log::info(event::quotaGiven, {{"service", request.service_.text()},
                                      {"to", request.from_.text()},
                                      {"wanted", std::to_string(request.amount_)},
                                      {"retries", std::to_string(amount)}});
    if (send_)
        send_(request.address_, encode(QuotaTransfer{self_, request.number_, amount}));
}

/// The lifetime starts when the request was sent, before the peer gave the quota up.
void QuotaExchange::receive(const QuotaTransfer &transfer)
{
    const auto now = clock_.now();
    const auto found = asked_.find(transfer.number_);
    if (found == asked_.end() || found->second.peer_ != transfer.from_)
        return;
    const auto asked = found->second;
    asked_.erase(found);
    const auto until = asked.at_ + holder_.quotaLifetime();
    const auto amount = std::min(transfer.amount_, asked.amount_);
    if (amount > 0 && now < until)
        holder_.takeQuota(asked.service_, amount, until);
    auto &need = needs_[asked.service_];
    if (need.awaited_ == transfer.number_)
        need.awaited_ = 0;
    need.amount_ = std::max(0.0, need.amount_ - amount);
    if (amount < asked.amount_)
        refused(need, asked.peer_, refusalSkipTime);
    if (amount > 0) {
        need.pause_ = {};
        need.nextAt_ = now;
    }
    if (need.awaited_ == 0 && now - need.at_ <= needLifetime)
        ask(asked.service_, need);
}

void QuotaExchange::refused(Need &need, const EntryId &peer, Duration skipFor)
{
    const auto now = clock_.now();
    need.skipped_[peer] = now + skipFor;
    need.pause_ = std::clamp(2 * need.pause_, minPause, maxPause);
    need.nextAt_ = now + need.pause_;
}

} // namespace cardamombay::serving
