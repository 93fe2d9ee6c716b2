/// \file
/// \brief Gateways with little memory before clients that send more than it holds.
#pragma once

#include "support/client_crowd.hpp"
#include "support/fleet_platform_deployment.hpp"
#include "support/process_usage.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cardamombay::test {

inline constexpr std::size_t kilobyte = 1024;
inline constexpr std::size_t megabyte = 1024 * kilobyte;

/// \brief Largest legal body; MaxBodyBytes of the deployment's configuration.
inline constexpr std::size_t largestBody = megabyte;
/// \brief What a body lacks that stops just short of its end.
inline constexpr std::size_t missingBytes = 100;

/// \brief One client in so many sends its request whole.
inline constexpr std::size_t wholeEvery = 8;

/// \brief Number of clients at a gateway, and the bounds on what it may use.
struct AttackScale
{
    std::size_t clients_ = 0;
    std::uint32_t machineMegabytes_ = 0;
    std::size_t descriptors_ = 0;
};

/// \brief The bodies of the clients exceed the memory.
inline constexpr AttackScale bodiesBeyondMemory{64, 56, 256};
/// \brief The data exceeds the memory that its connections have received and not read.
inline constexpr AttackScale inputBeyondMemory{256, 24, 640};

inline constexpr auto attackTime = std::chrono::seconds(4);

/// \brief Most that a process used at any of the samples.
struct PeakUsage
{
    std::size_t residentBytes_ = 0;
    std::size_t unreadBytes_ = 0; ///< At the sample with the largest sum.
    std::size_t descriptors_ = 0;

    [[nodiscard]] std::size_t bytes() const { return residentBytes_ + unreadBytes_; }
};

/// \brief Head of a request to the plain service up to the fields that frame its body.
inline std::string requestHead(const std::string &id)
{
    return "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id
           + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-a\r\n";
}

inline std::string lengthHead(const std::string &id, std::size_t length)
{
    return requestHead(id) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

inline std::string chunkedHead(const std::string &id)
{
    return requestHead(id) + "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunkOf(std::size_t size)
{
    std::array<char, 24> head{};
    const auto length
        = static_cast<std::size_t>(std::snprintf(head.data(), head.size(), "%zx\r\n", size));
    return std::string(head.data(), length) + std::string(size, 'x') + "\r\n";
}

/// \brief A body of \p chunkSize each; whole, or short of its end.
inline support::Transmission chunkedBody(const std::string &id, std::size_t chunkSize, bool isWhole)
{
    // Small chunks leave in groups, so that clients are not limited by their own calls.
    const auto group = std::max<std::size_t>(1, 16 * kilobyte / chunkSize);
    support::Transmission result;
    result.head_ = chunkedHead(id);
    for (std::size_t i = 0; i < group; ++i)
        result.piece_ += chunkOf(chunkSize);
    result.pieces_ = (largestBody - missingBytes) / (group * chunkSize);
    result.end_ = isWhole ? "0\r\n\r\n" : "";
    return result;
}

/// \brief A body of \p size in pieces; whole, or short of its end.
inline support::Transmission sizedBody(const std::string &id, std::size_t pieces, bool isWhole,
                                       std::size_t size = largestBody)
{
    support::Transmission result;
    result.head_ = lengthHead(id, size);
    result.pieces_ = pieces;
    result.piece_ = std::string((size - missingBytes) / pieces, 'x');
    if (isWhole)
        result.end_ = std::string(size - result.pieces_ * result.piece_.size(), 'x');
    return result;
}

/// \brief What a client of any kind sends, by the number of the kind.
inline support::Transmission transmissionOfKind(std::size_t kind, const std::string &id)
{
    constexpr std::size_t endless = 4096;
    const auto flood = std::string(256 * kilobyte, 'x');
    switch (kind) {
    case 0:
        return {0, lengthHead(id, 1024 * megabyte), flood, endless, "", {}};
    case 1:
        return {0, chunkedHead(id), chunkOf(256 * kilobyte), endless, "", {}};
    case 2:
        return {0, lengthHead(id, 10), flood, endless, "", {}};
    case 3:
        return sizedBody(id, 1, true);
    case 4:
        return sizedBody(id, 1, false);
    case 5: {
        auto result = sizedBody(id, 256, false);
        result.pause_ = std::chrono::milliseconds(2);
        return result;
    }
    case 6:
        return chunkedBody(id, 128 * kilobyte, false);
    case 7:
        return chunkedBody(id, 1, false);
    default: // A request, and behind it one that stops short of its end.
        return {0,
                lengthHead(id, 10) + std::string(10, 'x') + lengthHead(id + "-next", largestBody),
                std::string(largestBody - missingBytes, 'x'),
                1,
                "",
                {}};
    }
}
inline constexpr std::size_t kindCount = 9;

/// \brief A deployment of which the first gateway meets the clients.
class AttackedDeployment
{
public:
    explicit AttackedDeployment(AttackScale scale)
        : scale_(scale)
        , deployment_(Links::None, scale.machineMegabytes_)
    {
    }

    /// \brief Runs the clients against \p port for attackTime.
    /// \param transmission makes what a client sends from its number.
    template<typename MakeTransmission>
    PeakUsage attack(std::uint16_t port, MakeTransmission transmission)
    {
        std::vector<support::Transmission> transmissions;
        for (std::size_t client = 0; client < scale_.clients_; ++client) {
            transmissions.push_back(transmission(client));
            transmissions.back().port_ = port;
        }
        support::ClientCrowd crowd(std::move(transmissions));
        PeakUsage peak;
        const auto end = std::chrono::steady_clock::now() + attackTime;
        while (std::chrono::steady_clock::now() < end)
            sample(peak);
        return peak;
    }

    [[nodiscard]] const AttackScale &scale() const { return scale_; }
    [[nodiscard]] const Deployment::Ports &ports() const { return deployment_.ports(0); }
    [[nodiscard]] Deployment &deployment() { return deployment_; }

    [[nodiscard]] bool isAlive() { return deployment_.harness().isRunning(deployment_.gateway(0)); }

    /// \brief Whether an ordinary request of a new client is served.
    [[nodiscard]] bool serves() const
    {
        return support::waitUntil(
            [this] { return deployment_.call(0, "/once/1", "ordinary").status_ == 200; });
    }

private:
    void sample(PeakUsage &peak)
    {
        const auto process = deployment_.harness().pid(deployment_.gateway(0));
        const std::array listening{ports().callers_, ports().readiness_, ports().digests_,
                                   ports().metrics_};
        PeakUsage now;
        now.unreadBytes_ = support::unreadBytes(process, listening);
        now.residentBytes_ = support::residentBytes(process);
        peak.descriptors_ = std::max(peak.descriptors_, support::openDescriptors(process));
        if (now.bytes() > peak.bytes()) {
            peak.residentBytes_ = now.residentBytes_;
            peak.unreadBytes_ = now.unreadBytes_;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }

    AttackScale scale_;
    Deployment deployment_;
};

} // namespace cardamombay::test
