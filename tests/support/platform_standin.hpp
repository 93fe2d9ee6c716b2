/// \file
/// \brief The platform's service in small: tables, objects, VM list, weights, and faults.
#pragma once

#include "support/fake_store.hpp"

#include <cardamombay/core/address.hpp>
#include <cardamombay/platform/vm_directory.hpp>

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::support {

/// \brief Rates and times of the stand-in; a rate of zero is no limit.
struct PlatformSettings
{
    Address address_{"127.0.0.1", 0};
    std::uint32_t writesPerSecond_ = 0;
    std::uint32_t readsPerSecond_ = 0;
    std::uint32_t weightTransfers_ = 8; ///< At once; further ones are throttled.
    Duration weightTransferTime_ = std::chrono::milliseconds(200);
    Duration vmListLag_{}; ///< A change shows in the list after this time.
};

/// \brief Faults of the stand-in, switched by the test or over HTTP.
struct PlatformFaults
{
    bool isDown_ = false;               ///< Answers 503, carries nothing out.
    bool isSilent_ = false;             ///< Takes requests, carries nothing out, never answers.
    bool throttles_ = false;            ///< Answers 429, carries nothing out.
    bool losesAnswers_ = false;         ///< Carries commits out, closes without an answer.
    bool losesRequests_ = false;        ///< Closes without carrying out or answering.
    bool freezesReads_ = false;         ///< Reads and scans show the rows of the switching.
    bool garblesAnswers_ = false;       ///< Carries out, answers with text that is not JSON.
    std::uint32_t loseNextAnswers_ = 0; ///< As losesAnswers_, for that many commits.
    Duration delay_{};                  ///< Half before carrying out, half before the answer.
};

/// \brief What the stand-in has done.
struct PlatformCounters
{
    std::uint64_t commits_ = 0;
    std::uint64_t conflicts_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t scans_ = 0;
    std::uint64_t listings_ = 0;
    std::uint64_t throttled_ = 0;
};

/// \brief Speaks docs/PLATFORM.md on the event loop of the test or of its own program.
class PlatformStandin
{
public:
    explicit PlatformStandin(boost::asio::io_context &context, PlatformSettings settings = {});
    ~PlatformStandin();
    PlatformStandin(const PlatformStandin &) = delete;
    PlatformStandin &operator=(const PlatformStandin &) = delete;

    [[nodiscard]] Address address() const;
    [[nodiscard]] const FakePlatform &content() const;
    [[nodiscard]] PlatformCounters counters() const;
    void setFaults(const PlatformFaults &faults);
    /// \brief Replaces the VM list; callers see it after the lag.
    void setVms(std::vector<platform::VmRecord> vms);
    /// \brief As the body of POST /test/vms; false if it cannot be read.
    bool setVms(std::string_view text);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::support
