/// \file
/// \brief Callers with request ids and ranks of their own, for the tests of overload control.
#pragma once

#include "support/gateway_fixture.hpp"

#include <memory>
#include <string>
#include <utility>

namespace cardamombay::support {

/// \brief Records what a caller receives.
class RecordingExchange final : public net::ServerExchange
{
public:
    explicit RecordingExchange(std::shared_ptr<CallerView> view)
        : view_(std::move(view))
    {
    }

    void respond(net::HttpResponse response) override { view_->answer_ = std::move(response); }
    void startStream(net::HttpResponse head) override { view_->streamHead_ = std::move(head); }
    void write(std::span<const std::string_view> parts, std::function<void()> written) override
    {
        for (const auto part : parts)
            view_->streamed_ += part;
        written();
    }
    void finish(std::span<const net::HttpField> /*trailers*/) override
    {
        view_->isFinished_ = true;
    }
    void abort() override { view_->isAborted_ = true; }
    void onLost(std::function<void()> lost) override { view_->lost_ = std::move(lost); }

private:
    std::shared_ptr<CallerView> view_;
};

/// \brief One attempt of a caller. The fingerprint depends on all members but the id.
struct RankedCall
{
    std::string path_; ///< "/stream/" has rank 0, "/batch/" 4, "/bulk/" 7.
    std::string id_;   ///< Unique for each attempt.
    std::string key_ = "key-a";
};

/// \brief Sends a request for model "m" to \p gateway.
[[nodiscard]] inline std::shared_ptr<CallerView> askRanked(serving::Gateway &gateway,
                                                           const RankedCall &call)
{
    auto view = std::make_shared<CallerView>();
    net::ServerRequest request;
    request.method_ = "POST";
    request.target_ = call.path_;
    request.fields_ = {{"id", call.id_}, {"host", "h"}, {"key", call.key_}, {"model", "m"}};
    gateway.handle(std::move(request), std::make_shared<RecordingExchange>(view));
    return view;
}

/// \brief Adds routes with ranks 4 and 7 to the engine service of \p configuration.
inline serving::Configuration withRanks(serving::Configuration configuration)
{
    for (const auto &[prefix, rank] :
         {std::pair<std::string, std::uint32_t>{"/batch/", 4}, {"/bulk/", 7}}) {
        auto route = configuration.routes_[2];
        route.name_ = prefix;
        route.prefix_ = prefix;
        route.priority_ = rank;
        configuration.routes_.push_back(std::move(route));
    }
    return configuration;
}

/// \brief Retry delay of a refusal; zero if the answer names none.
inline Duration retryAfter(const CallerView &caller)
{
    const auto text = caller.answer_ ? caller.answer_->field("come-back") : std::string_view();
    return std::chrono::milliseconds(text.empty() ? 0 : std::stoll(std::string(text)));
}

} // namespace cardamombay::support
