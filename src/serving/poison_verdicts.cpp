// Evaluation part of PoisonPills: which crashes count against which suspect, and which requests a
// verdict applies to.
#include <cardamombay/serving/poison_pills.hpp>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace cardamombay::serving {

namespace {

/// Weight of a crash before the endpoint started to answer the request: a poison pill usually
/// crashes an endpoint as soon as it runs.
constexpr std::size_t beforeAnswerWeight = 2;
/// Weight of a crash during the answer. Long answers are in flight at many crashes that they did
/// not cause. One request is sent to about four endpoints at most, so such crashes alone never lead
/// to a verdict, unless the caller repeats the request over and over. They do not count against a
/// part of its prompt, on which the endpoint has begun an answer without crashing.
constexpr std::size_t duringAnswerWeight = 1;
/// Weight of a crash that interrupted an answer of which only the head had been sent, for parts of
/// prompts. Few requests are in this state at any time. The content of a single request is in it
/// again by chance if it was moved to another endpoint.
constexpr std::size_t begunWeight = 3;
/// Weight of a crash before the answer if another request was in that state at the endpoint.
constexpr std::size_t bystanderWeight = 1;

/// Weight that leads to a verdict: three crashes before the answer, or six during it. Two are not
/// enough: if a seventh of the engines crash at once, requests that were moved to another engine
/// are hit by a second crash by chance.
constexpr std::size_t verdictWeight = 6;
/// The same for a part that endpoints had answered before the crashes; only those count that
/// interrupted answers which had just begun.
constexpr std::size_t vouchedVerdictWeight = 12;

/// A part that was in a larger share of the answered prompts is quarantined only if others at the
/// same crashes have been answered since: a wrong verdict would refuse most callers.
constexpr double maxShareAtRisk = 0.25;

/// Crashes within this time count once against a part of prompts. A part that many requests share
/// is in flight at all endpoints that fail together; one that crashes them reaches them in turn.
constexpr Duration commonFailurePeriod = std::chrono::milliseconds(100);

/// Calls \p action for each failure, with the largest weight of its crashes.
template<typename Action>
void forEachFailure(std::vector<std::pair<TimePoint, std::size_t>> crashes, Action action)
{
    std::sort(crashes.begin(), crashes.end());
    for (auto next = crashes.begin(); next != crashes.end();) {
        const auto end = next->first + commonFailurePeriod;
        auto weight = next->second;
        for (++next; next != crashes.end() && next->first <= end; ++next)
            weight = std::max(weight, next->second);
        action(weight);
    }
}

} // namespace

PoisonPills::AnswerState PoisonPills::stateOf(const RequestAtCrash &request)
{
    if (request.hadEvents_)
        return AnswerState::Answering;
    return request.hadHead_ ? AnswerState::Begun : AnswerState::Waiting;
}

bool PoisonPills::hadBegunAnswer(const EndpointIncarnation &endpoint) const
{
    const auto found = allCrashes_.find(endpoint);
    return found != allCrashes_.end() && found->second.hadBegun_;
}

std::size_t PoisonPills::weightOf(const EndpointIncarnation &endpoint, const Crash &crash,
                                  bool isPart) const
{
    switch (crash.state_) {
    case AnswerState::Answering:
        return isPart ? 0 : duringAnswerWeight;
    case AnswerState::Waiting:
        return hadBegunAnswer(endpoint) ? bystanderWeight : beforeAnswerWeight;
    case AnswerState::Begun:
        break;
    }
    return isPart ? begunWeight : beforeAnswerWeight;
}

/// Crashes that another verdict explains do not count.
/// \param onlyBegun counts only answers that had just begun.
std::size_t PoisonPills::weightOf(const Entry &entry, bool onlyBegun) const
{
    const bool isPart = entry.first.isPromptPart();
    std::size_t result = 0;
    std::vector<std::pair<TimePoint, std::size_t>> grouped;
    for (const auto &[endpoint, crash] : entry.second.crashes_) {
        const bool hadBegun = crash.state_ == AnswerState::Begun;
        if ((onlyBegun && !hadBegun) || isCausedByOther(endpoint, entry))
            continue;
        const auto weight = weightOf(endpoint, crash, isPart);
        // Few requests with a part that was never answered begin at the same moment.
        if (!isPart || (hadBegun && !entry.second.isVouched_))
            result += weight;
        else
            grouped.emplace_back(crash.at_, weight);
    }
    forEachFailure(grouped, [&](std::size_t weight) { result += weight; });
    return result;
}

std::size_t PoisonPills::weightOf(const Entry &entry) const
{
    return weightOf(entry, entry.second.isVouched_);
}

std::size_t PoisonPills::requiredWeight(const Entry &entry)
{
    return entry.second.isVouched_ ? vouchedVerdictWeight : verdictWeight;
}

