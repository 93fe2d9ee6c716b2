/// \file
/// \brief Handles one request of a caller from arrival to final answer.
/// \details Selects the endpoint, decides whether to retry after a failure, and produces the
/// answer. Guarantees that a non-idempotent request never runs twice, that "not run" is reported
/// only if no attempt can have run, and that answers of different attempts are never mixed.
#pragma once

#include <cardamombay/net/server_exchange.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/answer_buffers.hpp>
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/caller_buffers.hpp>
#include <cardamombay/serving/carriers.hpp>
#include <cardamombay/serving/dialect.hpp>
#include <cardamombay/serving/endpoint_gate.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/overload_control.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>

namespace cardamombay::serving {

class Gateway;

/// \brief Where a request comes from.
struct RequestOrigin
{
    bool isRelayed_ = false;    ///< From another entry VM, which has admitted and counted it.
    std::size_t priorRuns_ = 0; ///< Attempts of that entry VM that may have run.
};

/// \brief A request in progress. Runs on the gateway's thread; the gateway owns it until it ends.
class Session final : public net::UpstreamListener, public std::enable_shared_from_this<Session>
{
public:
    /// \param number position among the sessions of the gateway, in order of arrival.
    Session(Gateway &gateway, std::uint64_t number, net::ServerRequest request,
            std::shared_ptr<net::ServerExchange> exchange, RequestOrigin origin = {});
    ~Session() override;

    void start();

    /// \brief Resumes a request that was waiting for the startup of this process.
    void resumeAfterStartup();

    /// \brief Handles time-outs and stalls of the request and its current attempt.
    void check(TimePoint now);

    /// \brief Does not count \p pause, during which this process did not run, as silence of the
    /// endpoint.
    void excludePause(Duration pause, TimePoint now)
    {
        progressAt_ = std::min(now, progressAt_ + pause);
    }

    /// \brief Tries again to dispatch a held request.
    /// \returns false if no endpoint has capacity for this or any other request of its model.
    bool retryHeld();
    [[nodiscard]] bool isHeld() const { return isHeld_; }
    /// \brief True if the request holds a reservation that may be used now.
    [[nodiscard]] bool hasOpenReservation() const;
    [[nodiscard]] std::uint64_t number() const { return number_; }
    /// \brief Priority; 0 is the highest.
    [[nodiscard]] std::uint32_t priority() const { return priority_; }
    [[nodiscard]] const ModelName &model() const { return head_.model_; }
    /// \brief The target service. Valid only while the request is held.
    [[nodiscard]] const ServiceName &service() const { return service_->name_; }

    /// \brief The request as the queue sees it.
    [[nodiscard]] overload::HeldRequest heldRequest() const;
    /// \brief True if a service under overload control serves it.
    [[nodiscard]] bool isControlled() const { return controlled_.has_value(); }
    /// \brief Admission properties of a controlled request.
    [[nodiscard]] const ControlledRequest &controlled() const { return *controlled_; }
    /// \brief Refuses a held request in favour of a more urgent one.
    void displace();

    /// \brief Ends the request immediately because the process is shutting down.
    void terminate();

    /// \brief Fails the current attempt if it is at \p endpoint, whose restart lost the request.
    void endpointRestarted(const VmId &endpoint);

    /// \brief Ends the request if it is quarantined and no answer has started.
    void endIfQuarantined();

    /// \name Events of the attempt
    /// \{
    bool onConnected() override;
    void onHead(net::HttpResponse head) override;
    void onData(std::string_view data) override;
    void onEnd(std::string_view rest) override;
    void onFailure(net::UpstreamFailure failure) override;
    /// \}

private:
    /// A wait as forecast, and the longest that is of use.
    struct WaitForecast
    {
        Duration wait_{};
        Duration useful_{};
    };
    /// How an attempt without a usable answer failed.
    enum class Failure {
        NotSent, ///< No byte of the request was sent.
        Refused, ///< The endpoint reports that it did not run the request.
        Unknown, ///< It may have run.
    };
    /// Retry delay for callers that should use another entry VM; short, since their next attempt
    /// reaches a different one.
    static constexpr Duration otherEntryRetryDelay = std::chrono::milliseconds(60);
    /// Callers of a stream disconnect after this time without an event, or after four times the
    /// latency goal or eight times the goal for pauses, whichever is longest.
    static constexpr Duration minCallerPatience = std::chrono::seconds(2);

