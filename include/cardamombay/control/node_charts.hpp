/// \file
/// \brief State charts of the control side, loaded and bound once at startup.
#pragma once

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/membership/member_table.hpp>

namespace cardamombay::control {

/// \brief Programs of all state charts that the control side runs.
struct NodeCharts
{
    membership::MemberProgramPtr member_;
    leases::LeaseProgramPtr lease_;
    groups::GroupProgramPtr group_;
    claims::ClaimProgramPtr claim_;
    config::ConfigProgramPtr config_;
};

/// \brief Loads the charts from \p folder and binds their guards and actions.
/// \returns the charts, or the first error with its position in the file.
[[nodiscard]] Result<NodeCharts> loadCharts(const chart::ChartFolder &folder);

} // namespace cardamombay::control
