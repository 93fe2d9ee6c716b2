/// \file
/// \brief Log lines: one event a line, written as key=value pairs to standard output or
/// standard error.
/// \details Decides how a line looks and nothing else. Thread-safe; never throws.
/// \code
/// log::configure(log::Level::Info);
/// log::info(log::event::requestFinished, {{"request", id.text()}, {"outcome", "ran"}});
/// // time=2026-01-01T08:00:00.123Z level=INFO event=request-finished request=... outcome=ran
/// \endcode
#pragma once

#include <cardamombay/core/decision_log.hpp>

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace cardamombay::log {

/// \brief How grave an event is.
enum class Level { Debug, Info, Warning, Error };

/// \brief Where lines go.
enum class Output {
    Standard, ///< Through a bounded queue and a thread of its own: a writer never waits.
    Error,    ///< At once.
};

/// \brief Sets pattern and target of all lines; call once before other threads start.
/// \param threshold the least grave level that is written.
/// \param output standard output or standard error.
void configure(Level threshold, Output output = Output::Error);

/// \brief Writes what still waits; nothing is written after it. Call at the end of the program.
void flush();

/// \brief True if events of \p level are written.
[[nodiscard]] bool isEnabled(Level level);

/// \brief The key=value text of an event, without time and level.
/// \details Values with a blank, a quote, "=" or a control character are quoted and escaped.
[[nodiscard]] std::string formatEvent(std::string_view event, std::span<const Detail> details);

/// \brief Writes one event.
void write(Level level, std::string_view event, std::span<const Detail> details);

/// \name Shorthand for write()
/// \{
void debug(std::string_view event, std::initializer_list<Detail> details);
void info(std::string_view event, std::initializer_list<Detail> details);
void warning(std::string_view event, std::initializer_list<Detail> details);
void error(std::string_view event, std::initializer_list<Detail> details);
/// \}

} // namespace cardamombay::log
