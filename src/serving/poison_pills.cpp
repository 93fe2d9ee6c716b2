#include <cardamombay/serving/poison_pills.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Evidence is kept for as long as the first quarantine lasts.
constexpr Duration evidenceLifetime = PoisonPills::firstQuarantine;

/// Maximum number of doublings of the quarantine: from ten minutes to about a day.
constexpr std::size_t maxDoublings = 7;

/// Maximum number of remembered crashes to ignore; covers one incident, whose reports arrive within
/// seconds.
constexpr std::size_t maxIgnored = 32;

/// A request that any entry VM served within this time is not a poison pill. A legitimate request
/// in flight at three endpoints at once, for two seconds each, is served more than once a second by
/// the fleet.
constexpr Duration recentlyServedPeriod = std::chrono::seconds(10);
/// Maximum number of remembered served requests, about 40 bytes each.
constexpr std::size_t maxServed = 8192;

/// Maximum number of announced requests per crash: one batch. A message with six full crashes takes
/// 3 KB.
constexpr std::size_t maxAnnouncedRequests = 24;
/// Maximum number of crashes announced at once. More are not caused by a single request; limits the
/// message size when a whole fabric domain fails.
constexpr std::size_t maxAnnouncedCrashes = 24;
/// Maximum number of records, about 200 bytes each, 1 MB in total.
constexpr std::size_t maxRecords = 4096;

template<typename Values>
bool contains(const Values &values, const typename Values::value_type &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

/// Adds \p value unless it is being announced already.
template<typename Announcements, typename Value>
void announceOnce(Announcements &announcements, const Value &value, TimePoint now)
{
    const bool isAnnounced = std::any_of(announcements.begin(), announcements.end(),
                                         [&](const auto &one) { return one.value_ == value; });
    if (!isAnnounced)
        announcements.push_back({value, now});
}

} // namespace

void PoisonPills::endpointCrashed(const EndpointCrash &crash, TimePoint now)
{
    const EndpointCrash announced{crash.endpoint_, mostLikelyCauses(crash, now), {}};
    ownCrashes_.push_back({announced, now});
    if (ownCrashes_.size() > maxAnnouncedCrashes)
        ownCrashes_.erase(ownCrashes_.begin());
    for (const auto &request : announced.requests_)
        recordCrash(announced.endpoint_, request, now);
    reportVerdicts(now);
}

bool PoisonPills::wasRecentlyServed(const RequestFingerprint &request, TimePoint now) const
{
    const auto found = servedAt_.find(request);
    return found != servedAt_.end() && now - found->second <= recentlyServedPeriod;
}

/// Orders parts of prompts before contents and what had just begun before what waited, since they
/// are more likely the cause. Most of the parts that endpoints were answering are popular ones.
std::vector<RequestAtCrash> PoisonPills::mostLikelyCauses(const EndpointCrash &crash,
                                                          TimePoint now) const
{
    std::vector<RequestAtCrash> result;
    for (const auto &part : crash.parts_) {
        if (!part.hadEvents_ || !answeredParts_.contains(part.fingerprint_, now))
            result.push_back(part);
    }
    result.insert(result.end(), crash.requests_.begin(), crash.requests_.end());
    std::stable_sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return stateOf(left) > stateOf(right);
    });
    if (result.size() > maxAnnouncedRequests)
        result.resize(maxAnnouncedRequests);
    return result;
}

/// Announces to the peers that the request was served here; at most once per announcement period.
void PoisonPills::announceCleared(const RequestFingerprint &fingerprint, TimePoint now)
{
    announceOnce(ownCleared_, fingerprint, now);
}

void PoisonPills::vouch(Entry &entry, TimePoint now)
{
    announceOnce(ownVouched_, entry.first, now);
    setVouched(entry, now);
}

/// The part was answered before the crashes, so more evidence is needed. A verdict that was reached
/// without knowing this may not hold.
void PoisonPills::setVouched(Entry &entry, TimePoint now)
{
    auto &record = entry.second;
    if (std::exchange(record.isVouched_, true))
        return;
    const bool isQuarantined = now < record.quarantinedUntil_;
    if (!isQuarantined || record.isProven_ || isSufficient(entry))
        return;
    endQuarantine(entry);
    record.verdicts_ = 0;
    record.clearedAt_ = now;
}

