/// \file
/// \brief JSON-RPC notifications between entry VMs: writing and lenient reading.
#pragma once

#include <cardamombay/core/time.hpp>

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving::impl {

[[nodiscard]] std::string textOf(const boost::json::string &text);

[[nodiscard]] std::string notification(std::string_view method, boost::json::object params);

/// \brief The parameters if \p text is a notification of \p method.
/// \details The method must stand at the front, where notification() writes it, so that a message
/// is only parsed by the reader that it is for.
[[nodiscard]] std::optional<boost::json::object> paramsOf(std::string_view text,
                                                          std::string_view method);

/// \brief Whole microseconds, the unit of times on the wire that are finer than milliseconds.
[[nodiscard]] std::int64_t microsecondsOf(Duration duration);

/// \brief \p value as a count; nothing if it is none.
[[nodiscard]] std::optional<std::uint64_t> countIn(const boost::json::value &value);

/// \brief \p value as a figure; nothing if it is negative, not finite or no number.
[[nodiscard]] std::optional<double> figureIn(const boost::json::value &value);

/// \name Values by name; those that are absent or of another type are empty
/// \{
[[nodiscard]] std::string textIn(const boost::json::object &object, std::string_view name);
[[nodiscard]] std::uint64_t numberIn(const boost::json::object &object, std::string_view name);
/// \returns 0 also for what is negative or not finite.
[[nodiscard]] double realIn(const boost::json::object &object, std::string_view name);
/// \brief A time in microseconds; at most a century, so that sums of two stay within a Duration.
[[nodiscard]] Duration microsecondsIn(const boost::json::object &object, std::string_view name);
[[nodiscard]] bool flagIn(const boost::json::object &object, std::string_view name);
/// \}

} // namespace cardamombay::serving::impl
