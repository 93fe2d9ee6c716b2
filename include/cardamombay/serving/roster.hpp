/// \file
/// \brief Finds the differences between the peers that two entry VMs know without sending all of
/// them.
/// \details Entry VMs are hashed into buckets by name, and each bucket has a checksum. Equal totals
/// mean equal rosters; otherwise only the buckets whose checksums differ are sent in full. Doesn't
/// decide which peers are alive.
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

/// \brief Checksums of a set of entry VMs.
/// \code
/// if (RosterSums(known).total() != received.rosterTotal_)
///     askForDifferences();
/// \endcode
class RosterSums
{
public:
    /// In a fleet of thousands a bucket holds about ten entry VMs, which fit into one datagram.
    static constexpr std::size_t bucketCount = 256;
    using Buckets = std::bitset<bucketCount>;

    explicit RosterSums(std::span<const PeerInfo> members = {});

    [[nodiscard]] static std::size_t bucketOf(const EntryId &entry);

    /// \brief Checksum over all buckets, small enough for JSON to hold it exactly; 0 for an empty
    /// set.
    [[nodiscard]] std::uint64_t total() const { return total_; }

    /// \brief Buckets whose checksums differ.
    [[nodiscard]] Buckets differing(const RosterSums &other) const;

    /// \name Text form, for messages
    /// \{
    [[nodiscard]] std::string text() const;
    /// \returns nothing if \p text does not contain a checksum for each bucket.
    [[nodiscard]] static std::optional<RosterSums> parse(std::string_view text);
    /// \}

private:
    std::array<std::uint16_t, bucketCount> sums_{};
    std::uint64_t total_ = 0;
};

/// \brief A request for the differences, sent by an entry VM whose roster differs from the sender's
/// total.
struct RosterQuestion
{
    Address address_;       ///< Destination of the answer.
    AvailabilityZone zone_; ///< Limits the comparison to entry VMs of this zone; empty: all.
    RosterSums sums_;       ///< Checksums of the roster of the asking entry VM.
};

/// \brief The complete set of entry VMs in one bucket.
struct RosterBucket
{
    std::size_t index_ = 0;
    std::vector<PeerInfo> members_;

    friend bool operator==(const RosterBucket &, const RosterBucket &) = default;
};

/// \brief One part of an answer; each part names all buckets that differ.
struct RosterAnswer
{
    EntryId from_;
    AvailabilityZone zone_;
    RosterSums::Buckets differing_;
    std::vector<RosterBucket> buckets_; ///< Some of the buckets that differ.

    friend bool operator==(const RosterAnswer &, const RosterAnswer &) = default;
};

/// \brief Answers \p question from \p members, split into parts that fit into datagrams; at least
/// one part.
[[nodiscard]] std::vector<RosterAnswer>
answerTo(const RosterQuestion &question, const EntryId &from, std::span<const PeerInfo> members);

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const RosterQuestion &question);
[[nodiscard]] std::string encode(const RosterAnswer &answer);
/// \returns nothing if \p text is not such a message.
[[nodiscard]] std::optional<RosterQuestion> decodeRosterQuestion(std::string_view text);
/// \returns nothing if \p text is not such a message.
[[nodiscard]] std::optional<RosterAnswer> decodeRosterAnswer(std::string_view text);
/// \}

} // namespace cardamombay::serving
