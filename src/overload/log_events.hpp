/// \file
/// \brief Names of the log events of overload control.
#pragma once

#include <string_view>

namespace cardamombay::overload::event {

inline constexpr std::string_view admissionLevelChanged = "admission-level-changed";

} // namespace cardamombay::overload::event
