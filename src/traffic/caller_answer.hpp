/// \file
/// \brief The caller's side of a session: what it was sent so far, over all attempts.
#pragma once

#include <cardamombay/net/server_exchange.hpp>
#include <cardamombay/traffic/claim.hpp>
#include <cardamombay/traffic/problem.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamombay::traffic::impl {

/// \brief Writes one answer, whole or as a stream, or one failure.
class CallerAnswer
{
public:
    /// \param exchange the caller's exchange.
    /// \param request named in the answer.
    /// \param keepsCopy whether a copy of the answer is kept, for later callers with its key.
    CallerAnswer(std::shared_ptr<net::ServerExchange> exchange, RequestId request, bool keepsCopy);

    /// \brief Calls \p lost once if the caller goes away before the answer is out.
    void onLost(std::function<void()> lost) { exchange_->onLost(std::move(lost)); }

    /// \brief Answers with an endpoint's whole response.
    void respond(net::HttpResponse response, outcomes::Outcome outcome);

    /// \brief Sends parts of a stream; its head goes first.
    void writeStream(const net::HttpResponse &head, std::span<const std::string_view> parts,
                     std::function<void()> written);

    /// \brief Ends a whole stream.
    void finishStream();

    /// \brief Tells the caller of a failure, as a response or as the last event of its stream.
    void fail(const Problem &problem);

    /// \name What the caller has got
    /// \{
    [[nodiscard]] bool hasStreamStarted() const { return hasStreamStarted_; }
    [[nodiscard]] bool isAnswered() const { return isAnswered_; }
    [[nodiscard]] std::uint32_t status() const { return status_; }
    [[nodiscard]] const StoredAnswer &copy() const { return copy_; }
    /// \}

private:
    void startStream(const net::HttpResponse &head);

    std::shared_ptr<net::ServerExchange> exchange_;
    RequestId request_;
    bool keepsCopy_;
    bool hasStreamStarted_ = false;
    bool isEventStream_ = false;
    bool isAnswered_ = false;
    std::uint32_t status_ = 0;
    StoredAnswer copy_;
};

} // namespace cardamombay::traffic::impl
