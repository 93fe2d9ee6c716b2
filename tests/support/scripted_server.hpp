/// \file
/// \brief HTTP listener that answers each request with the next raw text of a script.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/time.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace cardamombay::support {

/// \brief What to do with one request.
struct ScriptedAnswer
{
    std::string bytes_ = {};      ///< Sent as they are.
    bool closes_ = false;         ///< Closes the connection afterwards.
    Duration delay_{};            ///< Wait before sending.
    std::string laterBytes_ = {}; ///< Sent 20 ms after bytes_.
    bool resets_ = false;         ///< Resets the connection before anything is sent.
    bool resetsLater_ = false;    ///< Resets the connection 20 ms after bytes_.
};

/// \brief Serves on 127.0.0.1 within the test's event loop; past its script it stays silent.
class ScriptedServer
{
public:
    explicit ScriptedServer(boost::asio::io_context &context,
                            std::vector<ScriptedAnswer> script = {});
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    void add(ScriptedAnswer answer);
    [[nodiscard]] Address address() const;
    [[nodiscard]] std::size_t connections() const;
    /// \brief Bodies of the requests so far.
    [[nodiscard]] const std::vector<std::string> &bodies() const;
    /// \brief Closes every connection; the listener stays.
    void closeConnections();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// \brief A whole HTTP response with a JSON body.
[[nodiscard]] std::string jsonAnswer(const std::string &body, int status = 200,
                                     const std::string &fields = "");

} // namespace cardamombay::support
