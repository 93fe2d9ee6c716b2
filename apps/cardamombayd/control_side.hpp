/// \file
/// \brief Makes the control side of the daemon.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/settings/settings.hpp>
#include <cardamombay/traffic/control_side.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cardamombay::daemon {

/// \brief What the control side is made of; all of it outlives it.
struct ControlParts
{
    boost::asio::io_context &context_; ///< Event loop of the control thread.
    Clock &clock_;
    const settings::Settings &settings_;
    Incarnation incarnation_;
    metrics::Registry &registry_;
    std::function<std::string()> lifecycleState_; ///< State of the daemon's chart.
};

[[nodiscard]] std::unique_ptr<traffic::ControlSide> makeControlSide(const ControlParts &parts);

} // namespace cardamombay::daemon
