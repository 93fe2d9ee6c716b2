/// \file
/// \brief An HTTP client and a scripted server in one event loop.
#pragma once

#include "support/scripted_server.hpp"

#include <cardamombay/net/asio_http_client.hpp>

#include <boost/asio/io_context.hpp>

#include <stdexcept>
#include <utility>
#include <vector>

namespace cardamombay::support {

using net::HttpFailure;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpResult;

struct ClientFixture
{
    explicit ClientFixture(net::HttpClientLimits limits = {})
        : client_(context_, limits)
        , server_(context_)
    {
    }

    void start(HttpRequest request)
    {
        request.address_ = request.address_.ip_.empty() ? server_.address() : request.address_;
        client_.send(std::move(request),
                     [this](HttpResult result) { results_.push_back(std::move(result)); });
    }

    void runUntil(std::size_t count)
    {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (results_.size() < count && std::chrono::steady_clock::now() < limit)
            context_.run_one_for(std::chrono::milliseconds(100));
        if (results_.size() != count)
            throw std::runtime_error("another number of answers");
    }

    HttpResult exchange(HttpRequest request)
    {
        const std::size_t count = results_.size() + 1;
        start(std::move(request));
        if (results_.size() != count - 1)
            throw std::logic_error("answered inline");
        runUntil(count);
        return results_.back();
    }

    HttpFailure failure(HttpRequest request)
    {
        const auto result = exchange(std::move(request));
        return std::get<HttpFailure>(result);
    }

    HttpResponse response(HttpRequest request)
    {
        const auto result = exchange(std::move(request));
        return std::get<HttpResponse>(result);
    }

    void settle(Duration time)
    {
        context_.run_for(time);
        context_.restart();
    }

    boost::asio::io_context context_;
    net::AsioHttpClient client_;
    ScriptedServer server_;
    std::vector<HttpResult> results_;
};

inline HttpRequest post(std::string body)
{
    HttpRequest request;
    request.method_ = "POST";
    request.body_ = std::move(body);
    return request;
}

inline HttpRequest postWithId(std::string id)
{
    HttpRequest request = post("{}");
    request.fields_.push_back({std::string(net::requestIdField), std::move(id)});
    return request;
}

} // namespace cardamombay::support
