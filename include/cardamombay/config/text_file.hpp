/// \file
/// \brief Reading of the small text files that operators write.
#pragma once

#include <cardamombay/core/result.hpp>

#include <string>

namespace cardamombay::config {

/// \brief The whole content of \p file; InvalidInput naming the file if it cannot be read.
[[nodiscard]] Result<std::string> readTextFile(const std::string &file);

} // namespace cardamombay::config
