/// \file
/// \brief One request of a caller, from its arrival to its final answer.
/// \details Decides where the request goes, whether it may go on elsewhere after a failure, and
/// what the caller is told. Guards that nothing runs twice that must not, that "not run" is only
/// said where it is so, and that an answer never mixes with another.
#pragma once

#include <cardamombay/net/server_exchange.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/serving/balancer.hpp>
#include <cardamombay/serving/dialects.hpp>
#include <cardamombay/serving/endpoint_gate.hpp>
#include <cardamombay/serving/endpoint_limits.hpp>
#include <cardamombay/serving/poison_pills.hpp>
#include <cardamombay/serving/reservation_coordinator.hpp>

#include <memory>
#include <optional>

namespace cardamombay::serving {

class Gateway;

/// \brief Belongs to the gateway's thread; kept alive by the gateway until it has ended.
class Session final : public net::UpstreamListener, public std::enable_shared_from_this<Session>
{
public:
    Session(Gateway &gateway, net::ServerRequest request,
            std::shared_ptr<net::ServerExchange> exchange);
    ~Session() override;

    void start();

    /// \brief Goes on if it waited for what a process learns at its start.
    void beginWaiting();

    /// \brief Ends the request or the attempt if their time is over.
    void check(TimePoint now);

    /// \brief Counts the endpoint's silence from \p now.
    void restartPatience(TimePoint now) { progressAt_ = std::max(progressAt_, now); }

    /// \brief Tries again to find an endpoint for a request that is held.
    /// \returns false if no endpoint has room for this or any request of its model.
    bool retryHeld();
    [[nodiscard]] bool isHeld() const { return isHeld_; }
    /// \brief True if a send is reserved for the request and may leave now.
    [[nodiscard]] bool hasTurn() const;
    [[nodiscard]] TimePoint arrivedAt() const { return arrivedAt_; }
    /// \brief Rank among requests; 0 is the most urgent.
    [[nodiscard]] std::uint32_t priority() const { return priority_; }
    [[nodiscard]] const ModelName &model() const { return head_.model_; }
    /// \brief The service that it goes to; only of a request that is held.
    [[nodiscard]] const ServiceName &service() const { return service_->name_; }

    /// \brief Ends the request at once, since the process stops.
    void cut();

    /// \brief Leaves \p endpoint, which knows nothing of the request any more.
    void endpointRestarted(const VmId &endpoint);

    /// \brief Ends the request if it is the one that \p verdict is on.
    void quarantined(const PoisonVerdict &verdict);

    /// \name Events of the attempt
    /// \{
    bool onConnected() override;
    void onHead(net::HttpResponse head) override;
    void onData(std::string_view data) override;
    void onEnd(std::string_view rest) override;
    void onFailure(net::UpstreamFailure failure) override;
    /// \}

private:
    /// How an attempt ended that gave no answer.
    enum class Failure {
        NotSent, ///< No byte left.
        Refused, ///< The endpoint says that it did not run the request.
        Unknown, ///< It may have run.
    };
    /// When a caller is asked to come back to another entry VM; its next try reaches one at once.
    static constexpr Duration comeBackElsewhere = std::chrono::milliseconds(60);
    /// A caller of a stream leaves after that long without an event, or after four times the goal
    /// or eight times the longest pause on time, whichever is the longest.
    static constexpr Duration leastCallerPatience = std::chrono::seconds(2);

    /// What the present attempt has done for the caller.
    enum class Phase { Waiting, Streaming, Whole };

    /// \name Admission
    /// \{
    void begin();
    [[nodiscard]] bool admit();
    [[nodiscard]] bool hasWaitedEnough(TimePoint now) const;
    [[nodiscard]] std::optional<std::string_view> hopeless(TimePoint now) const;
    [[nodiscard]] bool refuseQuarantined();
    void refuse(std::uint32_t status, std::string_view reason, std::optional<Duration> comeBack);
    /// \}

