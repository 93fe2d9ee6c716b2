/// \file
/// \brief Writes and leniently reads the JSON-RPC notifications between entry VMs.
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

/// \brief True if \p text names \p method near the start, where notification() writes it.
[[nodiscard]] bool isNotification(std::string_view text, std::string_view method);

/// \brief The parameters if \p text is a notification of \p method.
/// \details The method must be near the start, where notification() writes it, so that only the
/// reader that a message is meant for parses it.
[[nodiscard]] std::optional<boost::json::object> paramsOf(std::string_view text,
                                                          std::string_view method);

/// \brief Whole microseconds, the unit on the wire for times finer than milliseconds.
[[nodiscard]] std::int64_t microsecondsOf(Duration duration);

/// \brief \p value as a non-negative integer; nothing if it isn't one.
[[nodiscard]] std::optional<std::uint64_t> countIn(const boost::json::value &value);

/// \brief \p value as a number; nothing if it is negative, not finite or not a number.
[[nodiscard]] std::optional<double> figureIn(const boost::json::value &value);

/// \name Members by name; empty or 0 if absent or of another type
/// \{
[[nodiscard]] std::string textIn(const boost::json::object &object, std::string_view name);
[[nodiscard]] std::uint64_t numberIn(const boost::json::object &object, std::string_view name);
/// \returns 0 also for negative and non-finite numbers.
[[nodiscard]] double realIn(const boost::json::object &object, std::string_view name);
/// \brief A time in microseconds, limited to a century so that the sum of two fits into a Duration.
[[nodiscard]] Duration microsecondsIn(const boost::json::object &object, std::string_view name);
[[nodiscard]] bool flagIn(const boost::json::object &object, std::string_view name);
/// \}

} // namespace cardamombay::serving::impl
