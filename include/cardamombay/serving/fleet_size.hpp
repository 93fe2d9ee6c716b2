/// \file
/// \brief Number of entry VMs among which quantities of the fleet are divided.
/// \details An entry VM that is not heard may be cut off and use its part, so it counts for long;
/// one that has left in order counts until what it used no longer matters. Not thread-safe.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <map>

namespace cardamombay::serving {

/// \brief Entry VMs that may hold a part.
class FleetSize
{
public:
    /// \brief An entry VM that is not heard for longer counts as gone.
    static constexpr Duration silenceLimit = std::chrono::minutes(10);

    /// \brief Records that \p entry is known to be alive, or is listed in the store.
    void present(const EntryId &entry, TimePoint now);

    /// \brief Records that \p entry has left in order.
    /// \param forgetAfter how long its part must not be used by others.
    void left(const EntryId &entry, Duration forgetAfter, TimePoint now);

    /// \brief Drops entry VMs that are gone.
    void expire(TimePoint now);

    /// \brief True if \p entry was recorded before \p when and still counts.
    [[nodiscard]] bool isKnownSince(const EntryId &entry, TimePoint when) const;

    /// \brief Number of recorded entry VMs, and this one.
    [[nodiscard]] std::size_t count() const { return entries_.size() + 1; }

private:
    struct Times
    {
        TimePoint since_;
        TimePoint until_;
    };

    std::map<EntryId, Times> entries_; ///< For how long each counts.
};

} // namespace cardamombay::serving
