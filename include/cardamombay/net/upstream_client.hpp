/// \file
/// \brief Upstream on a Boost.Asio event loop.
#pragma once

#include <cardamombay/net/upstream.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::net {

/// \brief Starts calls over TCP.
/// \details Each call has a fresh connection: a connection that was kept could turn out dead only
/// after the request was written, and then nobody knows whether the request ran.
class UpstreamClient final : public Upstream
{
public:
    explicit UpstreamClient(boost::asio::io_context &context)
        : context_(context)
    {
    }

    [[nodiscard]] std::unique_ptr<UpstreamCall> start(UpstreamRequest request,
                                                      UpstreamListener &listener) override;

private:
    boost::asio::io_context &context_;
};

} // namespace cardamombay::net
