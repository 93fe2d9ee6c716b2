/// \file
/// \brief Sum of what was added within a sliding window, in constant memory.
/// \details Counts in time slices, a fixed number per window. Not thread-safe.
#pragma once

#include <cardamombay/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cardamombay::serving {

/// \brief Sum over a window of slices.
class SlidingSum
{
public:
    /// \brief Slices per window.
    static constexpr std::int64_t slicesPerWindow = 20;
    /// \brief Slices beyond the present one that an amount may be dated ahead.
    static constexpr std::int64_t maxSlicesAhead = 5;

    /// \brief Adds \p amount as of \p at, at most maxSlicesAhead slices in the future.
    /// \param window must be the same in all calls, or earlier amounts are misdated.
    void add(double amount, TimePoint at, Duration window);

    /// \brief Sum of the slices that lie within the window up to \p now or in the future.
    /// \details Drops amounts up to one slice before they leave the window.
    [[nodiscard]] double within(TimePoint now, Duration window) const;

    /// \brief Like within(), but drops amounts up to one slice after they have left the window.
    [[nodiscard]] double withinOrJustBefore(TimePoint now, Duration window) const;

    /// \brief Amounts by age, newest first.
    /// \returns the amount dated ahead of the present slice, then one for each slice of the window;
    /// without zeros at the end.
    [[nodiscard]] std::vector<double> byAge(TimePoint now, Duration window) const;

    /// \brief How amounts are dated whose age is known to a slice only.
    enum class Dating {
        NotBefore, ///< At the end of their slice.
        NotAfter,  ///< At its start.
    };

    /// \brief Adds what byAge() returned \p age ago.
    void addByAge(std::span<const double> amounts, Dating dating, Duration age, TimePoint now,
                  Duration window);

    /// \brief Sum of the present slice and the one before it.
    [[nodiscard]] double recent(TimePoint now, Duration window) const;

private:
    struct Slice
    {
        std::int64_t number_ = -1; ///< Index of the time slice since the epoch.
        double sum_ = 0;
    };

    [[nodiscard]] double lastSlices(std::int64_t count, TimePoint now, Duration window) const;

    std::array<Slice, slicesPerWindow + 1 + maxSlicesAhead> slices_{};
};

} // namespace cardamombay::serving
