/// \file
/// \brief Sends a workload at its own pace and measures what callers see.
#pragma once

#include <cardamombay/load/arrivals.hpp>
#include <cardamombay/load/load_report.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace cardamombay::load {

/// \brief One open-loop run: requests go out at their intended times, however slow the answers.
/// \details A latency counts from the intended time, so that a tool or a system that falls behind
/// shows it in full. When too many calls are in flight, a call is left out and counted as skipped;
/// it is never put off. Calls go to the entry VMs in turn, as a balancer would send them.
class LoadRun
{
public:
    /// \param context runs the calls; single-threaded.
    /// \param workload what to send.
    /// \param entries callers' listeners; at least one, all on the loopback network.
    LoadRun(boost::asio::io_context &context, Workload workload, std::vector<Address> entries);
    ~LoadRun();

    /// \brief Starts; \p done runs when the last call has ended.
    void start(std::function<void(const LoadReport &)> done);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

/// \brief True if \p address is on the loopback network.
[[nodiscard]] bool isLoopback(const Address &address);

} // namespace cardamombay::load
