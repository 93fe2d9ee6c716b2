/// \file
/// \brief Remembers for which model engines were taken from the groups of another one.
/// \details The planner chooses the model of free engines by coverage, which may have changed by
/// the time they are free. Without this record the same engines formed small groups again and again
/// while a larger group waited for them.
#pragma once

#include <cardamombay/serving/replica_planner.hpp>

#include <map>
#include <span>

namespace cardamombay::serving {

/// \brief Engines of groups that were closed in favour of another model. Used on the control thread
/// only; a new planner starts without a record and decides by the engines' reports.
class KeptEngines
{
public:
    /// \brief Records the members of the group that \p planned closes for another model.
    /// \param engines listed engines of the service.
    void record(const PlannedOrder &planned, std::span<const Endpoint *const> engines,
                TimePoint now);

    /// \brief Drops engines that are gone, have restarted or joined another group, whose group is
    /// open again, or that have been free for longer than keepTime.
    void update(std::span<const Endpoint *const> engines, TimePoint now);

    /// \returns the model that each recorded engine is kept for.
    [[nodiscard]] std::map<VmId, ModelName> models() const;

    /// Groups that complete their answers take about 3 s to close; a larger group needs several of
    /// them. After this time a free engine serves any model again.
    static constexpr Duration keepTime = std::chrono::seconds(6);

    /// An engine is listed as closing within this time after the order, or the order was lost.
    static constexpr Duration closeEffectTime = std::chrono::milliseconds(1000);

private:
    struct Entry
    {
        ModelName model_;
        GroupName group_; ///< Group that was closed.
        std::uint64_t startedAt_ = 0;
        TimePoint lastInGroup_{}; ///< Last time the engine was a member of the closing group.
        TimePoint closedAt_{};
    };

    std::map<VmId, Entry> entries_;
};

} // namespace cardamombay::serving
