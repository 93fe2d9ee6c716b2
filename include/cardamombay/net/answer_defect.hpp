/// \file
/// \brief Which received heads are answers of an endpoint, and when an answer is whole.
/// \details Decides for all HTTP clients what the parser leaves open: it accepts more than the
/// protocol does. Guards the promise that callers get answers of endpoints, or a failure of ours.
/// It does no I/O and knows nothing about requests and their outcomes.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace cardamombay::net {

struct HttpResponse;

/// \brief Why received bytes are not an answer.
enum class AnswerDefect {
    Syntax,  ///< The parser cannot read them.
    Status,  ///< It is outside 100 to 599 (RFC 9110, 15), or 101, which needs a request for it.
    Field,   ///< The name or value of a field has characters that it must not have.
    Folding, ///< A field goes on in a line that begins with a blank (RFC 9112, 5.2).
    TransferCoding, ///< The body is transferred in another coding than "chunked".
    ContentCoding,  ///< The body has a coding that the request did not accept.
    Reset,          ///< A body that ends with its connection was cut off by a reset (RFC 9112, 8).
};

/// \brief All defects, for tables by defect.
inline constexpr std::array answerDefects{AnswerDefect::Syntax,         AnswerDefect::Status,
                                          AnswerDefect::Field,          AnswerDefect::Folding,
                                          AnswerDefect::TransferCoding, AnswerDefect::ContentCoding,
                                          AnswerDefect::Reset};

/// \returns a word such as "status", for metrics.
[[nodiscard]] std::string_view nameOf(AnswerDefect defect);

/// \returns a phrase such as "the answer's status is not one of HTTP", for logs.
[[nodiscard]] std::string_view textOf(AnswerDefect defect);

/// \brief What the fields of a head do not tell.
struct HeadContext
{
    /// A field was spread over several lines, which the parser has joined.
    bool isFolded_ = false;
    /// A body follows.
    bool hasBody_ = true;
    /// The request's Accept-Encoding; without one it accepts no content coding.
    std::string_view acceptedCodings_ = {};
};

/// \param head its body does not count.
/// \returns the first defect, or nothing if the head is one of an answer.
[[nodiscard]] std::optional<AnswerDefect> defectOf(const HttpResponse &head,
                                                   const HeadContext &context);

/// \brief True if the answer itself follows after a head with this status (RFC 9110, 15.2).
[[nodiscard]] bool isInterim(std::uint32_t status);

/// \brief Judges an answer whose body has ended, as far as the parser can tell.
/// \param endsWithConnection the body has neither a length nor chunks.
/// \param wasReset the connection was reset, as a read or a write has told. The other one then
/// sees an end in order, since a socket tells its error once.
/// \returns the defect, or nothing if the answer is whole.
[[nodiscard]] std::optional<AnswerDefect> defectOfEnd(bool endsWithConnection, bool wasReset);

} // namespace cardamombay::net
