/// \file
/// \brief Timeouts of one connection's operations.
/// \details They run on the monotonic clock, which stands still while the VM is suspended: Beast's
/// streams know no other. So a peer that does not answer is given up later by the time of a
/// suspension, and nothing else depends on them. Whatever decides by time, such as the age of a
/// kept connection, a deadline or a lease, reads Clock.
#pragma once

#include <cardamombay/core/time.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace cardamombay::net::impl {

/// \brief Timer of an operation on a connection.
using TimeoutTimer = boost::asio::steady_timer;

/// \brief Ends the next operations with a timeout unless they are done after \p timeout.
inline void setTimeout(boost::beast::tcp_stream &stream, Duration timeout)
{
    stream.expires_after(timeout);
}

inline void setTimeout(TimeoutTimer &timer, Duration timeout)
{
    timer.expires_after(timeout);
}

/// \brief The next operations may take any time.
inline void clearTimeout(boost::beast::tcp_stream &stream)
{
    stream.expires_never();
}

} // namespace cardamombay::net::impl
