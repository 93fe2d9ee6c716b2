/// \file
/// \brief One attempt under way: carries bytes between an endpoint and the caller.
/// \details What an event means is decided by outcomes::Attempt and StreamRelay; this class only
/// moves data between the two connections and says when the attempt is over.
#pragma once

#include <cardamombay/outcomes/attempt.hpp>
#include <cardamombay/routing/routing_snapshot.hpp>
#include <cardamombay/traffic/parsed_request.hpp>
#include <cardamombay/traffic/stream_relay.hpp>
#include <cardamombay/traffic/traffic_context.hpp>
#include <traffic/caller_answer.hpp>

#include <memory>

namespace cardamombay::traffic::impl {

/// \brief Where an attempt goes.
struct AttemptPlan
{
    AttemptId id_;
    routing::SnapshotGroup group_;
    std::uint64_t resumeFrom_ = 0;
    TimePoint handOverBefore_{TimePoint::max()}; ///< Of its claim; nothing leaves from then on.
};

/// \brief Why this side stops an attempt.
enum class StopReason { CallerGone, GroupLost, TimedOut };

/// \brief Is told when an attempt is over.
class AttemptOwner
{
public:
    AttemptOwner() = default;
    AttemptOwner(const AttemptOwner &) = delete;
    AttemptOwner &operator=(const AttemptOwner &) = delete;
    virtual ~AttemptOwner() = default;

    /// \brief The attempt is settled and writes nothing to the caller any more.
    virtual void onAttemptOver() = 0;
};

/// \brief One attempt under way.
class AttemptRun final : public net::UpstreamListener,
                         public std::enable_shared_from_this<AttemptRun>
{
public:
    AttemptRun(TrafficContext &context, const ParsedRequest &request, AttemptPlan plan,
               CallerAnswer &answer, StreamRelay &relay, AttemptOwner &owner);

    /// \brief Connects and sends the request.
    /// \param traceparent names the attempt's span.
    void start(std::string traceparent);

    /// \brief Stops the attempt, and cancels it at the engine if it may run there.
    void stop(StopReason reason);

    /// \brief The caller is gone, but the attempt goes on: its answer is kept, not sent.
    void goOnUnheard();

    [[nodiscard]] const outcomes::Attempt &attempt() const { return attempt_; }
    [[nodiscard]] const AttemptPlan &plan() const { return plan_; }
    /// \brief True if the claim ran out before the hand-over, so that nothing left.
    [[nodiscard]] bool isTooLate() const { return isTooLate_; }
    [[nodiscard]] std::uint32_t tokens() const { return tokens_; }
    /// \brief Zero if no token came, or if the answer was not streamed and so shows no first one.
    [[nodiscard]] Duration timeToFirstToken() const { return timeToFirstToken_; }
    /// \brief Mean time between tokens; zero if there were too few to tell.
    [[nodiscard]] Duration timePerToken() const;
    /// \brief For how long a stream that has begun has brought nothing.
    [[nodiscard]] Duration silence(TimePoint now) const;
    [[nodiscard]] Duration retryAfter() const { return retryAfter_; }

    /// \name Events of the connection
    /// \{
    bool onConnected() override;
    void onHead(net::HttpResponse head) override;
    void onData(std::string_view data) override;
    void onEnd(std::string_view rest) override;
    void onFailure(net::UpstreamFailure failure) override;
    /// \}

private:
    [[nodiscard]] net::UpstreamRequest makeRequest(std::string traceparent) const;
    void relayEvents(std::string_view data);
    void writeStep();
    void afterWrite();
    void passThrough(std::string_view data);
    void endPassThrough();
    void takeWholeAnswer(std::string_view body);
    void noteFirstToken();
    void noteTokens(TimePoint now);
    void cancelAtEngine();
    void over();

    TrafficContext &context_;
    const ParsedRequest &request_;
    AttemptPlan plan_;
    CallerAnswer &answer_;
    StreamRelay &relay_;
    AttemptOwner &owner_;
    outcomes::Attempt attempt_;
    std::unique_ptr<net::UpstreamCall> call_;
    net::HttpResponse head_;
    TimePoint startedAt_{};
    TimePoint lastDataAt_{};
    Duration timeToFirstToken_{};
    Duration retryAfter_{};
    Duration tokenTime_{}; ///< Waited for the tokens behind the first.
    std::uint32_t timedTokens_ = 0;
    std::uint32_t tokens_ = 0;
    RelayStep step_; ///< Being written to the caller.
    bool isEventStream_ = false;
    bool isPassedThrough_ = false;
    bool isWriting_ = false;
    bool isUnheard_ = false;
    bool hasConnectionEnded_ = false;
    bool isCancelled_ = false;
    bool isTooLate_ = false;
    bool isOver_ = false;
};

} // namespace cardamombay::traffic::impl
