/// \file
/// \brief A gateway with little memory in front of endpoints that send bytes without end.
#pragma once

#include "support/fleet_platform_deployment.hpp"
#include "support/process_usage.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <vector>

namespace cardamombay::test {

inline constexpr std::size_t machineMegabytes = 56;
inline constexpr std::size_t machineBytes = machineMegabytes * 1024 * 1024;
/// \brief The gateway is killed beyond that, so that a fault does not use up the test's machine.
inline constexpr std::size_t abortBytes = 10 * machineBytes;
inline constexpr std::size_t callerCount = 48;
inline constexpr std::size_t requestsPerCaller = 2;
/// \brief Callers, as many connections to endpoints, and what the gateway uses for itself.
inline constexpr std::size_t maxDescriptors = 2 * callerCount + 64;

/// \brief Longer than endpoints need to fill all buffers, shorter than a route's time-out.
inline constexpr auto unreadTime = std::chrono::seconds(3);

/// \brief A request for a stream on a connection that is not read.
class UnreadStream
{
public:
    UnreadStream(std::uint16_t port, const std::string &id)
        : socket_(context_)
    {
        socket_.connect({boost::asio::ip::address_v4::loopback(), port});
        const auto request = "POST /stream/" + id + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
                             + "\r\nX-Model: m\r\nX-Token-Counts: 200,140\r\n"
                               "X-Deadline-Ms: 8000\r\nAuthorization: Bearer key-a\r\n"
                               "Content-Length: 0\r\n\r\n";
        boost::asio::write(socket_, boost::asio::buffer(request));
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

/// \brief What any gateway used at most.
struct PeakUsage
{
    std::size_t bytes_ = 0; ///< Resident, and received but not read.
    std::size_t descriptors_ = 0;
};

/// \brief A deployment whose first gateway gets all requests.
class TroubledDeployment
{
public:
    TroubledDeployment()
        : deployment_(Links::None, machineMegabytes)
    {
    }

    /// \param kind as of support::endlessAnswer(); empty ends the trouble.
    void setTrouble(const std::vector<std::string> &endpoints, const std::string &kind) const
    {
        for (const auto &endpoint : endpoints)
            deployment_.tell("endless/" + endpoint, kind);
    }

    /// \brief All callers send their requests, one after the other.
    /// \param call sends a request with the id that it is given, and waits for its end.
    template<typename Call>
    PeakUsage callAtOnce(Call call)
    {
        std::vector<std::jthread> callers;
        std::atomic<std::size_t> active = callerCount;
        for (std::size_t caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&call, &active, caller] {
                for (std::size_t i = 0; i < requestsPerCaller; ++i)
                    call("c-" + std::to_string(caller) + "-" + std::to_string(i));
                --active;
            });
        }
        PeakUsage peak;
        while (active > 0)
            sample(peak);
        return peak;
    }

    /// \brief Callers request streams, stay connected and read nothing.
    PeakUsage callWithoutReading()
    {
        std::list<UnreadStream> callers;
        const auto port = deployment_.ports(0).callers_;
        for (std::size_t caller = 0; caller < callerCount; ++caller)
            callers.emplace_back(port, "c-" + std::to_string(caller));
        PeakUsage peak;
        const auto end = std::chrono::steady_clock::now() + unreadTime;
        while (std::chrono::steady_clock::now() < end)
            sample(peak);
        return peak;
    }

    /// \brief True once no endpoint has a connection open on which it sends bytes without end.
    [[nodiscard]] bool hasEnded() const
    {
        return support::waitUntil([this] { return deployment_.report().endlessOpen_ == 0; });
    }

    /// \brief Descriptors of the gateway that gets all requests.
    [[nodiscard]] std::size_t descriptors()
    {
        return support::openDescriptors(deployment_.harness().pid(deployment_.gateway(0)));
    }

    /// \brief True if all gateways run.
    [[nodiscard]] bool areAlive()
    {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
            if (!deployment_.harness().isRunning(deployment_.gateway(number)))
                return false;
        }
        return true;
    }

    [[nodiscard]] Deployment &deployment() { return deployment_; }

private:
    /// Any gateway may be the planner, which gives orders.
    void sample(PeakUsage &peak)
    {
        for (std::size_t number = 0; number < Deployment::gatewayCount; ++number) {
            const auto gateway = deployment_.gateway(number);
            if (!deployment_.harness().isRunning(gateway))
                continue;
            const auto process = deployment_.harness().pid(gateway);
            const auto bytes = support::residentBytes(process) + support::unreadBytes(process, {});
            peak.bytes_ = std::max(peak.bytes_, bytes);
            peak.descriptors_ = std::max(peak.descriptors_, support::openDescriptors(process));
            if (bytes > abortBytes)
                deployment_.harness().kill(gateway);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }

    Deployment deployment_;
};

} // namespace cardamombay::test
