/// \file
/// \brief Memory and descriptors of a process, read from /proc.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include <sys/types.h>

namespace cardamombay::support {

/// \brief True if the process runs the program with the file name \p program. Between fork and
/// exec, a process shows the memory of its parent.
[[nodiscard]] bool runsProgram(pid_t process, std::string_view program);

/// \brief Resident bytes, including the pages of files. 0 if the process has ended.
[[nodiscard]] std::size_t residentBytes(pid_t process);

/// \brief Bytes that its TCP connections have received and it has not read.
/// \param ports listened on; their connections count also before they are accepted.
[[nodiscard]] std::size_t unreadBytes(pid_t process, std::span<const std::uint16_t> ports);

/// \brief Number of open descriptors.
[[nodiscard]] std::size_t openDescriptors(pid_t process);

} // namespace cardamombay::support
