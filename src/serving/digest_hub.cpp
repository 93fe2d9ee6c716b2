#include <cardamombay/serving/digest_hub.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// By then several digests of a source are missing. The same as for digests that are received
/// directly.
constexpr Duration sourceLifetime = std::chrono::milliseconds(1500);

/// Drops an entry VM of another zone that its reporter hasn't listed in two cycles through its
/// roster.
constexpr Duration rosterEntryLifetime = std::chrono::seconds(2);

/// Each count is repeated in several sums, so that losing one does no harm.
constexpr Duration countRepeatTime = std::chrono::milliseconds(1200);

/// Keeps the newest version and most recent confirmation of each part.
void mergeRelay(std::optional<RelayState> &into, RelayState relay)
{
    if (!into) {
        into = std::move(relay);
        return;
    }
    const bool isNewerConfig = relay.config_ > into->config_;
    if (isNewerConfig || (relay.config_ == into->config_ && relay.configAge_ < into->configAge_)) {
        into->config_ = relay.config_;
        into->configAge_ = relay.configAge_;
    }
    const bool isNewerList = relay.endpoints_ > into->endpoints_;
    const bool isYounger
        = relay.endpoints_ == into->endpoints_ && relay.endpointsAge_ < into->endpointsAge_;
    if (isNewerList || isYounger) {
        into->endpoints_ = relay.endpoints_;
        into->endpointsAge_ = relay.endpointsAge_;
    }
    if (relay.evacuations_.version_ > into->evacuations_.version_)
        into->evacuations_ = std::move(relay.evacuations_);
}

PeerInfo peerInfoOf(const LoadDigest &digest)
{
    return {digest.from_, digest.address_, digest.zone_, digest.capacity_};
}

std::vector<LimitUpdate> aged(std::vector<LimitUpdate> limits, Duration by)
{
    for (auto &limit : limits)
        limit.age_ += by;
    return limits;
}

template<typename Map>
void addCounts(Map &into, const Map &counts)
{
    for (const auto &[key, count] : counts)
        into[key] += count;
}

void dropDuplicates(std::vector<VmId> &endpoints)
{
    std::sort(endpoints.begin(), endpoints.end());
    endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
}

void addRetries(std::map<ServiceName, RetryCounts> &into,
                const std::map<ServiceName, RetryCounts> &counts)
{
    for (const auto &[service, one] : counts) {
        into[service].requests_ += one.requests_;
        into[service].retries_ += one.retries_;
    }
}

} // namespace

DigestHub::DigestHub(PeerInfo self, Incarnation since)
    : self_(std::move(self))
    , since_(since)
{
}

void DigestHub::take(const LoadDigest &digest, TimePoint now)
{
    take(digest, false, now);
}

void DigestHub::take(const LoadSummary &summary, TimePoint now)
{
    take(summary.sum_, true, now);
    auto &roster = sources_[summary.sum_.from_].roster_;
    for (const auto &info : summary.roster_)
        roster[info.entry_] = {info, now};
}

void DigestHub::take(const LoadDigest &digest, bool isZone, TimePoint now)
{
    auto &source = sources_[digest.from_];
    for (const auto &[endpoint, told] : digest.sent_) {
        const auto [place, isNew] = source.sent_.try_emplace(endpoint);
        auto &tokens = place->second;
        // Tokens in the first digest may have been sent long ago.
        if (!isNew && told > tokens.lastCount_) {
            tokens.observed_ += told - tokens.lastCount_;
            tokens.changedAt_ = now;
        }
        tokens.lastCount_ = told;
    }
    const auto before = std::exchange(source.last_, digest);
    overload::keepTeams(source.last_.overload_, before.overload_);
    source.isZone_ = isZone;
    source.heardAt_ = now;
}

void DigestHub::expire(TimePoint now)
{
    std::erase_if(sources_, [this, now](const auto &one) {
        const auto &source = one.second;
        if (now - source.heardAt_ <= sourceLifetime)
            return false;
        add(source.isZone_ ? droppedFleetTotals_ : droppedZoneTotals_, source);
        return true;
    });
}

void DigestHub::add(Totals &totals, const Source &source)
{
    for (const auto &[endpoint, tokens] : source.sent_) {
        auto &total = totals[endpoint];
        total.tokens_ += tokens.observed_;
        total.changedAt_ = std::max(total.changedAt_, tokens.changedAt_);
    }
}

std::vector<PeerInfo> DigestHub::members() const
{
    std::vector<PeerInfo> result;
    for (const auto &[entry, source] : sources_) {
        if (!source.isZone_ && entry != self_.entry_)
            result.push_back(peerInfoOf(source.last_));
    }
    return result;
}

std::vector<PeerInfo> DigestHub::roster(bool withZones, TimePoint now) const
{
    std::vector<PeerInfo> result;
    for (const auto &[entry, source] : sources_) {
        if (!source.isZone_) {
            result.push_back(peerInfoOf(source.last_));
            continue;
        }
        for (const auto &[name, listed] : source.roster_) {
            if (withZones && now - listed.at_ < rosterEntryLifetime)
                result.push_back(listed.info_);
        }
    }
    return result;
}

