/// \file
/// \brief Decides which requests are poison pills: requests that end the endpoints that run them.
/// \details An endpoint that ends takes all its requests with it, so one end proves nothing about
/// any of them. A request that was under way at several ends, and was never served in between, is
/// the cause. It is quarantined: no entry VM sends it any more, so that other callers keep their
/// endpoints. Entry VMs tell each other what they saw, and each comes to the same verdict by
/// itself. Does no I/O; guards that nobody is quarantined for what happened at one or two
/// endpoints.
#pragma once

#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/crash_detector.hpp>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief A request that is quarantined.
struct PoisonVerdict
{
    RequestFingerprint request_;
    Duration left_{}; ///< Until it may be tried again.

    friend bool operator==(const PoisonVerdict &, const PoisonVerdict &) = default;
};

/// \brief What an entry VM tells the others.
struct PoisonNews
{
    /// Requests that were under way at endpoints that ended just now.
    std::map<EndpointIncarnation, std::vector<RequestAtCrash>> crashes_;
    std::vector<PoisonVerdict> verdicts_; ///< Some of those in force, all of them in turn.
    /// Requests that were served, or whose quarantine was lifted, just now.
    std::vector<RequestFingerprint> cleared_;

    [[nodiscard]] bool isEmpty() const;
    friend bool operator==(const PoisonNews &, const PoisonNews &) = default;
};

/// \brief Adds what \p from tells; a crash that both tell of is one.
void mergeUpdates(PoisonNews &into, const PoisonNews &from);

/// \brief Evidence and verdicts of one entry VM; belongs to the gateway's thread.
/// \code
/// pills.endpointCrashed(crash, now);
/// if (const auto left = pills.quarantinedFor(fingerprint, now))
///     refuse(*left);
/// \endcode
class PoisonPills
{
public:
    /// \brief How long a first verdict holds; each further one on the same request twice as long.
    static constexpr Duration firstQuarantine = std::chrono::minutes(10);

    /// \brief Called with each new verdict.
    void onVerdict(std::function<void(const PoisonVerdict &)> action)
    {
        quarantined_ = std::move(action);
    }

    /// \name News
    /// \{
    /// \brief An endpoint ended under requests from here.
    void endpointCrashed(const EndpointCrash &crash, TimePoint now);
    /// \brief A request was answered whole, so it does not end endpoints. What others ask for with
    /// the same content is under way at many endpoints, and a rack that fails ends several at once.
    void served(const RequestFingerprint &request, TimePoint now);
    /// \brief Takes what a peer tells.
    void take(const PoisonNews &news, TimePoint now);
    /// \brief Takes a verdict that was kept over a restart.
    void restore(const RequestFingerprint &request, TimePoint now);
    /// \brief An operator ends a quarantine.
    void lift(const RequestFingerprint &request, TimePoint now) { clear(request, now, true); }
    /// \brief Drops what is old. Call with each digest.
    void expire(TimePoint now);
    /// \}

    /// \name State
    /// \{
    /// \brief Time until a quarantined request may be tried again; nothing for all others.
    [[nodiscard]] std::optional<Duration> quarantinedFor(const RequestFingerprint &request,
                                                         TimePoint now) const;
    /// \brief True if an endpoint has ended under the request and it was not served since.
    [[nodiscard]] bool isSuspect(const RequestFingerprint &request) const;
    /// \brief Requests that are quarantined, with the endpoints that ended under them.
    [[nodiscard]] std::map<RequestFingerprint, std::vector<EndpointIncarnation>>
    quarantined(TimePoint now) const;
    /// \brief News for the peers, told several times since datagrams are lost.
    [[nodiscard]] PoisonNews news(TimePoint now);
    [[nodiscard]] std::size_t suspects() const { return records_.size(); }
    /// \}

private:
    struct Record
    {
        std::map<EndpointIncarnation, bool> crashes_; ///< True if the endpoint had begun to answer.
        std::vector<EndpointIncarnation> ignored_;    ///< Ends before the request was served.
        TimePoint seenAt_{};
        TimePoint until_{}; ///< End of the quarantine; the epoch if there was none.
        TimePoint clearedAt_{};
        std::size_t verdicts_ = 0;
    };
    template<typename Value>
    struct Told
    {
        Value value_;
        TimePoint at_{};
    };

    [[nodiscard]] bool wasServedLately(const RequestFingerprint &request, TimePoint now) const;
    void tellCleared(const RequestFingerprint &request, TimePoint now);
    void note(const EndpointIncarnation &endpoint, const RequestAtCrash &request, TimePoint now);
    void takeVerdict(const PoisonVerdict &verdict, TimePoint now);
    void quarantine(const RequestFingerprint &request, Record &record, Duration time,
                    TimePoint now);
    bool clear(const RequestFingerprint &request, TimePoint now, bool isLifted);
    void makeRoom();

    std::function<void(const PoisonVerdict &)> quarantined_;
    std::map<RequestFingerprint, Record> records_;
    std::unordered_map<RequestFingerprint, TimePoint> servedAt_; ///< Lately, here.
    std::vector<Told<EndpointCrash>> ownCrashes_;
    std::vector<Told<RequestFingerprint>> ownCleared_;
    std::optional<RequestFingerprint> lastTold_; ///< Verdict, for the turn of the next ones.
};

} // namespace cardamombay::serving
