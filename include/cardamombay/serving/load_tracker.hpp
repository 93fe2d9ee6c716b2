/// \file
/// \brief Tracks the load and progress of requests at each endpoint.
/// \details Detects stalled endpoints: an endpoint with requests in progress that has sent nothing
/// for longer than a healthy one ever pauses. A stalled endpoint gets no new requests for a while,
/// then a single trial request.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>
#include <cardamombay/serving/endpoint_paths.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamombay::serving {

/// \brief Requests in progress by endpoint. Not thread-safe.
class LoadTracker final : public EndpointWitness
{
public:
    /// A group that fails one request is avoided at once, since another group usually serves as
    /// well.
    static constexpr double groupErrorWeight = 0.4;
    /// Some requests to plain services fail at any endpoint, so an endpoint is only avoided after
    /// four consecutive failures.
    static constexpr double plainErrorWeight = 0.12;

    /// \brief Number of an attempt in the order of sending; 0 if unknown.
    using SendNumber = std::uint64_t;

    /// \name Attempt events
    /// \{
    /// \param promptTokens tokens that the endpoint has to prefill.
    /// \returns the number of the attempt, for broke(), answered() and ended().
    SendNumber started(const VmId &endpoint, std::size_t promptTokens, TimePoint now);
    /// \brief The endpoint sent data: a response head, an event or a complete response.
    void progressed(const VmId &endpoint, TimePoint now);
    /// \param send the attempt; if it was a retry after broken attempts, the next one may follow.
    void ended(const VmId &endpoint, SendNumber send = 0);
    /// \brief The connection broke before the answer was complete.
    void broke(const VmId &endpoint, SendNumber send, TimePoint now);
    /// \brief The endpoint sent part of an answer. Clears the broken attempts if \p send was sent
    /// after the last of them.
    void answered(const VmId &endpoint, SendNumber send);
    /// \brief The endpoint completed a response without an error of its own.
    void succeeded(const VmId &endpoint);
    /// \brief The endpoint responded with an error of its own; it is avoided if errors are
    /// frequent.
    /// \param weight weight of this response in the error rate.
    void erred(const VmId &endpoint, double weight, TimePoint now);
    /// \brief An attempt at the endpoint failed.
    void failed(const VmId &endpoint, TimePoint now);
    /// \brief A stream paused for longer than it ever does at a healthy endpoint.
    void stalled(const VmId &endpoint, TimePoint now);
    /// \brief The endpoint's process crashed. This incarnation gets no further requests.
    void crashed(const EndpointIncarnation &endpoint, TimePoint now);
    /// \brief A peer reports that the endpoint's process crashed. Holds until data of the endpoint
    /// shows otherwise.
    void reportedCrashed(const EndpointIncarnation &endpoint, TimePoint now);
    /// \brief This entry VM only could not reach the endpoint, which it took for crashed.
    void retractCrash(const VmId &endpoint);
    /// \brief A peer withdraws its report.
    void crashRetracted(const EndpointIncarnation &endpoint);
    /// \brief Clears all failures of the endpoint that were observed here: they were not its own.
    void exonerate(const VmId &endpoint);
    /// \brief The endpoint restarted: clears its pending prompt tokens and failures.
    void restarted(const VmId &endpoint, TimePoint now);
    /// \brief The endpoint is a member of another group than before, so that attempts that broke in
    /// the earlier one say little about it. A further broken attempt leads to avoidance at once.
    void regrouped(const VmId &endpoint);
    /// \}

