/// \file
/// \brief One completion of a stand-in engine: its request, its text and its answer's JSON.
#pragma once

#include "support/standin_server.hpp"

#include <cardamombay/core/time.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamombay::support {

/// \brief Header field with the id of the attempt, of requests and answers.
inline constexpr std::string_view attemptHeader = "X-Attempt-Id";

/// \name Fields of JSON objects; the fallback if one is absent or of another type
/// \{
[[nodiscard]] std::string textOf(const boost::json::object &object, std::string_view key);
[[nodiscard]] std::int64_t numberOf(const boost::json::object &object, std::string_view key,
                                    std::int64_t fallback);
/// \}

/// \brief What the text of a completion depends on.
struct CompletionInput
{
    std::string model_;
    std::string modelVersion_;
    std::string prompt_; ///< Chats: contents of all messages, joined by line feeds.
    std::uint64_t seed_ = 0;
};

/// \brief Token \p index of the completion; a pure function, so that any part can be checked.
[[nodiscard]] std::string tokenText(const CompletionInput &input, std::uint32_t index);

/// \brief Tokens [first, count) joined.
[[nodiscard]] std::string completionText(const CompletionInput &input, std::uint32_t first,
                                         std::uint32_t count);

/// \brief One request that an engine ran, whole or in part.
struct EngineRun
{
    std::string attempt_;
    std::string bodyHash_;
    std::string idempotencyKey_;
    std::string user_; ///< Field "user" of the body: the caller's own mark.
    std::uint32_t firstToken_ = 0;
    std::uint32_t tokens_ = 0;        ///< Generated, whether delivered or not.
    std::string outcome_ = "running"; ///< Then "complete", "cancelled" or "cut".
};

/// \brief Fault switched by POST /test/behaviour.
struct EngineBehaviour
{
    std::string kind_ = "normal";
    std::uint32_t count_ = 0; ///< Requests it holds for; zero is all.
    std::uint32_t afterTokens_ = 2;
    Duration delay_ = std::chrono::milliseconds(500);
};

/// \brief One completion being answered.
struct EngineCompletion
{
    CompletionInput input_;
    bool isChat_ = false;
    bool isStream_ = false;
    std::int64_t priority_ = 0;
    std::uint32_t last_ = 0; ///< Tokens are numbered up to, not including, this.
    std::string shownAttempt_;
    EngineBehaviour behaviour_;
    std::shared_ptr<EngineRun> run_;

    [[nodiscard]] bool is(std::string_view kind) const { return behaviour_.kind_ == kind; }
    [[nodiscard]] std::uint32_t next() const { return run_->firstToken_ + run_->tokens_; }

    /// \brief Takes everything from a request with this JSON body.
    void read(const StandinRequest &request, const boost::json::object &body);

    /// \brief The server-sent event of token \p index.
    [[nodiscard]] std::string event(std::uint32_t index) const;

    /// \brief The body of an answer that is not streamed.
    [[nodiscard]] std::string whole() const;

    /// \brief Status and header fields of the answer.
    [[nodiscard]] StandinResponse head() const;
};

} // namespace cardamombay::support
