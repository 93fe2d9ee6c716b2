/// \file
/// \brief JSON form of digests; docs/design/peer_protocol.md describes it.
/// \details Decides which texts are digests; others are MalformedMessage. Ages are rounded up so
/// that nothing looks fresher than it is.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/membership/digest.hpp>

#include <string>
#include <string_view>

namespace cardamombay::rpc {

/// \brief The JSON text of \p digest. Ages are rounded up to milliseconds and holds down, so that
/// rounding never makes anything look younger.
[[nodiscard]] std::string encodeDigest(const membership::Digest &digest);

/// \brief Reads a digest.
/// \param text JSON text.
/// \param source who sent it, for the error.
/// \returns the digest, or MalformedMessage.
[[nodiscard]] Result<membership::Digest> decodeDigest(std::string_view text,
                                                      std::string_view source);

} // namespace cardamombay::rpc
