/// \file
/// \brief What untrusted text reaches, as functions of the text alone.
/// \details Used by the seeded driver in CI and by the libFuzzer driver.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace cardamombay::fuzz {

/// \brief One entry point for untrusted text.
struct FuzzTarget
{
    std::string_view name_; ///< Also the folder of its corpus under tests/data/fuzz.
    /// Takes any text; throws std::exception or fails std::abort if a property does not hold.
    void (*run_)(std::string_view text);
};

/// \brief All targets.
[[nodiscard]] std::span<const FuzzTarget> targets();

/// \brief The target of that name, or null.
[[nodiscard]] const FuzzTarget *findTarget(std::string_view name);

} // namespace cardamombay::fuzz
