/// \file
/// \brief Selects what is logged about endpoints that are avoided because they break requests.
/// \details Decides nothing about endpoints; see LoadTracker::isBreaking().
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/serving/load_tracker.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief One line of the log.
struct AvoidanceLine
{
    std::string_view event_;
    std::vector<Detail> details_;
};

/// \brief The avoided endpoints as they were last logged. Not thread-safe.
class AvoidanceLog
{
public:
    /// \brief Notes the endpoints that are avoided now; call once per digest period.
    /// \param isListed true for endpoints of the store; others are left out, since a peer may name
    /// any number of them.
    /// \returns one line for each endpoint that begins or ceases to be avoided.
    [[nodiscard]] std::vector<AvoidanceLine>
    update(const std::map<VmId, LoadTracker::Breaking> &breaking,
           const std::function<bool(const VmId &)> &isListed, TimePoint now);

    /// \brief Notes that implausible counts in a message were not used.
    /// \param reports endpoints with such a count.
    /// \returns a line for the first such message of a sender, for at most 64 senders.
    [[nodiscard]] std::optional<AvoidanceLine> ignored(const EntryId &from, std::size_t reports);

    /// \brief Number of endpoints that are avoided.
    [[nodiscard]] std::size_t size() const { return avoided_.size(); }

private:
    std::map<VmId, TimePoint> avoided_; ///< With the time since when.
    std::set<EntryId> ignoredSenders_;
};

} // namespace cardamombay::serving
