/// \file
/// \brief Bytes that an endpoint in trouble sends in place of an answer until the caller closes.
#pragma once

#include "support/standin_server.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamombay::support {

/// \brief Connections on which such bytes are sent.
struct EndlessAnswers
{
    std::size_t open_ = 0;    ///< Now.
    std::size_t started_ = 0; ///< So far.
    std::uint64_t bytes_ = 0; ///< Sent so far on all of them.
};

/// \brief The bytes of one kind: first_ once, then piece_ again and again.
struct EndlessAnswer
{
    std::string first_;
    std::string piece_;
    std::chrono::milliseconds pause_{}; ///< Between first_ and the pieces.
};

/// \param kind "head-line", "head-fields", "no-http", "length", "failure", "chunks",
/// "chunk-extension", "trailers", "no-length", "interim", "behind", "resting", "foreign-answers",
/// "foreign-body", "event" (one without end) or "events" (many whole ones).
/// \param request id of the request, which a proper answer echoes.
/// \param endpoint id of the endpoint.
/// \throws std::invalid_argument if there is no such kind.
[[nodiscard]] EndlessAnswer endlessAnswer(std::string_view kind, const std::string &request,
                                          const std::string &endpoint);

/// \brief Sends \p answer on the connection of \p exchange; throws once the caller has closed it.
boost::asio::awaitable<void> sendEndlessly(StandinExchange &exchange, EndlessAnswer answer,
                                           EndlessAnswers &answers);

} // namespace cardamombay::support
