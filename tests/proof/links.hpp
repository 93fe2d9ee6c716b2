/// \file
/// \brief Fault-injecting proxies on every link of a deployment of real processes.
#pragma once

#include "support/fault_proxy.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace cardamombay::test {

/// \brief Holds a proxy for each link and runs them on a thread of its own.
/// \details Links have the names of FleetPlan::route_. An empty name in a call stands for all.
class Links
{
public:
    Links();
    Links(const Links &) = delete;
    Links &operator=(const Links &) = delete;
    ~Links();

    /// \brief The proxy's address for a link; the first call opens it.
    Address open(std::string_view client, std::string_view server, const Address &target);

    /// \brief Replaces the faults of the links that match.
    void setFaults(std::string_view client, std::string_view server,
                   const support::LinkFaults &faults);

    /// \brief Holds all bytes in both directions until heal().
    void partition(std::string_view client, std::string_view server);

    /// \brief Ends all faults.
    void heal();

    /// \brief Resets all connections of the links that match.
    void cut(std::string_view client, std::string_view server);

private:
    using Name = std::pair<std::string, std::string>;

    void run(const std::function<void()> &task);
    void forEach(std::string_view client, std::string_view server,
                 const std::function<void(support::FaultProxy &)> &task);

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::map<Name, support::FaultProxy> proxies_;
    std::thread thread_;
};

} // namespace cardamombay::test
