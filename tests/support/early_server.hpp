/// \file
/// \brief HTTP listener that answers requests whose bodies are still being written.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::support {

/// \brief How the server ends a connection after its answer.
enum class EarlyEnd {
    Reset,         ///< Resets the connection.
    CloseUnread,   ///< Closes it; the kernel resets it if bytes of the request are unread.
    CloseAndReset, ///< Ends its direction in order, then resets the connection.
    CloseAndRead,  ///< Ends its direction in order and reads the rest of the request.
};

/// \brief The answer to each request.
struct EarlyAnswer
{
    std::string bytes_;         ///< Sent as they are.
    std::size_t bytesRead_ = 0; ///< Read of the request before the answer, besides its head.
    Duration delay_{};          ///< Between the answer and the end of the connection.
    EarlyEnd end_ = EarlyEnd::Reset;
};

/// \brief Serves on 127.0.0.1 with a small receive buffer, so that long bodies take time to write.
class EarlyServer
{
public:
    /// \param context runs the server and outlives it.
    EarlyServer(boost::asio::io_context &context, EarlyAnswer answer);
    ~EarlyServer();
    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;

    [[nodiscard]] Address address() const;
    /// \brief Requests that were answered so far; may be called from any thread.
    [[nodiscard]] std::size_t answers() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace cardamombay::support
