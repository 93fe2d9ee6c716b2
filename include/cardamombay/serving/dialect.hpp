/// \file
/// \brief Seams to whoever knows the header fields that callers and endpoints use.
/// \details A dialect only names and converts. What a request may do, where it goes and what its
/// outcome means is decided by the session.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/net/http_client.hpp>
#include <cardamombay/serving/answer_notices.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamombay::serving {

/// \brief What a caller says about its request besides method, path and body.
struct RequestHead
{
    RequestId request_; ///< Unique for each attempt of a caller.
    std::string host_;
    std::string key_;                  ///< Empty if the caller shows none.
    std::optional<Duration> patience_; ///< How long the caller will wait.
    ModelName model_;
    std::uint32_t promptTokens_ = 0;
    std::uint32_t maxAnswerTokens_ = 0;
    std::uint32_t expectedAnswerTokens_ = 0; ///< The caller's own guess; 0 if it gives none.
    std::optional<std::uint64_t> lastEvent_; ///< The caller has the stream up to this event.
};

/// \brief What the system adds to a request for one attempt at an endpoint.
struct AttemptHead
{
    VmId endpoint_;       ///< Any other endpoint at the address must refuse.
    TeamName team_;       ///< Empty if the route asks for no key.
    Duration patience_{}; ///< Time that is left.
    std::optional<std::uint64_t> lastEvent_;
    std::optional<std::uint32_t> requestPriority_; ///< 0 (first) to 9.
};

/// \brief What the head of an endpoint's answer says.
struct EndpointResponseHead
{
    bool isRefused_ = false;     ///< The endpoint states that it did not run the request.
    bool isMisdirected_ = false; ///< Another endpoint has the address.
    bool isSealed_ = false;      ///< Carries the endpoint's proof that the answer is its own.
    VmId failedMember_;          ///< The VM that the endpoint holds responsible; empty if none.
    AnswerNotices notices_;
};

/// \brief Converts header fields of callers and endpoints.
class Dialect
{
public:
    Dialect() = default;
    Dialect(const Dialect &) = delete;
    Dialect &operator=(const Dialect &) = delete;
    virtual ~Dialect() = default;

    /// \brief Reads a caller's head. Values that cannot be read count as absent.
    [[nodiscard]] virtual RequestHead
    parseRequestHead(std::span<const net::HttpField> fields) const = 0;

    /// \brief The fields for an endpoint: the caller's, less those of its connection and its key,
    /// and with those of the attempt.
    [[nodiscard]] virtual std::vector<net::HttpField>
    attemptFields(std::span<const net::HttpField> fields, const AttemptHead &attempt) const = 0;

    /// \brief Reads the head of an endpoint's answer.
    [[nodiscard]] virtual EndpointResponseHead
    parseResponseHead(const net::HttpResponse &head) const = 0;

    /// \brief The endpoint's fields that the caller gets.
    [[nodiscard]] virtual std::vector<net::HttpField>
    callerFields(const net::HttpResponse &head) const = 0;

    /// \brief A failure of the system's own.
    /// \param suggestedRetryDelay when to try again; absent if it is not worth while.
    [[nodiscard]] virtual net::HttpResponse
    failure(std::uint32_t status, std::string_view reason,
            std::optional<Duration> suggestedRetryDelay) const = 0;
};

} // namespace cardamombay::serving
