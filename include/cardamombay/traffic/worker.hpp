/// \file
/// \brief Takes the requests of one traffic thread.
#pragma once

#include <cardamombay/net/http_server.hpp>
#include <cardamombay/traffic/problem.hpp>
#include <cardamombay/traffic/traffic_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <unordered_map>

namespace cardamombay::traffic {

namespace impl {
class GroupWatch;
class Session;
} // namespace impl

/// \brief Flags and counts that all traffic threads share with the daemon's life cycle.
struct TrafficState
{
    std::atomic<bool> isReady_{false};    ///< What /readyz says.
    std::atomic<bool> isRefusing_{false}; ///< New requests are refused as not run.
    std::atomic<std::size_t> inFlight_{0};
};

/// \brief Handler of one traffic thread: health, metrics and request sessions.
class Worker final : public net::HttpHandler
{
public:
    /// \param context what sessions work with.
    /// \param state shared flags.
    /// \param number of the worker, unique in the process; the first one reports demand.
    Worker(TrafficContext context, TrafficState &state, std::size_t number);
    ~Worker() override;

    /// \brief Starts the periodic look at the snapshot; call on the thread.
    void start();

    /// \brief Ends all sessions now and tells their callers; call on the thread.
    void cutSessions();

    void handle(net::ServerRequest request, std::shared_ptr<net::ServerExchange> exchange) override;
    net::HttpResponse refusal(net::ServerFault fault, std::string_view detail) override;

private:
    [[nodiscard]] RequestId freshId();
    [[nodiscard]] bool handleOwnPath(const net::ServerRequest &request,
                                     net::ServerExchange &exchange);
    void refuse(const Problem &problem, const RequestId &id, net::ServerExchange &exchange);
    void recordRefusal(const Problem &problem, const RequestId &id);
    void tick();
    void closed(impl::Session *session);

    TrafficContext context_;
    TrafficState &state_;
    std::size_t number_;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t ticks_ = 0;
    std::unique_ptr<impl::GroupWatch> watch_;
    std::unordered_map<impl::Session *, std::shared_ptr<impl::Session>> sessions_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace cardamombay::traffic
