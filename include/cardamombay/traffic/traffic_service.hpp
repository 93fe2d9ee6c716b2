/// \file
/// \brief The traffic side of a daemon: listener, traffic threads and what they share.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/result.hpp>
#include <cardamombay/metrics/registry.hpp>
#include <cardamombay/net/http_server.hpp>
#include <cardamombay/trace/tracer.hpp>
#include <cardamombay/traffic/control_link.hpp>
#include <cardamombay/traffic/dispatcher.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cardamombay::traffic {

/// \brief Settings of the traffic side.
struct TrafficSettings
{
    Address callers_; ///< Listener for callers.
    std::uint32_t threads_ = 2;
    std::string chartsFolder_ = "charts";
    Incarnation incarnation_; ///< Start stamp of the process; part of every attempt id.
    net::HttpServerLimits limits_;
    DispatchPolicy dispatch_;
};

/// \brief Owns the traffic threads.
/// \code
/// auto made = traffic::TrafficService::make(settings, control, registry, tracer);
/// auto &service = *valueOf(made);
/// const auto bound = service.start();
/// service.setReady(true);
/// \endcode
class TrafficService
{
public:
    /// \brief Loads the charts and makes the threads' parts; nothing listens yet.
    /// \param settings what to listen on and within which bounds.
    /// \param control,registry,tracer outlive the service.
    [[nodiscard]] static Result<std::unique_ptr<TrafficService>>
    make(const TrafficSettings &settings, ControlLink &control, metrics::Registry &registry,
         const trace::Tracer &tracer);

    TrafficService(const TrafficService &) = delete;
    TrafficService &operator=(const TrafficService &) = delete;
    /// \brief Stops the threads; connections that are left are cut.
    ~TrafficService();

    /// \brief Listens and starts the threads.
    /// \returns the address with the port that was bound.
    [[nodiscard]] Result<Address> start();

    /// \name Life cycle; may be called from any thread
    /// \{
    /// \brief What /readyz answers.
    void setReady(bool isReady);
    /// \brief From now on every answer ends its connection.
    void endConnections();
    /// \brief Refuses new requests as not run.
    void refuseNewRequests();
    /// \brief Ends the requests that are left and tells their callers.
    void cutRequests();
    /// \brief Closes the listener and connections without a request.
    void closeListener();
    /// \}

    /// \brief Requests in flight, until the last byte of their answers is out.
    [[nodiscard]] std::size_t inFlight() const;

private:
    class Impl;
    explicit TrafficService(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace cardamombay::traffic
