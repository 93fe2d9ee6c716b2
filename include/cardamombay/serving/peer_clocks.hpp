/// \file
/// \brief How old a peer's message is, whatever queue it has waited in.
/// \details The clocks of two entry VMs have nothing in common, and a datagram may wait before it
/// is read. A question and its answer bound the difference of two clocks: the peer's reading lies
/// between the question and its answer. From that the earliest moment follows at which a stamped
/// message can have been sent. Guards that nothing old is taken for fresh, such as a configuration
/// whose keys have been revoked since.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief A reading of an entry VM's own clock; means something only to PeerClocks.
struct ClockStamp
{
    Incarnation since_; ///< Start of the process whose clock it is.
    Duration reading_{};

    friend bool operator==(const ClockStamp &, const ClockStamp &) = default;
};

/// \brief What time have you?
struct ClockQuestion
{
    std::string address_; ///< Where the answer goes.
    Duration askedAt_{};  ///< On the asker's clock; comes back in the answer.

    friend bool operator==(const ClockQuestion &, const ClockQuestion &) = default;
};

/// \brief The answer to a question of an entry VM.
struct ClockAnswer
{
    EntryId from_;
    ClockStamp stamp_;
    Duration askedAt_{}; ///< As in the question.

    friend bool operator==(const ClockAnswer &, const ClockAnswer &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const ClockQuestion &question);
[[nodiscard]] std::string encode(const ClockAnswer &answer);
/// \returns nothing if \p text is no such message.
[[nodiscard]] std::optional<ClockQuestion> decodeClockQuestion(std::string_view text);
[[nodiscard]] std::optional<ClockAnswer> decodeClockAnswer(std::string_view text);
/// \}

/// \brief The reading of the clock at \p now.
[[nodiscard]] Duration readingOf(TimePoint now);

/// \brief What one entry VM knows of the clocks of its peers; on the control thread.
/// \code
/// if (clocks.isQuestionDue(peer, stamp.since_, now))
///     send(ClockQuestion{self, readingOf(now)});
/// const auto age = clocks.longestAge(peer, stamp, now); // none before the first answer
/// \endcode
class PeerClocks
{
public:
    /// \brief True if the clock of \p peer is to be asked for; counts as asked from then on.
    [[nodiscard]] bool isQuestionDue(const EntryId &peer, Incarnation since, TimePoint now);

    void take(const ClockAnswer &answer, TimePoint now);

    /// \brief The longest time since \p peer made \p stamp.
    /// \returns nothing if its clock is not known.
    [[nodiscard]] std::optional<Duration> longestAge(const EntryId &peer, const ClockStamp &stamp,
                                                     TimePoint now) const;

    /// \brief Drops what is known of entry VMs that have not been asked for a while.
    void expire(TimePoint now);

private:
    struct Known
    {
        Incarnation since_;
        bool isAnswered_ = false;
        Duration ahead_{};       ///< Own clock less the peer's; the true difference is not smaller.
        TimePoint answeredAt_{}; ///< Of the answer that gave it.
        TimePoint askedAt_{};
    };

    [[nodiscard]] static Duration aheadAt(const Known &known, TimePoint now);

    std::map<EntryId, Known> known_;
};

} // namespace cardamombay::serving
