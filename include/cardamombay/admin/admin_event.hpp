/// \file
/// \brief Answer to GET /admin/events and /admin/explain/...: decisions with their reasons.
/// \details Decision records as they were kept in memory; older ones are dropped. It decides
/// nothing; ages travel as whole milliseconds.
#pragma once

#include <cardamombay/core/decision_log.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/core/time.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::admin {

/// \brief A decision record with its age, since an instant means nothing to another process.
struct AdminEvent
{
    Duration age_{};
    std::string event_;
    std::string subject_;
    std::string choice_;
    std::vector<Detail> inputs_;
    std::vector<Alternative> alternatives_;

    friend bool operator==(const AdminEvent &, const AdminEvent &) = default;
};

/// \brief The event for \p record as told at \p now.
[[nodiscard]] AdminEvent eventOf(const DecisionRecord &record, TimePoint now);

/// \brief The events for \p records, same order.
[[nodiscard]] std::vector<AdminEvent> eventsOf(std::span<const DecisionRecord> records,
                                               TimePoint now);

/// \brief Writes \p events as JSON.
[[nodiscard]] std::string encode(std::span<const AdminEvent> events);

/// \brief Reads what encode() wrote.
[[nodiscard]] Result<std::vector<AdminEvent>> decodeEvents(std::string_view text);

} // namespace cardamombay::admin
