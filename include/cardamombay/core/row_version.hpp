/// \file
/// \brief Positions in the history of the platform's store, over restores from a backup.
#pragma once

#include <cardamombay/core/id.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace cardamombay {

/// \brief One history of the store. A restore from a backup begins a new one; 0 if the store does
/// not say.
using StoreTimeline = NumberId<struct StoreTimelineTag>;

/// \brief Number of a commit and the timeline that it belongs to; none = row absent.
/// \details A restored store takes its counter back and gives the same numbers out again. A version
/// of a later timeline is newer than any of an earlier one, whatever their numbers, so that news
/// from before a restore never pass for newer ones.
/// \code
/// RowVersion::at(StoreTimeline(2), 17) > RowVersion::at(StoreTimeline(1), 90); // true
/// \endcode
class RowVersion
{
public:
    constexpr RowVersion() = default;

    /// \param value as value() gives it; a bare number is one of timeline 0.
    constexpr explicit RowVersion(std::uint64_t value)
        : value_(value)
    {
    }

    [[nodiscard]] static constexpr RowVersion at(StoreTimeline timeline, std::uint64_t number)
    {
        return RowVersion((timeline.value() << numberBits) | (number & mostNumber));
    }

    /// \brief Both parts in one number that orders like the version and is exact in a double.
    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] constexpr StoreTimeline timeline() const
    {
        return StoreTimeline(value_ >> numberBits);
    }
    /// \brief The commit's number within its timeline.
    [[nodiscard]] constexpr std::uint64_t number() const { return value_ & mostNumber; }
    [[nodiscard]] constexpr bool isNone() const { return value_ == 0; }
    [[nodiscard]] constexpr RowVersion next() const { return RowVersion(value_ + 1); }

    friend constexpr auto operator<=>(const RowVersion &, const RowVersion &) = default;
    friend constexpr bool operator==(const RowVersion &, const RowVersion &) = default;
    friend std::ostream &operator<<(std::ostream &out, RowVersion version)
    {
        return out << version.value_;
    }

    /// Ten years of 3,000 commits a second.
    static constexpr unsigned numberBits = 40;
    static constexpr std::uint64_t mostNumber = (std::uint64_t{1} << numberBits) - 1;
    /// So that value() stays exact in a double.
    static constexpr std::uint64_t mostTimeline = (std::uint64_t{1} << 13U) - 1;

private:
    std::uint64_t value_ = 0;
};

} // namespace cardamombay

template<>
struct std::hash<cardamombay::RowVersion>
{
    std::size_t operator()(cardamombay::RowVersion version) const noexcept
    {
        return std::hash<std::uint64_t>{}(version.value());
    }
};
