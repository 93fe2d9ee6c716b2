/// \file
/// \brief Steers the links of the fault_proxy program over HTTP.
#pragma once

#include "support/fault_proxy.hpp"

#include <cardamombay/net/http_client.hpp>

#include <memory>
#include <vector>

namespace cardamombay::support {

/// \brief Holds the links and carries out the calls that the fault_proxy program documents.
class FaultProxyControl
{
public:
    explicit FaultProxyControl(boost::asio::io_context &context)
        : context_(context)
    {
    }

    /// \brief Opens a link to \p target on a free port and returns its number.
    std::size_t add(const Address &target);

    [[nodiscard]] const FaultProxy &link(std::size_t number) const { return *links_.at(number); }

    /// \brief Carries out one call.
    [[nodiscard]] net::HttpResponse handle(const net::HttpRequest &request);

private:
    [[nodiscard]] std::string dispatch(const net::HttpRequest &request);
    [[nodiscard]] std::string listLinks() const;

    boost::asio::io_context &context_;
    std::vector<std::unique_ptr<FaultProxy>> links_;
};

} // namespace cardamombay::support
