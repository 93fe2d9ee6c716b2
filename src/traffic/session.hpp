/// \file
/// \brief One request from its arrival to its answer.
/// \details Orders the steps: claim, admission, routing, attempts, retries. The decisions are those
/// of the modules it asks. It does no input or output of its own; with fakes at the interfaces and
/// a paused clock it runs in a test as it does in the daemon. Guards that a caller is told the
/// outcome once, and never "not run" after an attempt that may have run.
#pragma once

#include <cardamombay/traffic/parsed_request.hpp>
#include <cardamombay/traffic/traffic_context.hpp>
#include <traffic/attempt_run.hpp>
#include <traffic/caller_answer.hpp>
#include <traffic/group_watch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cardamombay::traffic::impl {

/// \brief One request; lives on its traffic thread.
class Session final : public AttemptOwner, public std::enable_shared_from_this<Session>
{
public:
    /// \param context shared parts of the thread.
    /// \param request what the caller asks.
    /// \param exchange how it is answered.
    /// \param closed called once, later, when the session is over.
    Session(TrafficContext &context, ParsedRequest request,
            std::shared_ptr<net::ServerExchange> exchange, std::function<void(Session *)> closed);

    void start();

    /// \brief Stops the attempt if its group may not serve any longer or its stream has stalled.
    void checkGroup(const GroupWatch &watch, TimePoint now);

    /// \brief Ends the session now and tells the caller, at the limit of a shutdown.
    void cut();

private:
    /// \name Steps
    /// \{
    void claim();
    void takeClaim(const ClaimAnswer &answer);
    void admit();
    void takeAdmission(const AdmissionAnswer &answer);
    void attempt();
    void startAttempt(const routing::SnapshotGroup &group);
    void endWithoutGroup(const RouteChoice &choice);
    void onAttemptOver() override;
    void decideNext(const outcomes::AttemptResult &verdict);
    void retry(const outcomes::AttemptResult &verdict);
    void retryLater(Duration delay);
    void giveUp(const outcomes::AttemptResult &verdict, Duration retryAfter);
    /// \}

    /// \name Events
    /// \{
    void callerGone();
    void deadlinePassed();
    void endNow(StopReason reason, const Problem &problem);
    /// \}

    void fail(const Problem &problem);
    void close();
    void completeClaim();
    /// \brief Keeps a decision until the end of the session, which tells whether it is recorded.
    void note(std::string_view event, std::string_view choice, std::vector<Detail> inputs);
    void recordDecisions();
    void accountAttempt(const outcomes::AttemptResult &verdict);
    [[nodiscard]] bool canResume(const outcomes::AttemptResult &verdict) const;
    [[nodiscard]] outcomes::Outcome overallOutcome() const;
    [[nodiscard]] TimePoint now() const { return context_.clock_.now(); }
    /// \brief Runs \p step later on this thread unless the session is over by then.
    [[nodiscard]] std::function<void()> guarded(void (Session::*step)());

    TrafficContext &context_;
    ParsedRequest request_;
    CallerAnswer answer_;
    std::function<void(Session *)> closed_;
    TimePoint startedAt_;
    trace::Span span_;
    trace::Span stepSpan_; ///< Claim, admission or attempt.
    std::optional<StreamRelay> relay_;
    endpoint::ModelSpec model_; ///< Of the group that the stream began with.
    std::shared_ptr<AttemptRun> run_;
    std::vector<GroupId> tried_;
    TimerId deadlineTimer_ = TimerId::None;
    TimerId retryTimer_ = TimerId::None;
    TimePoint groupMissingSince_{TimePoint::max()};
    TimePoint handOverBefore_{TimePoint::max()}; ///< Of the granted claim.
    std::uint32_t attempts_ = 0;
    std::uint32_t resumes_ = 0;
    outcomes::AttemptResult lastVerdict_{outcomes::Outcome::NotRun};
    std::optional<Problem> endProblem_; ///< Set when this side ends the session.
    std::vector<DecisionRecord> decisions_;
    bool isEventful_ = false; ///< Refused, failed, retried or resumed.
    bool mayHaveRun_ = false;
    bool hasRun_ = false;
    bool hasClaim_ = false;
    bool isAdmitted_ = false;
    bool isCallerGone_ = false;
    bool isClosed_ = false;
};

} // namespace cardamombay::traffic::impl
