/// \file
/// \brief Digests as JSON values; internal to the module.
#pragma once

#include <cardamombay/membership/digest.hpp>

#include <json/value.h>

#include <string>
#include <string_view>

namespace cardamombay::rpc::impl {

/// \brief The digest as a JSON object with short keys.
[[nodiscard]] Json::Value toJson(const membership::Digest &digest);

/// \brief Reads a digest.
/// \throws std::exception if \p value does not follow the protocol; callers catch it at the edge.
[[nodiscard]] membership::Digest digestFrom(const Json::Value &value);

/// \brief Text without white space.
[[nodiscard]] std::string write(const Json::Value &value);

/// \brief Parses strict JSON.
/// \throws std::exception if \p text is not JSON, is followed by something, or nests too deep.
[[nodiscard]] Json::Value parse(std::string_view text);

} // namespace cardamombay::rpc::impl