    /// State of the answer of the current attempt.
    enum class Phase { Waiting, Streaming, Buffered };

    /// \name Admission
    /// \{
    void begin();
    [[nodiscard]] bool admit();
    [[nodiscard]] bool admitKey();
    [[nodiscard]] bool isStartupWaitOver(TimePoint now) const;
    [[nodiscard]] std::optional<std::string_view> rejectionReason(TimePoint now) const;
    [[nodiscard]] std::optional<Duration> quarantineLeft() const;
    [[nodiscard]] bool refuseQuarantined();
    [[nodiscard]] bool admitUnderLoad();
    void refuseForLoad(std::string_view reason);
    void claimAnswered(bool isGranted, std::string_view reason);
    void refuseNow(std::string_view reason);
    [[nodiscard]] bool mayRefuseForLoad() const;
    [[nodiscard]] Duration usefulWait(TimePoint now) const;
    [[nodiscard]] bool waitsInVain(TimePoint now);
    [[nodiscard]] bool holdForRoom(TimePoint now);
    [[nodiscard]] bool openBufferShare();
    void refuse(std::uint32_t status, std::string_view reason, std::optional<Duration> retryAfter);
    /// \}

    /// \name Attempts
    /// \{
    bool dispatch();
    [[nodiscard]] Choice choose(TimePoint now);
    [[nodiscard]] bool acquireRetry();
    [[nodiscard]] bool moveToOtherEndpoint(std::string_view why, TimePoint now);
    void dropUnusableReservation(TimePoint now);
    [[nodiscard]] bool reserve(const NeedsReservation &needed, TimePoint now);
    void reservationAnswered();
    [[nodiscard]] bool awaitsReservation(TimePoint now) const;
    [[nodiscard]] Duration holdLeft(TimePoint now) const;
    void send(const Target &target);
    void beginAttempt(TimePoint now);
    void startCall(net::UpstreamRequest upstream);
    [[nodiscard]] Duration retryDelay() const;
    [[nodiscard]] Duration callerPatience() const;
    [[nodiscard]] bool mayHold(TimePoint now) const;
    [[nodiscard]] std::size_t prefillTokens() const;
    void dropAttempt();
    void attemptFailed(Failure failure, std::string_view detail);
    [[nodiscard]] PathTarget pathTarget() const;
    void reportBrokenAttempt();
    void recordBrokenAttempt(TimePoint now);
    void logFailure(std::string_view detail) const;
    void appendForecast(std::vector<Detail> &details) const;
    [[nodiscard]] bool mayRetry(Failure failure) const;
    [[nodiscard]] bool isSafeToRetry() const;
    [[nodiscard]] bool isStalled(TimePoint now) const;
    void recordProgress(TimePoint now);
    /// \}

    /// \name Relays to other entry VMs
    /// \{
    [[nodiscard]] bool mayAwaitRelay(TimePoint now) const;
    [[nodiscard]] bool mayRelay() const;
    [[nodiscard]] bool relay(TimePoint now);
    void relayTo(const Carrier &peer, TimePoint now);
    void onRelayedHead(net::HttpResponse head);
    void relayFailed(const net::UpstreamFailure &failure);
    [[nodiscard]] bool refuseWithoutPaths();
    /// \}

    /// \name The answer
    /// \{
    void takeHead(net::HttpResponse head, bool isSealed);
    void recordAnswerData(TimePoint now);
    void recordAnswerStatus(std::uint32_t status, TimePoint now);
    void recordRefusal(bool isWrongPlace, TimePoint now);
    void recordNotices(const EndpointResponseHead &answer, TimePoint now);
    void takeStreamHead(const net::HttpResponse &head);
    void discardAnswer();
    void recordError(TimePoint now);
    [[nodiscard]] bool holdAnswer(std::size_t bytes, std::size_t limit);
    void recordEvents(TimePoint now);
    void reportAnsweredParts(TimePoint now);
    [[nodiscard]] bool mayReadOn() const;
    void readOnOrPause(std::size_t size);
    void resumeReading();
    void updateBufferShare();
    void forwardEvents(std::string_view data);
    void flush();
    [[nodiscard]] std::vector<net::HttpField> answerFields() const;
    void sendStreamHead();
    void sendBufferedAnswer(std::string_view rest);
    void endStream(std::string_view rest);
    void giveUp(std::string_view reason);
    void finish(std::string_view outcome, std::string_view reason);
    /// \}

