// Exchange part of PoisonPills: what an entry VM tells its peers and takes from them.
#include <cardamombay/serving/poison_pills.hpp>

#include <algorithm>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Peers report the remaining duration at the time of sending. A report counts as a new quarantine
/// only if it exceeds the known end by more than this; otherwise two entry VMs would extend each
/// other's quarantine by the transit time of every datagram.
constexpr Duration extensionTolerance = std::chrono::seconds(60);

/// Shorter remaining quarantines are not adopted from peers, since entry VMs end a quarantine at
/// slightly different times.
constexpr Duration minAdoptedQuarantine = std::chrono::seconds(5);
/// Time for which a cleared request cannot be quarantined by a peer: one that was disconnected when
/// the request was cleared still reports its quarantine.
constexpr Duration clearanceLifetime = std::chrono::seconds(30);

/// Bound for the time between the stamping of an age by the sender and its arrival here, over up to
/// three hops.
constexpr Duration maxTransit = std::chrono::milliseconds(200);

/// Maximum number of verdicts per digest, 30 bytes each; a hundred are announced within 3 s.
constexpr std::size_t maxAnnouncedVerdicts = 4;

template<typename Values>
bool contains(const Values &values, const typename Values::value_type &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

bool PoisonUpdate::isEmpty() const
{
    return crashes_.empty() && verdicts_.empty() && cleared_.empty() && vouched_.empty()
           && answered_.empty() && retracted_.empty();
}

void mergeUpdates(PoisonUpdate &into, const PoisonUpdate &from)
{
    for (const auto &[endpoint, requests] : from.crashes_) {
        auto &known = into.crashes_[endpoint];
        for (const auto &request : requests) {
            if (!contains(known, request))
                known.push_back(request);
        }
    }
    for (const auto &verdict : from.verdicts_) {
        const auto known
            = std::find_if(into.verdicts_.begin(), into.verdicts_.end(), [&](const auto &one) {
                  return one.fingerprint_ == verdict.fingerprint_;
              });
        if (known == into.verdicts_.end())
            into.verdicts_.push_back(verdict);
        else
            known->isProven_ = known->isProven_ || verdict.isProven_;
    }
    for (const auto &fingerprint : from.cleared_) {
        if (!contains(into.cleared_, fingerprint))
            into.cleared_.push_back(fingerprint);
    }
    for (const auto &part : from.vouched_) {
        if (!contains(into.vouched_, part))
            into.vouched_.push_back(part);
    }
    for (const auto &[part, age] : from.answered_) {
        auto &known = into.answered_.try_emplace(part, age).first->second;
        known = std::min(known, age);
    }
    for (const auto &endpoint : from.retracted_) {
        if (!contains(into.retracted_, endpoint))
            into.retracted_.push_back(endpoint);
    }
}

void PoisonPills::take(const PoisonUpdate &update, TimePoint now)
{
    for (const auto &[endpoint, requests] : update.crashes_) {
        for (const auto &request : requests)
            recordCrash(endpoint, request, now);
    }
    for (const auto &part : update.vouched_)
        if (const auto found = records_.find(part); found != records_.end())
            setVouched(*found, now);
    for (const auto &[part, age] : update.answered_) {
        const auto found = records_.find(part);
        if (found != records_.end())
            (void)refute(*found, now - age - maxTransit, now);
    }
    for (const auto &verdict : update.verdicts_)
        applyVerdict(verdict, now);
    for (const auto &fingerprint : update.cleared_)
        (void)clear(fingerprint, now, false);
    for (const auto &endpoint : update.retracted_)
        ignoreCrash(endpoint, now);
    reportVerdicts(now);
}

void PoisonPills::applyVerdict(const PoisonVerdict &verdict, TimePoint now)
{
    if (wasRecentlyServed(verdict.fingerprint_, now)) {
        announceCleared(verdict.fingerprint_, now);
        return;
    }
    if (const auto known = quarantineLeft(verdict.fingerprint_, now)) {
        if (verdict.left_ <= *known + extensionTolerance)
            return;
    } else if (verdict.left_ < minAdoptedQuarantine) {
        return;
    }
    if (!records_.contains(verdict.fingerprint_))
        evictOldestSuspect();
    auto &entry = *records_.try_emplace(verdict.fingerprint_).first;
    const bool isAnswered
        = verdict.fingerprint_.isPromptPart() && answeredParts_.contains(verdict.fingerprint_, now);
    if (isAnswered)
        vouch(entry, now);
    if (isAnswered && !verdict.isProven_)
        return;
    const auto clearedAt = entry.second.clearedAt_;
    const bool isCleared = clearedAt != TimePoint{} && now - clearedAt < clearanceLifetime;
    if (!isCleared)
        quarantine(entry, verdict.left_, verdict.isProven_, now);
}

PoisonUpdate PoisonPills::pendingUpdate(TimePoint now)
{
    PoisonUpdate result;
    for (const auto &crash : ownCrashes_) {
        if (now - crash.at_ <= announcementPeriod)
            result.crashes_[crash.value_.endpoint_].insert(
                result.crashes_[crash.value_.endpoint_].end(), crash.value_.requests_.begin(),
                crash.value_.requests_.end());
    }
    for (const auto &cleared : ownCleared_) {
        if (now - cleared.at_ <= announcementPeriod)
            result.cleared_.push_back(cleared.value_);
    }
    for (const auto &vouched : ownVouched_) {
        if (now - vouched.at_ <= announcementPeriod)
            result.vouched_.push_back(vouched.value_);
    }
    for (const auto &[part, begunAt] : ownAnswered_) {
        if (now - begunAt <= answerAnnouncementPeriod)
            result.answered_.emplace(part, now - begunAt);
    }
    for (const auto &retracted : ownRetracted_) {
        if (now - retracted.at_ <= announcementPeriod)
            result.retracted_.push_back(retracted.value_);
    }
    std::vector<PoisonVerdict> inForce;
    for (const auto &[request, record] : records_) {
        if (now < record.quarantinedUntil_ && standsAlone(request))
            inForce.push_back({request, record.quarantinedUntil_ - now, record.isProven_});
    }
    const auto next = std::find_if(inForce.begin(), inForce.end(), [this](const auto &one) {
        return !lastAnnounced_ || one.fingerprint_ > *lastAnnounced_;
    });
    std::rotate(inForce.begin(), next, inForce.end());
    if (inForce.size() > maxAnnouncedVerdicts)
        inForce.resize(maxAnnouncedVerdicts);
    if (!inForce.empty())
        lastAnnounced_ = inForce.back().fingerprint_;
    result.verdicts_ = std::move(inForce);
    return result;
}

} // namespace cardamombay::serving
