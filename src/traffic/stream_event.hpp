/// \file
/// \brief Server-sent events of engines.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::traffic::impl {

/// \brief Length of the first whole event in \p data with its blank line; zero if none is whole.
[[nodiscard]] std::size_t eventLength(std::string_view data);

/// \brief Content of the event's data line; empty if it has none.
[[nodiscard]] std::string_view dataOf(std::string_view event);

/// \brief True for the data of the event that ends a whole stream.
[[nodiscard]] bool isEndMarker(std::string_view data);

/// \brief What of a token event concerns the relay.
struct TokenEvent
{
    std::string attempt_;
    std::uint64_t index_ = 0;
};

/// \brief Reads a token event; nothing if it is malformed.
[[nodiscard]] std::optional<TokenEvent> parseTokenEvent(std::string_view data);

} // namespace cardamombay::traffic::impl
