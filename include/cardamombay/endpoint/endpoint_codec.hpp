/// \file
/// \brief JSON of endpoint states and orders, as docs/ENDPOINTS.md publishes it.
/// \details Decides which bodies follow the published protocol; others are MalformedMessage. It
/// never fills in a missing field that a promise depends on, such as the group or the fencing
/// number.
#pragma once

#include <cardamombay/core/result.hpp>
#include <cardamombay/endpoint/endpoint_state.hpp>

#include <string>
#include <string_view>

namespace cardamombay::endpoint {

/// \name Names on the wire
/// \{
[[nodiscard]] std::string_view nameOf(EnginePhase phase);
[[nodiscard]] std::string_view nameOf(OrderKind kind);
[[nodiscard]] std::string_view nameOf(GroupRole role);
/// \}

/// \name Bodies
/// \brief Decoders give MalformedMessage with \p source and never throw. Unknown keys are ignored,
/// so that either side can be upgraded first.
/// \{
[[nodiscard]] std::string encodeState(const EndpointState &state);
[[nodiscard]] Result<EndpointState> decodeState(std::string_view source, std::string_view body);
[[nodiscard]] std::string encodeOrder(const EndpointOrder &order);
[[nodiscard]] Result<EndpointOrder> decodeOrder(std::string_view source, std::string_view body);

/// \brief Body of a refusal.
[[nodiscard]] std::string encodeRefusal(std::string_view reason);
/// \brief Reason of a refusal; empty if the body does not state one.
[[nodiscard]] std::string decodeRefusal(std::string_view body);
/// \}

} // namespace cardamombay::endpoint
