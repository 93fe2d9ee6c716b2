/// \file
/// \brief Finds the name a reader most likely meant.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cardamombay::config::impl {

/// \brief The known name with the fewest edits from \p name; empty if none is near.
[[nodiscard]] std::string nearestName(std::string_view name, std::span<const std::string> known);

/// \brief Remedy for an unknown name: the nearest one, else all of them.
[[nodiscard]] std::string remedyForUnknown(std::string_view name,
                                           std::span<const std::string> known);

} // namespace cardamombay::config::impl
