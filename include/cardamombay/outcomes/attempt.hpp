/// \file
/// \brief One attempt: how far its bytes went and which outcome follows.
/// \details Decides what may be told of a request and what of an answer may be passed on. It does
/// no input or output: the connection tells it what happened and asks before it sends or passes
/// on. The transitions stand in charts/attempt.toml. Guards that an answer belongs to its request
/// and is whole, and that "not run" is said only of what did not run.
#pragma once

#include <cardamombay/chart/machine.hpp>
#include <cardamombay/outcomes/outcome.hpp>

#include <cstdint>
#include <string_view>

namespace cardamombay::outcomes {

class Attempt;

/// \brief The chart of attempts with its code, shared by all attempts.
using AttemptProgramPtr = chart::ProgramPtr<Attempt>;

/// \brief Binds charts/attempt.toml; done once at start.
[[nodiscard]] Result<AttemptProgramPtr> makeAttemptProgram(const chart::Chart &chart);

/// \brief What of a response head concerns the attempt.
struct ResponseHead
{
    std::uint32_t status_ = 0;
    std::string_view attemptId_; ///< Echoed; empty if absent.
    bool isNotRun_ = false;      ///< It carries the not-run header.
};

/// \brief Parts of answers that were not passed on, by kind.
struct DroppedAnswers
{
    std::uint32_t late_ = 0;      ///< Arrived after the attempt was settled.
    std::uint32_t crossed_ = 0;   ///< Of another attempt.
    std::uint32_t missingId_ = 0; ///< Without an attempt id.
    std::uint32_t duplicate_ = 0;
    std::uint32_t truncated_ = 0; ///< Ended without the end marker, or has a gap.

    DroppedAnswers &operator+=(const DroppedAnswers &other);
    friend bool operator==(const DroppedAnswers &, const DroppedAnswers &) = default;
};

/// \brief Result of a settled attempt.
struct AttemptResult
{
    Outcome outcome_ = Outcome::Unknown;
    Cause cause_ = Cause::None;
    bool mayRetry_ = false;    ///< Another attempt cannot run a non-idempotent request twice.
    bool needsCancel_ = false; ///< The endpoint may still work on it: cancel it there.
};

/// \brief State of one attempt.
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

    /// \name Events before the answer
    /// \{
    void connectStarted() { handle("connect-started"); }
    void connectFailed() { handle("connect-failed"); }

    /// \brief Asks whether the first byte may be written; call it right before the write.
    /// \returns true once; false if the attempt is settled or was started already, and then
    /// nothing may be written.
    [[nodiscard]] bool startSending();
    /// \}

    /// \name Events of the answer
    /// \{

    /// \brief Takes a response head.
    /// \returns true if the answer belongs to the attempt and may be passed on.
    [[nodiscard]] bool takeHead(const ResponseHead &head);

    /// \brief Takes a part of a body that carries no attempt id.
    /// \returns true if it may be passed on.
    [[nodiscard]] bool takeData();

    /// \brief Takes a stream event.
    /// \param id the attempt id in the event; empty if absent.
    /// \returns true if it may be passed on.
    [[nodiscard]] bool takeEvent(std::string_view id);

    /// \brief The answer is whole: its end marker came, or the length that its head declared.
    void endMarker() { handle("end-marker"); }

    /// \brief An event is missing or the answer is malformed.
    void streamBroken() { handle("stream-broken"); }

    /// \brief Counts an event that was already passed on.
    void countDuplicate() { ++dropped_.duplicate_; }
    /// \}

    /// \name Events that end the attempt
    /// \{
    void closed() { handle("closed"); }
    void timedOut() { handle("timed-out"); }
    void callerGone() { handle("caller-gone"); }
    void groupLost() { handle("group-lost"); }
    /// \}

    /// \brief True if the outcome does not change any more.
    [[nodiscard]] bool isSettled() const { return cause_ != Cause::None; }

    /// \brief The outcome if nothing else happened.
    [[nodiscard]] Outcome outcome() const;

    /// \brief The result; before the attempt is settled, of stopping now.
    [[nodiscard]] AttemptResult verdict() const;

    [[nodiscard]] const DroppedAnswers &dropped() const { return dropped_; }

    /// \brief Status of the response head; zero if none was accepted.
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
