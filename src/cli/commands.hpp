/// \file
/// \brief The commands of cardamombayctl; each gives an exit code.
#pragma once

#include "cli/control_session.hpp"

namespace cardamombay::cli {

/// \name Configuration, through the platform's service
/// \{
int checkConfig(ControlSession &session);
int applyConfig(ControlSession &session);
int showConfig(ControlSession &session);
int diffConfig(ControlSession &session);
int listConfigHistory(ControlSession &session);
int rollbackConfig(ControlSession &session);
/// \brief Waits until every live entry VM has the version in force.
int waitForConfig(ControlSession &session);
/// \}

/// \name Questions and orders to an entry VM
/// \{
int showStatus(ControlSession &session);
int showGroups(ControlSession &session);
int showVms(ControlSession &session);
int showEvents(ControlSession &session);
int explainGroup(ControlSession &session);
int explainRequest(ControlSession &session);
int drainEntry(ControlSession &session);
int drainVm(ControlSession &session);
int undrainVm(ControlSession &session);
/// \}

} // namespace cardamombay::cli
