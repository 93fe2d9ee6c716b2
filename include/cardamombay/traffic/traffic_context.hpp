/// \file
/// \brief What the sessions of one traffic thread share.
#pragma once

#include <cardamombay/core/clock.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/net/upstream.hpp>
#include <cardamombay/outcomes/attempt.hpp>
#include <cardamombay/trace/tracer.hpp>
#include <cardamombay/traffic/control_link.hpp>
#include <cardamombay/traffic/dispatcher.hpp>
#include <cardamombay/traffic/traffic_metrics.hpp>

#include <functional>

namespace cardamombay::traffic {

/// \brief References to what the request path works with; all of it outlives the sessions.
struct TrafficContext
{
    Clock &clock_; ///< The thread's clock.
    net::Upstream &upstream_;
    net::HttpClient &cancels_; ///< Sends cancellations to engines.
    ControlLink &control_;
    Dispatcher &dispatcher_;
    outcomes::AttemptProgramPtr attemptProgram_;
    TrafficMetrics &metrics_;
    const trace::Tracer &tracer_;
    Incarnation incarnation_;
    /// \brief Runs an action later on the thread; may be called from any thread.
    std::function<void(std::function<void()>)> post_;
};

} // namespace cardamombay::traffic