void PoisonPills::recordCrash(const EndpointIncarnation &endpoint, const RequestAtCrash &request,
                              TimePoint now)
{
    const auto &fingerprint = request.fingerprint_;
    if (wasRecentlyServed(fingerprint, now)) {
        announceCleared(fingerprint, now);
        return;
    }
    auto &summary = allCrashes_.try_emplace(endpoint, CrashSummary{now}).first->second;
    summary.hadBegun_ = summary.hadBegun_ || request.hadBegun();
    if (!records_.contains(fingerprint))
        evictOldestSuspect();
    auto &entry = *records_.try_emplace(fingerprint).first;
    auto &record = entry.second;
    if (contains(record.ignored_, endpoint))
        return;
    if (fingerprint.isPromptPart() && answeredParts_.contains(fingerprint, now))
        vouch(entry, now);
    const Crash crash{stateOf(request), now};
    const auto [place, isNew] = record.crashes_.try_emplace(endpoint, crash);
    if (!isNew && place->second.state_ >= crash.state_)
        return;
    place->second.state_ = crash.state_;
    record.lastEvidenceAt_ = now;
    if (now < record.quarantinedUntil_ || weightOf(entry) < requiredWeight(entry))
        return;
    if (!fingerprint.isPromptPart() || record.verdicts_ > 0)
        quarantine(entry, quarantineTime(record), record.isVouched_, now);
    else if (partsUnderReview_.insert(fingerprint).second)
        record.sufficientSince_ = now;
}

/// Each quarantine lasts twice as long as the last one.
Duration PoisonPills::quarantineTime(const Record &record)
{
    const auto first = record.isVouched_ ? firstQuarantineIfVouched : firstQuarantine;
    return first * (1 << std::min(record.verdicts_, maxDoublings));
}

void PoisonPills::quarantine(Entry &entry, Duration time, bool isProven, TimePoint now)
{
    auto &[fingerprint, record] = entry;
    record.isProven_ = isProven;
    record.quarantinedUntil_ = now + time;
    record.lastEvidenceAt_ = now;
    ++record.verdicts_;
    partsUnderReview_.erase(fingerprint);
    if (fingerprint.isPromptPart()) {
        quarantinedParts_.insert(fingerprint);
        acquitVictims(now);
    }
    newVerdicts_.push_back({fingerprint, time, isProven});
}

/// Called once all verdicts of an event are known: which requests one applies to depends on the
/// others.
void PoisonPills::reportVerdicts(TimePoint now)
{
    for (const auto &verdict : std::exchange(newVerdicts_, {})) {
        if (verdictCallback_ && quarantineLeft(verdict.fingerprint_, now))
            verdictCallback_(verdict);
    }
}

void PoisonPills::endQuarantine(Entry &entry)
{
    entry.second.quarantinedUntil_ = {};
    quarantinedParts_.erase(entry.first);
}

void PoisonPills::review(TimePoint now)
{
    if (partsUnderReview_.empty())
        return;
    while (auto *entry = nextConvicted(now))
        quarantine(*entry, quarantineTime(entry->second), entry->second.isVouched_, now);
    reportVerdicts(now);
}

void PoisonPills::retract(const EndpointIncarnation &endpoint, TimePoint now)
{
    ignoreCrash(endpoint, now);
    std::erase_if(ownCrashes_, [&](const auto &one) { return one.value_.endpoint_ == endpoint; });
    ownRetracted_.push_back({endpoint, now});
    if (ownRetracted_.size() > maxAnnouncedCrashes)
        ownRetracted_.erase(ownRetracted_.begin());
}

/// Reports of the crash that arrive later are ignored as well.
void PoisonPills::ignoreCrash(const EndpointIncarnation &endpoint, TimePoint now)
{
    for (auto &entry : records_) {
        auto &[fingerprint, record] = entry;
        if (record.crashes_.erase(endpoint) == 0)
            continue;
        record.ignored_.push_back(endpoint);
        const bool wasQuarantined = now < record.quarantinedUntil_;
        if (!wasQuarantined || weightOf(entry) >= requiredWeight(entry))
            continue;
        endQuarantine(entry);
        record.verdicts_ -= std::min<std::size_t>(record.verdicts_, 1);
        record.clearedAt_ = now;
        announceCleared(fingerprint, now);
    }
}

void PoisonPills::served(const RequestFingerprint &request, TimePoint now)
{
    if (servedAt_.size() >= maxServed)
        servedAt_.clear();
    servedAt_.insert_or_assign(request, now);
    if (clear(request, now, false))
        announceCleared(request, now);
}

void PoisonPills::answered(std::span<const RequestFingerprint> parts, TimePoint begunAt,
                           TimePoint now)
{
    answeredParts_.add(parts, now);
    for (const auto &part : parts) {
        const auto found = records_.find(part);
        if (found == records_.end())
            continue;
        if (!found->second.crashes_.empty() && !found->second.isVouched_)
            vouch(*found, now);
        if (!refute(*found, begunAt, now))
            continue;
        auto &announced = ownAnswered_[part];
        announced = std::max(announced, begunAt);
    }
}

