/// \file
/// \brief Runs asynchronous calls of the library one after another, waiting for each.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/asio_http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace cardamombay::cli {

/// \brief An event loop with the real clock and an HTTP client.
class EventLoop
{
public:
    EventLoop()
        : clock_(context_)
        , client_(context_)
    {
    }

    [[nodiscard]] net::AsioClock &clock() { return clock_; }
    [[nodiscard]] net::AsioHttpClient &client() { return client_; }

    /// \brief Starts a call and runs the loop until its result is there.
    /// \param start receives the callback; it must call it once.
    template<typename T>
    Result<T> wait(const std::function<void(Callback<T>)> &start)
    {
        auto result = std::make_shared<std::optional<Result<T>>>();
        start([result](Result<T> answer) { *result = std::move(answer); });
        return finish(*result);
    }

    /// \brief Sends an HTTP request and waits for the answer.
    net::HttpResult send(net::HttpRequest request)
    {
        auto result = std::make_shared<std::optional<net::HttpResult>>();
        client_.send(std::move(request),
                     [result](net::HttpResult answer) { *result = std::move(answer); });
        return finish(*result);
    }

    /// \brief Runs the loop for \p time.
    void sleep(Duration time)
    {
        std::optional<bool> isOver;
        clock_.schedule(time, [&isOver] { isOver = true; });
        static_cast<void>(finish(isOver));
    }

private:
    template<typename T>
    T finish(std::optional<T> &result)
    {
        while (!result) {
            context_.restart();
            context_.run_one();
        }
        return std::move(*result);
    }

    boost::asio::io_context context_;
    net::AsioClock clock_;
    net::AsioHttpClient client_;
};

} // namespace cardamombay::cli