/// True if \p one was at all crashes of \p other. If answers on the latter had just begun at some
/// of them, only those count: a part may wait at any other crash.
bool PoisonPills::wasAtCrashesOf(const Record &one, const Record &other)
{
    const bool onlyBegun
        = std::any_of(other.crashes_.begin(), other.crashes_.end(),
                      [](const auto &crash) { return crash.second.state_ == AnswerState::Begun; });
    return std::all_of(other.crashes_.begin(), other.crashes_.end(), [&](const auto &crash) {
        if (onlyBegun && crash.second.state_ != AnswerState::Begun)
            return true;
        const auto found = one.crashes_.find(crash.first);
        return found != one.crashes_.end()
               && (!onlyBegun || found->second.state_ == AnswerState::Begun);
    });
}

/// True if a quarantined part was in flight too. A part that was at fewer crashes does not excuse
/// one that was at all of these, unless the latter had been answered before.
bool PoisonPills::isCausedByOther(const EndpointIncarnation &endpoint, const Entry &entry) const
{
    return std::any_of(quarantinedParts_.begin(), quarantinedParts_.end(),
                       [&](const RequestFingerprint &part) {
                           const auto &other = records_.at(part);
                           if (part == entry.first || !other.crashes_.contains(endpoint))
                               return false;
                           const bool isLessLikely = entry.second.isVouched_ && !other.isVouched_;
                           return isLessLikely || !wasAtCrashesOf(entry.second, other);
                       });
}

/// True if the part was in flight at most of the failures since its first crash. A harmless part is
/// so by chance at some of them only.
bool PoisonPills::wasAtMostCrashes(const Entry &entry) const
{
    std::vector<std::pair<TimePoint, std::size_t>> own;
    for (const auto &[endpoint, crash] : entry.second.crashes_)
        own.emplace_back(crash.at_, 1);
    const auto since = std::min_element(own.begin(), own.end())->first - commonFailurePeriod;
    std::vector<std::pair<TimePoint, std::size_t>> all;
    for (const auto &[endpoint, crash] : allCrashes_) {
        if (crash.at_ > since)
            all.emplace_back(crash.at_, 1);
    }
    std::size_t ownFailures = 0;
    std::size_t allFailures = 0;
    forEachFailure(own, [&](std::size_t) { ++ownFailures; });
    forEachFailure(all, [&](std::size_t) { ++allFailures; });
    return 2 * ownFailures > allFailures;
}

/// True if the content of a single request is as likely the cause of all crashes as the part, as
/// for a request that is repeated.
bool PoisonPills::isExplainedByOneRequest(const Record &part) const
{
    return std::any_of(records_.begin(), records_.end(), [&part](const auto &one) {
        const auto &record = one.second;
        return !one.first.isPromptPart()
               && std::all_of(part.crashes_.begin(), part.crashes_.end(), [&](const auto &crash) {
                      const auto found = record.crashes_.find(crash.first);
                      return found != record.crashes_.end()
                             && found->second.state_ >= crash.second.state_;
                  });
    });
}

/// True if at each crash that counts, another part was in flight that was answered since. Without
/// answers no part can be told from those that all requests share.
bool PoisonPills::areOthersCleared(const Entry &entry) const
{
    const auto isClearedElsewhere = [&](const EndpointIncarnation &endpoint) {
        return std::any_of(records_.begin(), records_.end(), [&](const auto &other) {
            const auto &ignored = other.second.ignored_;
            return other.first.isPromptPart() && other.first != entry.first
                   && std::find(ignored.begin(), ignored.end(), endpoint) != ignored.end();
        });
    };
    return std::all_of(
        entry.second.crashes_.begin(), entry.second.crashes_.end(), [&](const auto &crash) {
            return crash.second.state_ != AnswerState::Begun || isClearedElsewhere(crash.first);
        });
}

bool PoisonPills::isSufficient(const Entry &entry) const
{
    if (weightOf(entry) < requiredWeight(entry))
        return false;
    if (!entry.first.isPromptPart())
        return true;
    if (isExplainedByOneRequest(entry.second))
        return false;
    if (!entry.second.isVouched_)
        return weightOf(entry, true) >= verdictWeight || wasAtMostCrashes(entry);
    return answeredParts_.shareOf(entry.first) <= maxShareAtRisk || areOthersCleared(entry);
}

