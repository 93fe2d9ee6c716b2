/// \file
/// \brief Finds the borders and ids of events in a stream, without changing a byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamombay::serving {

/// \brief The whole events at the start of a piece of a stream.
struct CompleteEvents
{
    std::size_t size_ = 0; ///< Bytes up to the end of the last whole event.
    std::size_t count_ = 0;
    std::optional<std::uint64_t> lastId_; ///< Id of the last event that has one.
};

/// \brief Scans text/event-stream bytes that begin at an event's border.
/// \code
/// const auto whole = wholeEvents("id: 3\ndata: x\n\nid: 4\nda"); // 15 bytes, last id 3
/// \endcode
[[nodiscard]] CompleteEvents scanCompleteEvents(std::string_view text);

} // namespace cardamombay::serving
