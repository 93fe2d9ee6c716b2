/// \file
/// \brief Detects poison pills: requests, or parts of their prompts, that crash the endpoints that
/// run them.
/// \details A crash interrupts all requests of the endpoint, so a single crash does not identify
/// its cause. What was in flight at several crashes without being answered in between is considered
/// the cause and is quarantined: no entry VM sends it any more, which protects the endpoints of
/// other callers. Suspects are the content of a request and each part of its prompt that other
/// requests may share, since requests with different contents may have a harmful part in common.
/// Entry VMs exchange their observations, and each reaches the same verdict independently. A crash
/// of one endpoint never leads to a quarantine. Performs no I/O.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/answered_parts.hpp>
#include <cardamombay/serving/crash_detector.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief The quarantine of a request or of a part of prompts.
struct PoisonVerdict
{
    RequestFingerprint fingerprint_;
    Duration left_{};       ///< Remaining time until it may be sent again.
    bool isProven_ = false; ///< Holds although endpoints had answered the part before.

    friend bool operator==(const PoisonVerdict &, const PoisonVerdict &) = default;
};

/// \brief Observations that entry VMs exchange.
struct PoisonUpdate
{
    /// What was in flight at endpoints that crashed recently.
    std::map<EndpointIncarnation, std::vector<RequestAtCrash>> crashes_;
    std::vector<PoisonVerdict>
        verdicts_; ///< Part of the active ones; successive messages cycle through all.
    /// Requests and parts that were recently served or whose quarantine was recently lifted.
    std::vector<RequestFingerprint> cleared_;
    /// Parts at recent crashes that endpoints had answered before.
    std::vector<RequestFingerprint> vouched_;
    /// Parts at recent crashes that endpoints have answered since, with the age of the answer.
    std::map<RequestFingerprint, Duration> answered_;
    /// Endpoints that were reported as crashed, but only could not be reached.
    std::vector<EndpointIncarnation> retracted_;

    [[nodiscard]] bool isEmpty() const;
    friend bool operator==(const PoisonUpdate &, const PoisonUpdate &) = default;
};

/// \brief Merges \p from into \p into; a crash that both contain is kept once.
void mergeUpdates(PoisonUpdate &into, const PoisonUpdate &from);

/// \brief Evidence and verdicts of one entry VM. Not thread-safe; used on the gateway's thread.
/// \code
/// pills.endpointCrashed(crash, now);
/// if (const auto left = pills.quarantinedFor(fingerprints, now))
///     refuse(*left);
/// \endcode
class PoisonPills
{
public:
    /// \brief Duration of the first quarantine; it doubles with each further one.
    static constexpr Duration firstQuarantine = std::chrono::minutes(10);
    /// \brief The same for parts that had been answered before. Many callers may depend on such a
    /// part, and while it is quarantined, no answer can clear it.
    static constexpr Duration firstQuarantineIfVouched = std::chrono::seconds(60);
    /// \brief Time between sufficient evidence against a part and its quarantine. Within it, entry
    /// VMs that have seen answers on the part can object.
    static constexpr Duration objectionPeriod = std::chrono::milliseconds(500);
    /// \brief The same for parts that had been answered before; new answers can clear them.
    static constexpr Duration objectionPeriodIfVouched = std::chrono::seconds(1);

    /// \brief Sets the callback for new verdicts.
    void onVerdict(std::function<void(const PoisonVerdict &)> action)
    {
        verdictCallback_ = std::move(action);
    }

    /// \name Events
    /// \{
    /// \brief Records the crash of an endpoint with requests from this entry VM.
    void endpointCrashed(const EndpointCrash &crash, TimePoint now);
    /// \brief Withdraws the crash of an endpoint that had only not been reachable from this entry
    /// VM, and lifts the verdicts that rest on it.
    void retract(const EndpointIncarnation &endpoint, TimePoint now);
    /// \brief Records that a request was answered completely, which clears it of suspicion.
    /// \details A popular request is in flight at many endpoints, so the failure of a rack, which
    /// stops several of them at once, would otherwise quarantine it.
    void served(const RequestFingerprint &request, TimePoint now);
    /// \brief Records that an endpoint has been writing an answer on \p parts since \p begunAt,
    /// which clears them of the crashes before.
    void answered(std::span<const RequestFingerprint> parts, TimePoint begunAt, TimePoint now);
    /// \brief Applies the observations of a peer.
    void take(const PoisonUpdate &update, TimePoint now);
    /// \brief Restores a verdict that was persisted across a restart.
    void restore(const RequestFingerprint &fingerprint, TimePoint now);
    /// \brief Ends a quarantine on behalf of an operator.
    void lift(const RequestFingerprint &fingerprint, TimePoint now)
    {
        clear(fingerprint, now, true);
    }
    /// \brief Quarantines parts whose objection period is over. Call every Gateway::sweepPeriod.
    void review(TimePoint now);
    /// \brief Removes expired state. Call before each digest is sent.
    void expire(TimePoint now);
    /// \}