    /// \brief Load reported by a peer, and the endpoints that are stalled there.
    struct PeerLoad
    {
        std::unordered_map<VmId, std::size_t> counts_;
        std::unordered_map<VmId, std::size_t> sent_; ///< Prompt tokens sent since the peer started.
        std::vector<VmId> silent_;
        TimePoint at_{};
        std::size_t entries_ = 1; ///< Number of entry VMs in this sum.
        /// Entry VMs that receive data from an endpoint.
        std::unordered_map<VmId, std::size_t> heard_{};
        /// Entry VMs that avoid an endpoint because it breaks new requests.
        std::unordered_map<VmId, std::size_t> failing_{};
        /// Endpoints that entry VMs cannot reach and inquire about.
        std::vector<VmId> inquired_{};
        /// Endpoints that entry VMs have heard since others inquired about them.
        std::vector<VmId> witnessed_{};
    };

    /// \brief Replaces the last report of a peer.
    void setPeerLoad(const std::string &peer, PeerLoad load);

    /// \brief Drops the reports of all peers, since later ones come from other senders.
    void forgetPeers() { peers_.clear(); }

    /// \brief Removes idle endpoints, outdated peer reports and old crashes.
    void expire(TimePoint now);

    /// \name State
    /// \{
    /// \brief Requests of this entry VM in progress at the endpoint.
    [[nodiscard]] std::size_t ownRequests(const VmId &endpoint) const;
    /// \brief Known requests of all entry VMs in progress at the endpoint.
    [[nodiscard]] std::size_t totalRequests(const VmId &endpoint) const;
    /// \brief Prompt tokens of all entry VMs that the endpoint has yet to prefill, assuming it
    /// processes \p tokensPerSecond.
    [[nodiscard]] double pendingPromptTokens(const VmId &endpoint, double tokensPerSecond,
                                             TimePoint now) const;
    /// \brief Endpoints that stalled at this entry VM and have sent nothing since.
    [[nodiscard]] std::vector<VmId> locallyStalled() const;
    /// \brief Endpoints with stalled streams at this entry VM or a peer that no entry VM receives
    /// data from.
    [[nodiscard]] std::vector<VmId> stalledEverywhere(TimePoint now) const;
    /// \brief Endpoints that have recently sent data to requests still in progress.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> locallyActive(TimePoint now) const;
    /// \brief False while the endpoint is avoided after a failure or on trial.
    [[nodiscard]] bool isUsable(const VmId &endpoint, TimePoint now) const;
    /// \brief True while the endpoint is avoided because it breaks new requests: here, until one
    /// retry is answered, or at two or more other entry VMs.
    [[nodiscard]] bool isBreaking(const VmId &endpoint, TimePoint now) const;
    /// \brief Endpoints that this entry VM avoids because they break new requests, each with the
    /// count 1; reported to peers.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> locallyFailing(TimePoint now) const;
    /// \brief Why an endpoint is avoided because it breaks new requests.
    struct Breaking
    {
        bool isOwn_ = false;              ///< Enough attempts of this entry VM broke.
        std::size_t breaks_ = 0;          ///< Broken attempts in a row at this entry VM.
        std::size_t reports_ = 0;         ///< Other entry VMs that reported it.
        std::vector<std::string> toldBy_; ///< Peers whose digests or sums contain these reports.
    };
    /// \brief Endpoints that broke too many attempts here, until one is answered, or that enough
    /// peers report; for logs and metrics.
    [[nodiscard]] std::map<VmId, Breaking> breakingEndpoints(TimePoint now) const;
    /// \brief True if this incarnation of the endpoint is known to have crashed.
    [[nodiscard]] bool hasCrashed(const VmId &endpoint, std::uint64_t startedAt) const;
    /// \brief The incarnation of the endpoint that this entry VM itself took for crashed lately.
    [[nodiscard]] std::optional<EndpointIncarnation> observedCrash(const VmId &endpoint) const;
    /// \brief When the endpoint last sent data; the epoch if never.
    [[nodiscard]] TimePoint lastProgressAt(const VmId &endpoint) const;
    /// \brief Endpoints that were heard here lately, and since peers inquired about them or
    /// reported their crash. Leaves out those that have just restarted: peers may not know of the
    /// restart yet, and the earlier incarnation may have crashed.
    [[nodiscard]] std::vector<VmId> locallyWitnessed(TimePoint now) const;
    /// \name EndpointWitness
    /// \{
    [[nodiscard]] bool wasHeardElsewhere(const VmId &endpoint, TimePoint since,
                                         TimePoint now) const override;
    [[nodiscard]] bool hasReports(TimePoint now) const override;
    /// \}
    /// \brief Number of other entry VMs whose counts are known.
    [[nodiscard]] std::size_t peerCount() const;
    /// \brief Requests of this entry VM by endpoint, reported to peers.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> ownRequestCounts() const;
    /// \brief Prompt tokens sent since this process started, reported to peers; only endpoints that
    /// received some recently.
    [[nodiscard]] std::unordered_map<VmId, std::size_t> ownSentTokens(TimePoint now) const;
    /// \}

private:
    /// A working group sends data to its streams within one pass; a long pass takes 200 ms. The
    /// detection of a lost engine with streams from several entry VMs is delayed by the same time.
    static constexpr Duration activityWindow = std::chrono::milliseconds(250);
    /// Digests arrive every 100 ms and sums slightly later; older reports do not prove that an
    /// endpoint is working or failing.
    static constexpr Duration maxReportAge = std::chrono::milliseconds(400);
    /// Answers that had arrived before a crash are read within this time.
    static constexpr Duration lateDataPeriod = std::chrono::milliseconds(50);

