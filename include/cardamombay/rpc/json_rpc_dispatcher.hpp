/// \file
/// \brief Server half of the link between entry VMs: JSON-RPC 2.0 text in, text out.
/// \details Decides nothing; it finds the method and turns whatever is malformed into a JSON-RPC
/// error. It never throws and never blocks. The listener that carries the text belongs to the
/// daemon.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/membership/digest.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cardamombay::rpc {

/// \brief Dispatches JSON-RPC requests on the thread that calls it.
/// \code
/// JsonRpcDispatcher dispatcher;
/// dispatcher.setExchangeHandler([&](const Digest &in) { return membership.handle(in); });
/// const std::string response = dispatcher.handle(requestBody);
/// \endcode
class JsonRpcDispatcher
{
public:
    /// \brief Takes a digest, gives the answer.
    using ExchangeHandler = std::function<membership::Digest(const membership::Digest &)>;
    /// \brief Takes the JSON text of the parameters (an array), gives the JSON text of the result.
    using Method = std::function<Result<std::string>(const std::string &parameters)>;

    JsonRpcDispatcher();
    JsonRpcDispatcher(const JsonRpcDispatcher &) = delete;
    JsonRpcDispatcher &operator=(const JsonRpcDispatcher &) = delete;
    ~JsonRpcDispatcher();

    /// \brief Sets what answers the method "exchange".
    void setExchangeHandler(ExchangeHandler handler);

    /// \brief Registers a further method, such as "config", with one positional parameter object.
    void registerMethod(const std::string &name, Method method);

    /// \brief Handles one request.
    /// \param request JSON-RPC 2.0 text; anything else gives a JSON-RPC error.
    /// \returns the response text; empty for notifications.
    [[nodiscard]] std::string handle(const std::string &request);

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace cardamombay::rpc
