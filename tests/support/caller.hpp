/// \file
/// \brief Blocking caller for tests, with the ways callers speak to entry VMs.
#pragma once

#include <cardamombay/load/http_caller.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamombay::support {

/// \brief A completion that a test asks for.
struct CompletionCall
{
    std::string service_;
    std::string team_;
    std::string prompt_ = "hello";
    std::uint32_t tokens_ = 16;
    std::optional<std::uint64_t> seed_;
    bool isStream_ = true;
    bool isChat_ = false;
    std::string user_;           ///< The caller's own mark; engines record it.
    std::string idempotencyKey_; ///< Empty sends none.
    bool isNonIdempotent_ = false;
    std::optional<std::chrono::milliseconds> deadline_;
    std::vector<net::HttpField> fields_; ///< Further headers.
};

/// \brief What a completion gave, read from the wire.
struct CompletionAnswer
{
    load::CallResult result_;
    std::string text_;         ///< Tokens joined.
    std::uint32_t tokens_ = 0; ///< Events, or completion_tokens.
    bool hasEnd_ = false;      ///< "[DONE]", or a whole JSON answer.
    std::string outcome_;      ///< X-Outcome, or "outcome" of a problem body.

    /// \brief True if the answer claims success and came whole.
    [[nodiscard]] bool isComplete() const { return result_.status_ == 200 && hasEnd_; }
};

/// \brief Sends one call at a time and waits for it; use one for each thread.
class Caller
{
public:
    explicit Caller(Address entry)
        : entry_(std::move(entry))
    {
    }

    /// \brief Sends \p call to its own address, or to the entry VM if that is unset.
    load::CallResult send(load::Call call);

    load::CallResult fetch(std::string target);
    load::CallResult post(std::string target, std::string body,
                          std::vector<net::HttpField> fields = {});

    CompletionAnswer complete(const CompletionCall &call);

    Duration timeout_ = std::chrono::seconds(60);

private:
    Address entry_;
};

/// \brief The HTTP request of a completion.
[[nodiscard]] load::Call toCall(const CompletionCall &call);

/// \brief Reads what came back; \p isStream as it was asked for.
[[nodiscard]] CompletionAnswer readCompletion(load::CallResult result, bool isStream);

} // namespace cardamombay::support