LoadSummary DigestHub::zoneSummary(TimePoint now) const
{
    return summary(false, now);
}

LoadSummary DigestHub::fleetSummary(TimePoint now) const
{
    return summary(true, now);
}

LoadSummary DigestHub::summary(bool withZones, TimePoint now) const
{
    LoadSummary result;
    result.since_ = since_;
    result.isOfZone_ = !withZones;
    auto &sum = result.sum_;
    sum.from_ = self_.entry_;
    sum.address_ = self_.address_;
    sum.zone_ = self_.zone_;
    sum.capacity_ = self_.capacity_;
    sum.stamp_ = {since_, readingOf(now)};
    auto totals = droppedZoneTotals_;
    if (withZones) {
        for (const auto &[endpoint, total] : droppedFleetTotals_) {
            totals[endpoint].tokens_ += total.tokens_;
            totals[endpoint].changedAt_ = std::max(totals[endpoint].changedAt_, total.changedAt_);
        }
    }
    for (const auto &[entry, source] : sources_) {
        if (source.isZone_ && !withZones)
            continue;
        const auto &last = source.last_;
        addCounts(sum.underWay_, last.underWay_);
        addCounts(sum.heard_, last.heard_);
        addCounts(sum.demand_, last.demand_);
        addCounts(sum.overload_, last.overload_);
        addCounts(sum.failing_, last.failing_);
        addRetries(sum.retries_, last.retries_);
        mergeUpdates(sum.poison_, last.poison_);
        mergeUpdates(sum.limits_, aged(last.limits_, now - source.heardAt_));
        mergeUpdates(sum.cooldowns_, last.cooldowns_, now - source.heardAt_);
        sum.silent_.insert(sum.silent_.end(), last.silent_.begin(), last.silent_.end());
        sum.inquired_.insert(sum.inquired_.end(), last.inquired_.begin(), last.inquired_.end());
        sum.partitioned_.insert(sum.partitioned_.end(), last.partitioned_.begin(),
                                last.partitioned_.end());
        sum.witnessed_.insert(sum.witnessed_.end(), last.witnessed_.begin(), last.witnessed_.end());
        add(totals, source);
        if (last.relay_) {
            auto relay = *last.relay_;
            const auto held = now - source.heardAt_;
            relay.configAge_ += held;
            relay.endpointsAge_ += held;
            mergeRelay(sum.relay_, relay);
        }
    }
    for (const auto &[endpoint, total] : totals) {
        if (total.tokens_ > 0 && now - total.changedAt_ < countRepeatTime)
            sum.sent_.emplace(endpoint, total.tokens_);
    }
    dropDuplicates(sum.silent_);
    dropDuplicates(sum.inquired_);
    dropDuplicates(sum.witnessed_);
    return result;
}

LoadDigest FleetReader::others(const LoadSummary &fleet, const LoadDigest &told)
{
    if (fleet.sum_.from_ != from_ || fleet.since_ != since_) {
        from_ = fleet.sum_.from_;
        since_ = fleet.since_;
        sent_.clear();
    }
    LoadDigest result = fleet.sum_;
    for (const auto &[endpoint, count] : told.underWay_) {
        const auto found = result.underWay_.find(endpoint);
        if (found != result.underWay_.end())
            found->second -= std::min(found->second, count);
    }
    for (const auto &[model, demand] : told.demand_) {
        const auto found = result.demand_.find(model);
        if (found != result.demand_.end())
            found->second = std::max(0.0, found->second - demand);
    }
    for (const auto &[model, own] : told.overload_) {
        if (const auto found = result.overload_.find(model); found != result.overload_.end())
            found->second -= own;
    }
    for (const auto &[endpoint, count] : told.failing_) {
        const auto found = result.failing_.find(endpoint);
        if (found != result.failing_.end())
            found->second -= std::min(found->second, count);
    }
    for (const auto &[service, own] : told.retries_) {
        const auto found = result.retries_.find(service);
        if (found == result.retries_.end())
            continue;
        found->second.requests_ = std::max(0.0, found->second.requests_ - own.requests_);
        found->second.retries_ = std::max(0.0, found->second.retries_ - own.retries_);
    }
    for (auto &[endpoint, tokens] : result.sent_) {
        const auto own = told.sent_.find(endpoint);
        tokens = sentByOthers(endpoint, tokens, own == told.sent_.end() ? 0 : own->second);
    }
    return result;
}

std::size_t FleetReader::sentByOthers(const VmId &endpoint, std::size_t fleet, std::size_t own)
{
    const auto [place, isNew] = sent_.try_emplace(endpoint);
    auto &sent = place->second;
    if (!isNew) {
        const auto ownMore = own > sent.own_ ? own - sent.own_ : 0;
        sent.ahead_ += ownMore;
        const auto fleetMore = fleet > sent.fleet_ ? fleet - sent.fleet_ : 0;
        const auto mine = std::min(sent.ahead_, fleetMore);
        sent.ahead_ -= mine;
        sent.others_ += fleetMore - mine;
    }
    sent.fleet_ = fleet;
    sent.own_ = std::max(sent.own_, own);
    return sent.others_;
}

} // namespace cardamombay::serving
