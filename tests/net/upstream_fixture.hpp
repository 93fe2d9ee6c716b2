/// \file
/// \brief Calls of the upstream clients, and how they ended.
#pragma once

#include <cardamombay/net/asio_clock.hpp>
#include <cardamombay/net/kept_upstream.hpp>
#include <cardamombay/net/upstream_client.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamombay::support {

/// \brief Records the events of one call and reads its answer to the end.
struct RecordingListener final : public net::UpstreamListener
{
    bool onConnected() override { return true; }
    void onHead(net::HttpResponse answer) override
    {
        status_ = answer.status_;
        fields_ = std::move(answer.fields_);
        endsWithConnection_ = answer.endsWithConnection_;
    }
    void onData(std::string_view data) override
    {
        begun_ = data;
        if (call_)
            call_->consume(0);
    }
    void onEnd(std::string_view rest) override { body_ = rest; }
    void onFailure(net::UpstreamFailure failure) override { failure_ = std::move(failure); }

    [[nodiscard]] bool isOver() const { return body_ || failure_; }

    std::unique_ptr<net::UpstreamCall> call_;
    std::uint32_t status_ = 0; ///< Zero if no head was reported.
    std::vector<net::HttpField> fields_;
    bool endsWithConnection_ = false;
    std::string begun_;               ///< Data before the end.
    std::optional<std::string> body_; ///< Set if the answer was whole.
    std::optional<net::UpstreamFailure> failure_;
};

/// \brief Both clients in one event loop.
struct UpstreamFixture
{
    /// \brief Sends a request and waits for its answer.
    std::unique_ptr<RecordingListener> call(net::Upstream &upstream, const Address &address,
                                            std::string body = {},
                                            const std::vector<net::HttpField> &fields = {})
    {
        auto listener = std::make_unique<RecordingListener>();
        net::UpstreamRequest request;
        request.address_ = address;
        request.fields_ = {{"X-Request-Id", "own"}};
        request.fields_.insert(request.fields_.end(), fields.begin(), fields.end());
        request.body_ = std::move(body);
        listener->call_ = upstream.start(std::move(request), *listener);
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(3);
        while (!listener->isOver() && std::chrono::steady_clock::now() < end)
            context_.run_one_for(std::chrono::milliseconds(5));
        context_.restart();
        return listener;
    }

    std::vector<net::Upstream *> clients() { return {&kept_, &fresh_}; }

    boost::asio::io_context context_;
    net::AsioClock clock_{context_};
    net::KeptUpstream kept_{context_, clock_};
    net::UpstreamClient fresh_{context_};
};

} // namespace cardamombay::support