    /// \name State
    /// \{
    /// \brief Remaining quarantine of a request; std::nullopt if it is not quarantined.
    /// \details Parts that were together at all crashes cannot be told apart. Requests with only
    /// some of them are not quarantined: an answer or another crash shows which part is the cause.
    /// \param fingerprints the request's content and the shared parts of its prompt.
    [[nodiscard]] std::optional<Duration>
    quarantinedFor(std::span<const RequestFingerprint> fingerprints, TimePoint now) const;
    [[nodiscard]] std::optional<Duration> quarantinedFor(const RequestFingerprint &fingerprint,
                                                         TimePoint now) const
    {
        return quarantinedFor(std::span(&fingerprint, 1), now);
    }
    /// \brief True if a part of the request is about to be quarantined, so that it must wait.
    [[nodiscard]] bool awaitsVerdict(std::span<const RequestFingerprint> fingerprints) const;
    /// \brief True if an endpoint crashed during the request and it was not served since.
    [[nodiscard]] bool isSuspect(const RequestFingerprint &request) const;
    /// \brief The one of \p fingerprints that crashes point to most; std::nullopt if none is a
    /// suspect. Parts that were answered before are none, since many requests share them.
    [[nodiscard]] std::optional<RequestFingerprint>
    mainSuspect(std::span<const RequestFingerprint> fingerprints) const;
    /// \brief \p fingerprints without the parts that endpoints have answered.
    [[nodiscard]] std::vector<RequestFingerprint>
    unanswered(std::span<const RequestFingerprint> fingerprints, TimePoint now) const;
    /// \brief True if a quarantine needs no other evidence to tell which requests it applies to, so
    /// that it can be told to others. Parts that were always together do not stand alone.
    [[nodiscard]] bool standsAlone(const RequestFingerprint &fingerprint) const;
    /// \brief What is quarantined, with the endpoints that crashed during it.
    [[nodiscard]] std::map<RequestFingerprint, std::vector<EndpointIncarnation>>
    quarantined(TimePoint now) const;
    /// \brief Observations for the peers; each is repeated in several messages because datagrams
    /// may be lost.
    [[nodiscard]] PoisonUpdate pendingUpdate(TimePoint now);
    [[nodiscard]] std::size_t suspects() const { return records_.size(); }
    /// \}

private:
    /// What an endpoint had sent of an answer when it crashed, in the order of suspicion.
    enum class AnswerState : std::uint8_t { Answering, Waiting, Begun };
    struct Crash
    {
        AnswerState state_ = AnswerState::Answering;
        TimePoint at_{};
    };
    using Crashes = std::map<EndpointIncarnation, Crash>;
    struct CrashSummary
    {
        TimePoint at_{};        ///< Time of the first report.
        bool hadBegun_ = false; ///< The endpoint had just begun an answer.
    };
    struct Record
    {
        Crashes crashes_;
        std::vector<EndpointIncarnation> ignored_; ///< Crashes before it was cleared.
        TimePoint lastEvidenceAt_{};
        TimePoint sufficientSince_{};  ///< Start of the objection period of a part.
        TimePoint quarantinedUntil_{}; ///< End of the quarantine; the epoch if none.
        TimePoint clearedAt_{};
        std::size_t verdicts_ = 0;
        bool isVouched_ = false; ///< A part that endpoints had answered before the crashes.
        bool isProven_ = false;  ///< Quarantined although it is vouched for.
    };
    using Entry = std::pair<const RequestFingerprint, Record>;
    /// Time for which crashes and clearances are announced: seven digests, each over up to three
    /// hops.
    static constexpr Duration announcementPeriod = std::chrono::milliseconds(700);
    /// The same for answers, from their start: an answer is known to last only after a while.
    static constexpr Duration answerAnnouncementPeriod = std::chrono::seconds(2);
    template<typename Value>
    struct Announced
    {
        Value value_;
        TimePoint at_{};
    };