/// Parts without earlier answers come first: their verdict may excuse a part that many requests
/// share.
PoisonPills::Entry *PoisonPills::nextConvicted(TimePoint now)
{
    Entry *result = nullptr;
    std::vector<RequestFingerprint> cleared;
    for (const auto &part : partsUnderReview_) {
        auto &entry = *records_.find(part);
        if (weightOf(entry) < requiredWeight(entry)) {
            cleared.push_back(part);
            continue;
        }
        const auto period = entry.second.isVouched_ ? objectionPeriodIfVouched : objectionPeriod;
        const bool isDue = now - entry.second.sufficientSince_ >= period && isSufficient(entry);
        const auto rank = [this](const Entry &one) {
            return std::tuple(!one.second.isVouched_, weightOf(one), one.second.crashes_.size());
        };
        if (isDue && (result == nullptr || rank(entry) > rank(*result)))
            result = &entry;
    }
    for (const auto &part : cleared)
        partsUnderReview_.erase(part);
    return result;
}

/// Lifts the quarantines of contents that were in flight at the crashes of a part quarantined
/// since. Peers that have not come to this verdict yet may still report them.
void PoisonPills::acquitVictims(TimePoint now)
{
    for (auto &entry : records_) {
        auto &[fingerprint, record] = entry;
        const bool isQuarantined = !fingerprint.isPromptPart() && now < record.quarantinedUntil_;
        if (!isQuarantined || record.crashes_.empty() || weightOf(entry) >= requiredWeight(entry))
            continue;
        endQuarantine(entry);
        record.verdicts_ = 0;
        record.clearedAt_ = now;
    }
}

std::optional<Duration> PoisonPills::quarantineLeft(const RequestFingerprint &fingerprint,
                                                    TimePoint now) const
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end() || now >= found->second.quarantinedUntil_)
        return std::nullopt;
    return found->second.quarantinedUntil_ - now;
}

/// \param part a quarantined part of the request.
bool PoisonPills::appliesTo(const Entry &part,
                            std::span<const RequestFingerprint> fingerprints) const
{
    const auto &record = part.second;
    return std::none_of(
        quarantinedParts_.begin(), quarantinedParts_.end(), [&](const RequestFingerprint &name) {
            const auto &other = records_.at(name);
            if (record.crashes_.empty() || name == part.first || !wasAtCrashesOf(other, record))
                return false;
            const bool areAlike = wasAtCrashesOf(record, other);
            const bool hasOther
                = std::find(fingerprints.begin(), fingerprints.end(), name) != fingerprints.end();
            return !areAlike || !hasOther;
        });
}

bool PoisonPills::standsAlone(const RequestFingerprint &fingerprint) const
{
    const auto found = records_.find(fingerprint);
    return !fingerprint.isPromptPart() || found == records_.end()
           || appliesTo(*found, {&fingerprint, 1});
}

std::optional<Duration>
PoisonPills::quarantinedFor(std::span<const RequestFingerprint> fingerprints, TimePoint now) const
{
    std::optional<Duration> result;
    for (const auto &fingerprint : fingerprints) {
        const auto left = quarantineLeft(fingerprint, now);
        if (!left)
            continue;
        const bool applies
            = !fingerprint.isPromptPart() || appliesTo(*records_.find(fingerprint), fingerprints);
        if (applies)
            result = std::max(result.value_or(*left), *left);
    }
    return result;
}

bool PoisonPills::awaitsVerdict(std::span<const RequestFingerprint> fingerprints) const
{
    return std::any_of(fingerprints.begin(), fingerprints.end(), [this](const auto &one) {
        if (!partsUnderReview_.contains(one))
            return false;
        // Requests with a popular part go on: their answers may clear it.
        const auto &entry = *records_.find(one);
        return !entry.second.isVouched_ && isSufficient(entry);
    });
}

bool PoisonPills::isSuspect(const RequestFingerprint &request) const
{
    return mainSuspect({&request, 1}).has_value();
}

std::optional<RequestFingerprint>
PoisonPills::mainSuspect(std::span<const RequestFingerprint> fingerprints) const
{
    std::optional<RequestFingerprint> result;
    std::tuple<bool, std::size_t, RequestFingerprint> most;
    for (const auto &fingerprint : fingerprints) {
        const auto found = records_.find(fingerprint);
        if (found == records_.end() || found->second.crashes_.empty() || found->second.isVouched_)
            continue;
        // Requests with the same part go to the same endpoint, whatever their contents.
        const std::tuple rank(fingerprint.isPromptPart(), weightOf(*found), fingerprint);
        if (!result || rank > most) {
            result = fingerprint;
            most = rank;
        }
    }
    return result;
}

std::vector<RequestFingerprint>
PoisonPills::unanswered(std::span<const RequestFingerprint> fingerprints, TimePoint now) const
{
    std::vector<RequestFingerprint> result;
    std::copy_if(fingerprints.begin(), fingerprints.end(), std::back_inserter(result),
                 [&](const RequestFingerprint &one) {
                     return !one.isPromptPart() || !answeredParts_.contains(one, now);
                 });
    return result;
}

} // namespace cardamombay::serving