    /// \name Attempts
    /// \{
    bool dispatch();
    [[nodiscard]] Choice choose(TimePoint now);
    [[nodiscard]] bool takeRepeat();
    [[nodiscard]] bool moveElsewhere(std::string_view why, TimePoint now);
    void dropBarredReservation(TimePoint now);
    [[nodiscard]] bool reserve(const NeedsReservation &needed, TimePoint now);
    void reservationAnswered();
    [[nodiscard]] bool awaitsReservation(TimePoint now) const;
    [[nodiscard]] Duration holdLeft(TimePoint now) const;
    void send(const Target &target);
    [[nodiscard]] Duration comeBack() const;
    [[nodiscard]] Duration callerPatience() const;
    [[nodiscard]] bool mayHold(TimePoint now) const;
    [[nodiscard]] std::size_t tokensToRead() const;
    void dropAttempt();
    void attemptFailed(Failure failure, std::string_view detail);
    void noteBroken();
    void logFailure(std::string_view detail) const;
    [[nodiscard]] bool mayGoOn(Failure failure) const;
    [[nodiscard]] bool mayRunAgain() const;
    [[nodiscard]] bool isStalled(TimePoint now) const;
    void noteProgress(TimePoint now);
    /// \}

    /// \name The answer
    /// \{
    void noteAnswer(std::uint32_t status, TimePoint now);
    void noteRefusal(bool isWrongPlace, TimePoint now);
    void takeNotices(const AnswerHead &answer, TimePoint now);
    void takeStreamHead(const net::HttpResponse &head);
    void forgetAnswer();
    void noteEvents(TimePoint now);
    void passEvents(std::string_view data);
    void flush();
    void startAnswer();
    void answerWhole(std::string_view rest);
    void endStream(std::string_view rest);
    void giveUp(std::string_view reason);
    void finish(std::string_view outcome, std::string_view reason);
    /// \}

    void callerLeft();
    [[nodiscard]] bool isStream() const { return route_->kind_ == RequestKind::Stream; }
    [[nodiscard]] Duration timeLeft(TimePoint now) const { return until_ - now; }

    Gateway &gateway_;
    net::ServerRequest request_;
    std::shared_ptr<net::ServerExchange> exchange_;
    CallerHead head_;
    TimePoint arrivedAt_;
    TimePoint until_; ///< By then the caller has its final answer.
    std::shared_ptr<const RouteTable> routes_;
    const Route *route_ = nullptr;
    const Service *service_ = nullptr;
    TeamName team_;
    RequestRegions regions_;
    RequestFingerprint fingerprint_;
    std::uint32_t priority_ = 0;

    std::unique_ptr<net::UpstreamCall> call_;
    Target target_;
    Duration viewAge_{};                 ///< Of what was known of the endpoints at the last send.
    std::optional<EndpointLimit> limit_; ///< Of the endpoint, as known at the last send.
    std::unique_ptr<Reservation> reservation_; ///< For the next send.
    bool isReserved_ = false;                  ///< The present attempt had one.
    bool isConnected_ = false;
    TimePoint attemptAt_;
    TimePoint progressAt_;
    std::vector<VmId> tried_;
    std::size_t sends_ = 0;
    std::size_t mayHaveRun_ = 0;         ///< Attempts that may have run.
    std::optional<Duration> retryAfter_; ///< Of endpoints that have reached their limits.
    bool isRepeat_ = false;              ///< The next attempt draws on the fleet's budget.
    bool isWaiting_ = false;             ///< For what this process learns at its start.
    bool isHeld_ = false;                ///< It waits here for room.
    bool wasHeld_ = false;
    bool hasProgress_ = false; ///< Something came from the present attempt.

    Phase phase_ = Phase::Waiting;
    net::HttpResponse answer_; ///< Head and, for whole answers, body so far.
    std::optional<std::uint64_t> lastEvent_;
    std::size_t events_ = 0;
    Duration firstAfter_{};   ///< From arrival to the first event or the whole answer.
    Duration longestPause_{}; ///< Between two events, endpoints that failed included.
    TimePoint eventAt_{};     ///< The last event.
    std::string pending_;     ///< Whole events that wait for the write under way.
    std::string writing_;
    bool isWriting_ = false;
    bool isStreamEnded_ = false;
    bool isDone_ = false;
};

} // namespace cardamombay::serving