    struct Entry
    {
        std::size_t ownRequests_ = 0;
        std::size_t sent_ = 0; ///< Prompt tokens sent since this process started.
        TimePoint sentAt_{};
        double pendingTokens_ = 0; ///< Pending prompt tokens of all entry VMs as of pendingAsOf_.
        TimePoint pendingAsOf_{};
        double prefillTokensPerSecond_ = 0; ///< Last rate passed to pendingPromptTokens().
        TimePoint progressedAt_{};
        TimePoint avoidUntil_{};
        double failures_ = 0; ///< Decaying count; a success subtracts part of a failure.
        double errorRate_ = 0;
        bool isOnTrial_ = false;
        bool isStalled_ = false;
        std::size_t breaks_ = 0;     ///< Broken attempts in a row.
        SendNumber brokenAfter_ = 0; ///< Last attempt sent before the last break or restart.
        TimePoint brokeAt_{};
        TimePoint brokenUntil_{}; ///< The endpoint gets no requests until then.
        SendNumber retry_ = 0;    ///< The retry in progress after brokenUntil_; 0 if none.
    };
    [[nodiscard]] std::size_t failingElsewhere(const VmId &endpoint, TimePoint now) const;
    [[nodiscard]] bool isActiveAnywhere(const VmId &endpoint, TimePoint now) const;
    void inquire(const VmId &endpoint, TimePoint now);
    void refuteCrashes(std::span<const VmId> witnessed);
    static void addPendingTokens(Entry &entry, double tokens, TimePoint now);

    /// Mutable because pendingPromptTokens() updates the token count and rate.
    mutable std::unordered_map<VmId, Entry> entries_;
    struct Crash
    {
        std::uint64_t startedAt_ = 0; ///< Start time of the crashed incarnation.
        TimePoint at_{};              ///< Last evidence.
        TimePoint firstAt_{};         ///< First evidence.
        bool isReported_ = false;     ///< Only peers observed it.
        bool isRefuted_ = false;      ///< The endpoint has sent data since.
    };
    std::unordered_map<VmId, Crash> crashed_;
    SendNumber sends_ = 0; ///< Attempts sent so far, to all endpoints.
    std::map<std::string, PeerLoad> peers_;
    struct Inquiry
    {
        TimePoint since_;
        TimePoint repeatedAt_;
    };
    std::unordered_map<VmId, Inquiry> inquiries_;     ///< Of peers.
    std::unordered_map<VmId, TimePoint> restartedAt_; ///< Recent restarts.
};

} // namespace cardamombay::serving
