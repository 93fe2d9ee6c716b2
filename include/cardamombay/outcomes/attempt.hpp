/// \file
/// \brief State machine of one attempt to send a request to an endpoint.
/// \details Determines the outcome of the attempt and which parts of the response may be passed on.
/// It performs no I/O: the connection reports events to it, and asks it before sending the request
/// or passing on data. The state machine is defined in charts/attempt.toml. It ensures that a
/// response belongs to its request and is complete, and that "not-run" is reported only for a
/// request that did not run.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <string_view>

namespace cardamombay::outcomes {

class Attempt;

/// \brief The attempt state machine with its actions bound, shared by all attempts.
using AttemptProgramPtr = chart::ProgramPtr<Attempt>;

/// \brief Binds actions to charts/attempt.toml; called once at startup.
[[nodiscard]] Result<AttemptProgramPtr> makeAttemptProgram(const chart::Chart &chart);

/// \brief The parts of a response head that an attempt uses.
struct ResponseHead
{
    std::uint32_t status_ = 0;
    std::string_view attemptId_; ///< As echoed by the endpoint; empty if absent.
    bool isNotRun_ = false;      ///< The head contains notRunHeader.
};

/// \brief Number of dropped response parts, by reason.
struct DroppedAnswers
{
    std::uint32_t late_ = 0;      ///< Arrived after the attempt had ended.
    std::uint32_t crossed_ = 0;   ///< Carried the id of another attempt.
    std::uint32_t missingId_ = 0; ///< Carried no attempt id.
    std::uint32_t duplicate_ = 0;
    std::uint32_t truncated_ = 0; ///< Ended without the end marker or had a gap.

    DroppedAnswers &operator+=(const DroppedAnswers &other);
    friend bool operator==(const DroppedAnswers &, const DroppedAnswers &) = default;
};

/// \brief Result of an attempt.
struct AttemptResult
{
    Outcome outcome_ = Outcome::Unknown;
    Cause cause_ = Cause::None;
    bool mayRetry_ = false;    ///< A retry cannot run a non-idempotent request twice.
    bool needsCancel_ = false; ///< The endpoint may still be running it; cancel it there.
};

/// \brief One attempt to run a request at an endpoint.
/// \code
/// Attempt attempt(program, makeAttemptId(request, 1, incarnation), {.isIdempotent_ = false});
/// attempt.connectStarted();
/// if (attempt.startSending())
///     connection.write(...);
/// attempt.closed();
/// attempt.verdict().outcome_; // Outcome::Unknown
/// \endcode
class Attempt
{
public:
    Attempt(AttemptProgramPtr program, AttemptId id, RequestSafety safety);

    [[nodiscard]] const AttemptId &id() const { return id_; }

    /// \name Events before the response
    /// \{
    void connectStarted() { handle("connect-started"); }
    void connectFailed() { handle("connect-failed"); }

    /// \brief Asks for permission to write the first byte; call right before the write.
    /// \returns true at most once. False if the attempt has ended or sending has already started;
    /// nothing may be written then.
    [[nodiscard]] bool startSending();
    /// \}

    /// \name Events of the response
    /// \{

    /// \brief Handles a response head.
    /// \returns true if the response belongs to this attempt and may be passed on.
    [[nodiscard]] bool takeHead(const ResponseHead &head);

    /// \brief Handles a part of a response body, which carries no attempt id.
    /// \returns true if it may be passed on.
    [[nodiscard]] bool takeData();

    /// \brief Handles a stream event.
    /// \param id the attempt id in the event; empty if absent.
    /// \returns true if it may be passed on.
    [[nodiscard]] bool takeEvent(std::string_view id);

    /// \brief The response is complete: the end marker, or the declared content length, was
    /// received.
    void endMarker() { handle("end-marker"); }

    /// \brief A stream event is missing or the response is malformed.
    void streamBroken() { handle("stream-broken"); }

    /// \brief Counts a repeated event, which is dropped.
    void countDuplicate() { ++dropped_.duplicate_; }
    /// \}

    /// \name Events that end the attempt
    /// \{
    void closed() { handle("closed"); }
    void timedOut() { handle("timed-out"); }
    void callerGone() { handle("caller-gone"); }
    void groupLost() { handle("group-lost"); }
    /// \}

    /// \brief Returns true if the attempt has ended, so that its outcome is final.
    [[nodiscard]] bool isSettled() const { return cause_ != Cause::None; }

    /// \brief Outcome if the attempt ended now.
    [[nodiscard]] Outcome outcome() const;

    /// \brief Result of the attempt; if it has not ended, the result if it ended now.
    [[nodiscard]] AttemptResult verdict() const;

    [[nodiscard]] const DroppedAnswers &dropped() const { return dropped_; }

    /// \brief Status of the accepted response head; zero if none was accepted.
    [[nodiscard]] std::uint32_t status() const { return status_; }

private:
    friend Result<AttemptProgramPtr> makeAttemptProgram(const chart::Chart &chart);

    void handle(std::string_view event);
    void settle();
    void countCrossed();

    AttemptId id_;
    RequestSafety safety_;
    chart::Machine<Attempt> machine_;
    std::string_view event_; ///< The event being handled.
    bool isIdMissing_ = false;
    Cause cause_ = Cause::None;
    bool needsCancel_ = false;
    std::uint32_t status_ = 0;
    DroppedAnswers dropped_;
};

} // namespace cardamombay::outcomes
