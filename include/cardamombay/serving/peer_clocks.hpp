/// \file
/// \brief Upper bounds for the age of peers' messages, including the time spent in queues.
/// \details Clocks of two entry VMs are unrelated, and a datagram may be queued before it is read.
/// A question and its answer bound the offset between two clocks, since the peer read its clock
/// between them. The offset gives the earliest time at which a stamped message can have been sent.
/// This prevents stale data from being taken for fresh, such as a configuration whose keys have
/// since been revoked.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief A reading of an entry VM's own clock; only PeerClocks can interpret it.
struct ClockStamp
{
    Incarnation since_; ///< Start of the process that the clock belongs to.
    Duration reading_{};

    friend bool operator==(const ClockStamp &, const ClockStamp &) = default;
};

/// \brief Asks a peer for a reading of its clock.
struct ClockQuestion
{
    std::string address_; ///< Destination of the answer.
    Duration askedAt_{};  ///< On the asking entry VM's clock; returned in the answer.

    friend bool operator==(const ClockQuestion &, const ClockQuestion &) = default;
};

/// \brief Answer to a ClockQuestion.
struct ClockAnswer
{
    EntryId from_;
    ClockStamp stamp_;
    Duration askedAt_{}; ///< Copied from the question.

    friend bool operator==(const ClockAnswer &, const ClockAnswer &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const ClockQuestion &question);
[[nodiscard]] std::string encode(const ClockAnswer &answer);
/// \returns nothing if \p text is not such a message.
[[nodiscard]] std::optional<ClockQuestion> decodeClockQuestion(std::string_view text);
[[nodiscard]] std::optional<ClockAnswer> decodeClockAnswer(std::string_view text);
/// \}

/// \brief The reading of the own clock at \p now.
[[nodiscard]] Duration readingOf(TimePoint now);

/// \brief Estimates of the peers' clocks at one entry VM. Use on the control thread only.
/// \code
/// if (clocks.isQuestionDue(peer, stamp.since_, now))
///     send(ClockQuestion{self, readingOf(now)});
/// const auto age = clocks.maxAge(peer, stamp, now); // none before the first answer
/// \endcode
class PeerClocks
{
public:
    /// \brief True if \p peer should be asked for its clock now; if so, records that it is asked.
    [[nodiscard]] bool isQuestionDue(const EntryId &peer, Incarnation since, TimePoint now);

    void take(const ClockAnswer &answer, TimePoint now);

    /// \brief Upper bound of the time since \p peer made \p stamp.
    /// \returns nothing if the offset of its clock is unknown.
    [[nodiscard]] std::optional<Duration> maxAge(const EntryId &peer, const ClockStamp &stamp,
                                                 TimePoint now) const;

    /// \brief Drops entry VMs that have not been asked for a while.
    void expire(TimePoint now);

private:
    struct Known
    {
        Incarnation since_;
        bool isAnswered_ = false;
        Duration offset_{};      ///< Lower bound of the own clock minus the peer's.
        TimePoint answeredAt_{}; ///< Time of the answer that the bound comes from.
        TimePoint askedAt_{};
    };

    [[nodiscard]] static Duration offsetAt(const Known &known, TimePoint now);

    std::map<EntryId, Known> known_;
};

} // namespace cardamombay::serving
