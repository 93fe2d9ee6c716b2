/// \file
/// \brief The state charts of the control side, loaded and bound once at start.
#pragma once

#include <cardamombay/chart/chart.hpp>
#include <cardamombay/claims/claim_registry.hpp>
#include <cardamombay/config/config_agent.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/groups/group_state_machine.hpp>
#include <cardamombay/leases/lease_keeper.hpp>
#include <cardamombay/membership/member_table.hpp>

namespace cardamombay::control {

/// \brief All charts that the control side interprets.
struct NodeCharts
{
    membership::MemberProgramPtr member_;
    leases::LeaseProgramPtr lease_;
    groups::GroupProgramPtr group_;
    claims::ClaimProgramPtr claim_;
    config::ConfigProgramPtr config_;
};

/// \brief Loads the charts from \p folder and binds them to the code.
/// \returns the charts, or the first error with its place in the file.
[[nodiscard]] Result<NodeCharts> loadCharts(const chart::ChartFolder &folder);

} // namespace cardamombay::control
