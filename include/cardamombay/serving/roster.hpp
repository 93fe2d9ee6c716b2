/// \file
/// \brief Finds where two entry VMs know different peers, without telling each other all of them.
/// \details Entry VMs fall into buckets by the hash of their names, and each bucket has a sum. Who
/// has the same total knows the same entry VMs; otherwise the buckets with other sums are told
/// whole. Decides nothing about who is alive.
#pragma once

#include <cardamombay/serving/peer_digests.hpp>

#include <array>
#include <bitset>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief Sums of the seats of some entry VMs.
/// \code
/// if (RosterSums(known).total() != told.rosterTotal_)
///     askForDifferences();
/// \endcode
class RosterSums
{
public:
    /// A bucket of a fleet of thousands holds some ten entry VMs, which fit into one datagram.
    static constexpr std::size_t bucketCount = 256;
    using Buckets = std::bitset<bucketCount>;

    explicit RosterSums(std::span<const PeerSeat> seats = {});

    [[nodiscard]] static std::size_t bucketOf(const EntryId &entry);

    /// \brief Of all buckets, as a number that JSON holds exactly; 0 for no entry VM.
    [[nodiscard]] std::uint64_t total() const { return total_; }

    /// \brief Buckets whose sums differ.
    [[nodiscard]] Buckets differing(const RosterSums &other) const;

    /// \name As text, for messages
    /// \{
    [[nodiscard]] std::string text() const;
    /// \returns nothing if \p text does not hold a sum for each bucket.
    [[nodiscard]] static std::optional<RosterSums> parse(std::string_view text);
    /// \}

private:
    std::array<std::uint16_t, bucketCount> sums_{};
    std::uint64_t total_ = 0;
};

/// \brief An entry VM that knows others than it was told asks where the difference is.
struct RosterQuestion
{
    Address address_;       ///< Where the answer goes.
    AvailabilityZone zone_; ///< Only entry VMs of this zone; empty: all.
    RosterSums sums_;       ///< Of what it knows.
};

/// \brief Entry VMs of one bucket, all of them.
struct RosterBucket
{
    std::size_t index_ = 0;
    std::vector<PeerSeat> seats_;

    friend bool operator==(const RosterBucket &, const RosterBucket &) = default;
};

/// \brief A part of the answer; each says by itself which buckets were the same.
struct RosterAnswer
{
    EntryId from_;
    AvailabilityZone zone_;
    RosterSums::Buckets differing_;
    std::vector<RosterBucket> buckets_; ///< Some of those that differ.

    friend bool operator==(const RosterAnswer &, const RosterAnswer &) = default;
};

/// \brief Answers \p question from \p seats, in parts that fit into datagrams; one part at least.
[[nodiscard]] std::vector<RosterAnswer>
answerTo(const RosterQuestion &question, const EntryId &from, std::span<const PeerSeat> seats);

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const RosterQuestion &question);
[[nodiscard]] std::string encode(const RosterAnswer &answer);
/// \returns nothing if \p text is no question.
[[nodiscard]] std::optional<RosterQuestion> decodeRosterQuestion(std::string_view text);
/// \returns nothing if \p text is no answer.
[[nodiscard]] std::optional<RosterAnswer> decodeRosterAnswer(std::string_view text);
/// \}

} // namespace cardamombay::serving
