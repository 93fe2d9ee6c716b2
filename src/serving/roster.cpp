#include <cardamombay/serving/roster.hpp>

#include "serving/notification.hpp"
#include "serving/peer_info_json.hpp"

#include <cardamombay/config/address_text.hpp>
#include <cardamombay/core/hash.hpp>

#include <charconv>
#include <map>
#include <utility>

namespace cardamombay::serving {

namespace json = boost::json;
using namespace impl;

namespace {

constexpr std::string_view questionMethod = "roster-wanted";
constexpr std::string_view answerMethod = "roster-part";

/// Hexadecimal digits per bucket checksum.
constexpr std::size_t sumDigits = 4;
/// Buckets encoded in one hexadecimal digit.
constexpr std::size_t bucketsInDigit = 4;
constexpr int hexadecimal = 16;

/// A part of an answer with that many entry VMs is full; it fills about one packet.
constexpr std::size_t membersPerPart = 14;

/// JSON parsers may read numbers as doubles, which hold that many bits exactly.
constexpr std::uint64_t exactDoubleMask = (std::uint64_t{1} << 52U) - 1;

std::uint64_t hashOf(const PeerInfo &peerInfo)
{
    return stableHash(peerInfo.entry_.text() + ' ' + peerInfo.address_.text() + ' '
                      + peerInfo.zone_.text());
}

std::string hexText(std::uint64_t value, std::size_t digits)
{
    static constexpr std::string_view symbols = "0123456789abcdef";
    std::string result(digits, '0');
    for (std::size_t i = digits; i-- > 0; value >>= 4U)
        result[i] = symbols[value & 0xfU];
    return result;
}

std::optional<std::uint64_t> hexIn(std::string_view text)
{
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

std::string textOf(const RosterSums::Buckets &buckets)
{
    std::string result;
    for (std::size_t first = 0; first < buckets.size(); first += bucketsInDigit) {
        std::uint64_t digit = 0;
        for (std::size_t i = 0; i < bucketsInDigit; ++i)
            digit |= std::uint64_t{buckets[first + i]} << i;
        result += hexText(digit, 1);
    }
    return result;
}

std::optional<RosterSums::Buckets> bucketsIn(std::string_view text)
{
    RosterSums::Buckets result;
    if (text.size() * bucketsInDigit != result.size())
        return std::nullopt;
    for (std::size_t place = 0; place < text.size(); ++place) {
        const auto digit = hexIn(text.substr(place, 1));
        if (!digit)
            return std::nullopt;
        for (std::size_t i = 0; i < bucketsInDigit; ++i)
            result[place * bucketsInDigit + i] = (*digit >> i & 1U) != 0;
    }
    return result;
}

json::array bucketsArray(const std::vector<RosterBucket> &buckets)
{
    json::array result;
    for (const auto &bucket : buckets)
        result.push_back(json::array{bucket.index_, peerInfoArray(bucket.members_)});
    return result;
}

/// Skips buckets that can't be parsed; they still differ at the next query.
std::vector<RosterBucket> bucketsIn(const json::value *value)
{
    std::vector<RosterBucket> result;
    const auto *buckets = value == nullptr ? nullptr : value->if_array();
    if (buckets == nullptr)
        return result;
    for (const auto &one : *buckets) {
        const auto *parts = one.if_array();
        const auto index
            = parts == nullptr || parts->size() != 2 ? std::nullopt : countIn(parts->at(0));
        if (!index || *index >= RosterSums::bucketCount || !parts->at(1).is_array())
            continue;
        auto members = peerInfosIn(&parts->at(1));
        if (members.size() == parts->at(1).get_array().size())
            result.push_back({*index, std::move(members)});
    }
    return result;
}

} // namespace

RosterSums::RosterSums(std::span<const PeerInfo> members)
{
    for (const auto &peerInfo : members) {
        const auto hash = hashOf(peerInfo);
        sums_[bucketOf(peerInfo.entry_)] ^= static_cast<std::uint16_t>(hash);
        total_ ^= hash & exactDoubleMask;
    }
}

std::size_t RosterSums::bucketOf(const EntryId &entry)
{
    return stableHash(entry.text()) % bucketCount;
}

RosterSums::Buckets RosterSums::differing(const RosterSums &other) const
{
    Buckets result;
    for (std::size_t i = 0; i < bucketCount; ++i)
        result[i] = sums_[i] != other.sums_[i];
    return result;
}

std::string RosterSums::text() const
{
    std::string result;
    for (const auto sum : sums_)
        result += hexText(sum, sumDigits);
    return result;
}

std::optional<RosterSums> RosterSums::parse(std::string_view text)
{
    if (text.size() != bucketCount * sumDigits)
        return std::nullopt;
    RosterSums result;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        const auto sum = hexIn(text.substr(i * sumDigits, sumDigits));
        if (!sum)
            return std::nullopt;
        result.sums_[i] = static_cast<std::uint16_t>(*sum);
    }
    return result;
}

std::vector<RosterAnswer> answerTo(const RosterQuestion &question, const EntryId &from,
                                   std::span<const PeerInfo> members)
{
    const auto differing = RosterSums(members).differing(question.sums_);
    std::map<std::size_t, RosterBucket> buckets;
    for (std::size_t i = 0; i < RosterSums::bucketCount; ++i) {
        if (differing[i])
            buckets[i].index_ = i;
    }
    for (const auto &peerInfo : members) {
        const auto found = buckets.find(RosterSums::bucketOf(peerInfo.entry_));
        if (found != buckets.end())
            found->second.members_.push_back(peerInfo);
    }
    const RosterAnswer empty{from, question.zone_, differing, {}};
    std::vector<RosterAnswer> result{empty};
    std::size_t seatCount = 0;
    for (auto &[index, bucket] : buckets) {
        if (seatCount >= membersPerPart) {
            result.push_back(empty);
            seatCount = 0;
        }
        seatCount += bucket.members_.size();
        result.back().buckets_.push_back(std::move(bucket));
    }
    return result;
}

std::string encode(const RosterQuestion &question)
{
    return notification(questionMethod, {{"address", question.address_.text()},
                                         {"zone", question.zone_.text()},
                                         {"sums", question.sums_.text()}});
}

std::optional<RosterQuestion> decodeRosterQuestion(std::string_view text)
{
    const auto params = paramsOf(text, questionMethod);
    const auto address
        = params ? config::addressOf(textIn(*params, "address")) : std::optional<Address>();
    const auto sums = params ? RosterSums::parse(textIn(*params, "sums")) : std::nullopt;
    if (!address || !sums)
        return std::nullopt;
    return RosterQuestion{*address, AvailabilityZone(textIn(*params, "zone")), *sums};
}

std::string encode(const RosterAnswer &answer)
{
    return notification(answerMethod, {{"from", answer.from_.text()},
                                       {"zone", answer.zone_.text()},
                                       {"differing", textOf(answer.differing_)},
                                       {"buckets", bucketsArray(answer.buckets_)}});
}

std::optional<RosterAnswer> decodeRosterAnswer(std::string_view text)
{
    const auto params = paramsOf(text, answerMethod);
    const auto differing
        = params ? bucketsIn(std::string_view(textIn(*params, "differing"))) : std::nullopt;
    if (!differing || textIn(*params, "from").empty())
        return std::nullopt;
    return RosterAnswer{EntryId(textIn(*params, "from")), AvailabilityZone(textIn(*params, "zone")),
                        *differing, bucketsIn(params->if_contains("buckets"))};
}

} // namespace cardamombay::serving