    [[nodiscard]] static AnswerState stateOf(const RequestAtCrash &request);

    [[nodiscard]] std::vector<RequestAtCrash> mostLikelyCauses(const EndpointCrash &crash,
                                                               TimePoint now) const;
    [[nodiscard]] bool wasRecentlyServed(const RequestFingerprint &request, TimePoint now) const;
    void announceCleared(const RequestFingerprint &fingerprint, TimePoint now);
    void vouch(Entry &entry, TimePoint now);
    void setVouched(Entry &entry, TimePoint now);
    bool refute(Entry &entry, TimePoint begunAt, TimePoint now);
    static void ignoreLater(Record &record, const EndpointIncarnation &endpoint);
    void ignoreCrash(const EndpointIncarnation &endpoint, TimePoint now);
    void recordCrash(const EndpointIncarnation &endpoint, const RequestAtCrash &request,
                     TimePoint now);
    void applyVerdict(const PoisonVerdict &verdict, TimePoint now);
    [[nodiscard]] static Duration quarantineTime(const Record &record);
    void quarantine(Entry &entry, Duration time, bool isProven, TimePoint now);
    void endQuarantine(Entry &entry);
    void reportVerdicts(TimePoint now);
    [[nodiscard]] std::optional<Duration> quarantineLeft(const RequestFingerprint &fingerprint,
                                                         TimePoint now) const;
    bool clear(const RequestFingerprint &fingerprint, TimePoint now, bool isLifted);
    void evictOldestSuspect();

    /// \name Evaluation of evidence
    /// \{
    [[nodiscard]] std::size_t weightOf(const EndpointIncarnation &endpoint, const Crash &crash,
                                       bool isPart) const;
    [[nodiscard]] bool hadBegunAnswer(const EndpointIncarnation &endpoint) const;
    [[nodiscard]] bool wasAtMostCrashes(const Entry &entry) const;
    [[nodiscard]] std::size_t weightOf(const Entry &entry, bool onlyBegun) const;
    [[nodiscard]] std::size_t weightOf(const Entry &entry) const;
    [[nodiscard]] static std::size_t requiredWeight(const Entry &entry);
    [[nodiscard]] static bool wasAtCrashesOf(const Record &one, const Record &other);
    [[nodiscard]] bool isCausedByOther(const EndpointIncarnation &endpoint,
                                       const Entry &entry) const;
    [[nodiscard]] bool isExplainedByOneRequest(const Record &part) const;
    [[nodiscard]] bool areOthersCleared(const Entry &entry) const;
    [[nodiscard]] bool isSufficient(const Entry &entry) const;
    [[nodiscard]] bool appliesTo(const Entry &part,
                                 std::span<const RequestFingerprint> fingerprints) const;
    [[nodiscard]] Entry *nextConvicted(TimePoint now);
    void acquitVictims(TimePoint now);
    /// \}

    std::function<void(const PoisonVerdict &)> verdictCallback_;
    std::vector<PoisonVerdict> newVerdicts_; ///< Not yet reported.
    std::map<RequestFingerprint, Record> records_;
    std::set<RequestFingerprint> quarantinedParts_;
    std::set<RequestFingerprint> partsUnderReview_; ///< With sufficient evidence.
    /// All crashes with requests of known fingerprints.
    std::map<EndpointIncarnation, CrashSummary> allCrashes_;
    std::unordered_map<RequestFingerprint, TimePoint> servedAt_; ///< Recently, by this entry VM.
    AnsweredParts answeredParts_;
    std::vector<Announced<EndpointCrash>> ownCrashes_;
    std::vector<Announced<RequestFingerprint>> ownCleared_;
    std::vector<Announced<RequestFingerprint>> ownVouched_;
    std::map<RequestFingerprint, TimePoint> ownAnswered_; ///< With the start of the answer.
    std::vector<Announced<EndpointIncarnation>> ownRetracted_;
    std::optional<RequestFingerprint>
        lastAnnounced_; ///< Last verdict sent; the next message continues after it.
};

} // namespace cardamombay::serving
