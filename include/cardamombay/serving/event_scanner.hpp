/// \file
/// \brief Finds event boundaries and ids in a stream without modifying it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamombay::serving {

/// \brief The complete events at the start of a chunk of a stream.
struct CompleteEvents
{
    std::size_t size_ = 0; ///< Bytes up to the end of the last complete event.
    std::size_t count_ = 0;
    std::optional<std::uint64_t> lastId_; ///< Id of the last complete event that has one.
};

/// \brief Scans text/event-stream bytes that start at an event boundary.
/// \code
/// const auto whole = scanCompleteEvents("id: 3\ndata: x\n\nid: 4\nda"); // 15 bytes, last id 3
/// \endcode
[[nodiscard]] CompleteEvents scanCompleteEvents(std::string_view text);

} // namespace cardamombay::serving