    void callerLeft();
    [[nodiscard]] bool isStream() const { return route_->kind_ == RequestKind::Stream; }
    [[nodiscard]] Duration timeLeft(TimePoint now) const { return deadline_ - now; }

    Gateway &gateway_;
    std::uint64_t number_;
    net::ServerRequest request_; ///< Without its body.
    SharedBytes body_;           ///< Of the request; its attempts share it.
    std::shared_ptr<net::ServerExchange> exchange_;
    RequestOrigin origin_;
    RequestHead head_;
    TimePoint arrivedAt_;
    TimePoint deadline_; ///< Time by which the caller gets its final answer.
    std::shared_ptr<const RouteTable> routes_;
    const Route *route_ = nullptr;
    const Service *service_ = nullptr;
    TeamName team_;
    RequestRegions regions_;
    RequestFingerprint fingerprint_; ///< Of the content.
    /// That of the content and those of the shared parts of the prompt.
    std::vector<RequestFingerprint> fingerprints_;
    std::uint32_t priority_ = 0;
    std::optional<ControlledRequest> controlled_; ///< Set for services under overload control.
    /// Last forecast of the wait for room and the longest wait that was of use; absent if none was
    /// made, as for a request that the level refuses on arrival.
    std::optional<WaitForecast> forecast_;

    std::unique_ptr<net::UpstreamCall> call_;
    Target target_;
    Duration viewAge_{};                       ///< Age of the endpoint data used for the last send.
    std::optional<EndpointLimit> limit_;       ///< Rate limit of the endpoint at the last send.
    std::unique_ptr<Reservation> reservation_; ///< Reservation for the next send.
    std::optional<Carrier> carrier_;           ///< Entry VM that carries the last attempt, if any.
    std::vector<EntryId> triedPeers_;
    std::size_t relays_ = 0;
    bool isReserved_ = false; ///< The current attempt used a reservation.
    bool isConnected_ = false;
    LoadTracker::SendNumber send_ = 0; ///< Number of the current attempt.
    TimePoint attemptAt_;
    TimePoint progressAt_;
    std::vector<VmId> tried_;
    std::size_t sends_ = 0;
    std::size_t possibleRuns_ = 0;       ///< Attempts that may have run.
    std::optional<Duration> retryAfter_; ///< Until endpoints at their limits accept again.
    bool needsRetryBudget_ = false;      ///< The next attempt consumes the fleet's budget.
    bool awaitsStartup_ = false;         ///< Waits until this process has started up.
    bool wasClaimAsked_ = false;         ///< The owner was asked about its return.
    bool awaitsClaim_ = false;           ///< Waits for the answer about its return.
    bool isHeld_ = false;                ///< Waits for capacity.
    bool wasHeld_ = false;
    bool hasProgress_ = false; ///< The current attempt has received data.
    bool hasHead_ = false;     ///< The current attempt has received the head of an answer.
    /// Time of the first event of the current attempt, or of the head of another answer.
    TimePoint answerBegunAt_{};
    bool isAnswerReported_ = false; ///< The parts of the prompt were reported as answered.

    Phase phase_ = Phase::Waiting;
    net::HttpResponse answer_; ///< Head and, if buffered, the body so far.
    std::optional<std::uint64_t> lastEventId_;
    std::size_t events_ = 0;
    Duration firstEventDelay_{}; ///< From arrival to the first event or the complete answer.
    Duration maxEventGap_{};     ///< Longest gap between events, including failovers.
    TimePoint lastEventAt_{};    ///< Time of the last event.
    std::string pending_;        ///< Complete events that wait for the current write.
    std::string writing_;
    std::optional<BufferShare> bufferShare_; ///< Of a stream that was admitted.
    std::optional<AnswerShare> answerShare_; ///< Of the current attempt, once it has data.
    bool isReadingPaused_ = false; ///< The endpoint is not read, since the caller does not read.
    std::size_t unconsumed_ = 0;   ///< Bytes to consume when reading resumes.
    bool isWriting_ = false;
    bool isStreamEnded_ = false;
    bool isDone_ = false;
};

} // namespace cardamombay::serving
