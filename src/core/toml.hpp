/// \file
/// \brief The TOML parser, made safe for wrong input.
/// \details The only place that includes toml++: its checks have to be set up alike everywhere.
#pragma once

#include <cardamombay/core/error.hpp>

#include <stdexcept>
#include <string>
#include <string_view>

namespace cardamombay::impl {

/// \brief An internal check of the parser failed.
struct TomlCheckFailure : std::logic_error
{
    using std::logic_error::logic_error;
};

/// \brief Throws TomlCheckFailure.
[[noreturn]] void failTomlCheck(const char *check);

} // namespace cardamombay::impl

// Some wrong texts, such as "a = [1, }2]", run into the parser's assertions. By default these end
// the process, or with NDEBUG let the compiler assume that they hold.
#define TOML_ASSERT(expr)                                                                          \
    ((expr) ? static_cast<void>(0) : ::cardamombay::impl::failTomlCheck(#expr))

#include <toml++/toml.h>

namespace cardamombay::impl {

/// \brief Why a text is not TOML.
struct TomlFault
{
    SourcePosition position_;
    std::string description_;
};

/// \brief Parses \p text; throws TomlFault if it is not TOML.
[[nodiscard]] toml::table parseToml(std::string_view text, std::string_view file);

} // namespace cardamombay::impl