/// Only answers that began after a crash tell anything about it: the part may have become harmful.
/// \returns true if crashes or a quarantine no longer count against the part.
bool PoisonPills::refute(Entry &entry, TimePoint begunAt, TimePoint now)
{
    auto &record = entry.second;
    std::size_t refuted = 0;
    for (auto place = record.crashes_.begin(); place != record.crashes_.end();) {
        if (place->second.at_ >= begunAt) {
            ++place;
            continue;
        }
        ignoreLater(record, place->first);
        place = record.crashes_.erase(place);
        ++refuted;
    }
    const bool wasQuarantined = now < record.quarantinedUntil_;
    if (record.crashes_.empty() && wasQuarantined && record.lastEvidenceAt_ < begunAt) {
        endQuarantine(entry);
        record.verdicts_ = 0;
        ++refuted;
    }
    if (refuted > 0)
        record.clearedAt_ = now;
    return refuted > 0;
}

void PoisonPills::ignoreLater(Record &record, const EndpointIncarnation &endpoint)
{
    record.ignored_.push_back(endpoint);
    if (record.ignored_.size() > maxIgnored)
        record.ignored_.erase(record.ignored_.begin());
}

/// Known crashes no longer count; later ones do. A quarantined request may still be served, by an
/// endpoint at which it was already in flight.
bool PoisonPills::clear(const RequestFingerprint &fingerprint, TimePoint now, bool isLifted)
{
    const auto found = records_.find(fingerprint);
    const bool isKnown
        = found != records_.end()
          && (!found->second.crashes_.empty() || now < found->second.quarantinedUntil_);
    if (!isKnown)
        return false;
    auto &record = found->second;
    for (const auto &[endpoint, crash] : record.crashes_)
        ignoreLater(record, endpoint);
    record.crashes_.clear();
    endQuarantine(*found);
    partsUnderReview_.erase(fingerprint);
    record.verdicts_ = 0;
    record.clearedAt_ = now;
    record.isVouched_ = fingerprint.isPromptPart() && !isLifted;
    if (isLifted)
        ownCleared_.push_back({fingerprint, now});
    return true;
}

void PoisonPills::restore(const RequestFingerprint &fingerprint, TimePoint now)
{
    if (!quarantineLeft(fingerprint, now))
        quarantine(*records_.try_emplace(fingerprint).first, firstQuarantine, false, now);
    reportVerdicts(now);
}

/// Bounds memory against a flood of distinct requests: evicts the least recently seen suspect, and
/// active verdicts only if there are no suspects.
void PoisonPills::evictOldestSuspect()
{
    if (records_.size() < maxRecords)
        return;
    const auto oldest
        = std::min_element(records_.begin(), records_.end(), [](auto &left, auto &right) {
              return std::pair(left.second.quarantinedUntil_, left.second.lastEvidenceAt_)
                     < std::pair(right.second.quarantinedUntil_, right.second.lastEvidenceAt_);
          });
    quarantinedParts_.erase(oldest->first);
    partsUnderReview_.erase(oldest->first);
    records_.erase(oldest);
}

/// After a quarantine the request stays one crash short of the next verdict, for at least as long
/// as the quarantine lasted.
void PoisonPills::expire(TimePoint now)
{
    std::erase_if(quarantinedParts_, [this, now](const auto &part) {
        return now >= records_.at(part).quarantinedUntil_;
    });
    std::erase_if(records_, [now](const auto &one) {
        const auto &record = one.second;
        const auto memory
            = std::max(evidenceLifetime, record.quarantinedUntil_ - record.lastEvidenceAt_);
        return now >= record.quarantinedUntil_
               && now - std::max(record.lastEvidenceAt_, record.quarantinedUntil_) > memory;
    });
    std::erase_if(partsUnderReview_, [this](const auto &part) { return !records_.contains(part); });
    for (auto &entry : records_) {
        auto &record = entry.second;
        if (record.quarantinedUntil_ == TimePoint{} || now < record.quarantinedUntil_)
            continue;
        while (weightOf(entry) >= requiredWeight(entry))
            record.crashes_.erase(record.crashes_.begin());
    }
    std::erase_if(allCrashes_,
                  [now](const auto &one) { return now - one.second.at_ > evidenceLifetime; });
    std::erase_if(servedAt_,
                  [now](const auto &one) { return now - one.second > recentlyServedPeriod; });
    const auto isOld = [now](const auto &one) { return now - one.at_ > announcementPeriod; };
    std::erase_if(ownCrashes_, isOld);
    std::erase_if(ownCleared_, isOld);
    std::erase_if(ownVouched_, isOld);
    std::erase_if(ownAnswered_,
                  [now](const auto &one) { return now - one.second > answerAnnouncementPeriod; });
    std::erase_if(ownRetracted_, isOld);
}

std::map<RequestFingerprint, std::vector<EndpointIncarnation>>
PoisonPills::quarantined(TimePoint now) const
{
    std::map<RequestFingerprint, std::vector<EndpointIncarnation>> result;
    for (const auto &[request, record] : records_) {
        if (now >= record.quarantinedUntil_)
            continue;
        auto &endpoints = result[request];
        for (const auto &[endpoint, crash] : record.crashes_)
            endpoints.push_back(endpoint);
    }
    return result;
}

} // namespace cardamombay::serving
