/// \file
/// \brief Messages between entry VMs about callers that were told to come back.
/// \details Only defines and encodes them.
#pragma once

#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief A refused caller was told to come back; sent to the owner of its request.
struct ReturnPromised
{
    std::uint64_t request_ = 0; ///< Fingerprint of the request.
    ModelName model_;
    std::uint32_t rank_ = 0;
    double work_ = 0;  ///< Seconds of a full group's time.
    Duration due_{};   ///< From now until the right begins.
    Duration until_{}; ///< From now until it ends.

    friend bool operator==(const ReturnPromised &, const ReturnPromised &) = default;
};

/// \brief Asks the owner whether a caller may have come back.
struct ReturnClaimed
{
    EntryId from_;
    std::uint64_t id_ = 0; ///< Chosen by the sender.
    std::uint64_t request_ = 0;

    friend bool operator==(const ReturnClaimed &, const ReturnClaimed &) = default;
};

/// \brief The owner's answer.
struct ReturnAnswer
{
    std::uint64_t id_ = 0;
    bool isGranted_ = false;

    friend bool operator==(const ReturnAnswer &, const ReturnAnswer &) = default;
};

/// Promises further ahead than this are implausible: callers wait for at most a third of their
/// remaining time, and requests last minutes at most.
inline constexpr Duration maxReturnAhead = std::chrono::minutes(10);

/// \brief True if \p text is named as one of these messages, whether or not it can be decoded.
[[nodiscard]] bool isReturnMessage(std::string_view text);

/// \name JSON-RPC notifications; decoding returns nothing if \p text is another message or has a
/// figure that is negative, not finite or out of range
/// \{
[[nodiscard]] std::string encode(const ReturnPromised &message);
[[nodiscard]] std::string encode(const ReturnClaimed &message);
[[nodiscard]] std::string encode(const ReturnAnswer &message);
[[nodiscard]] std::optional<ReturnPromised> decodeReturnPromised(std::string_view text);
[[nodiscard]] std::optional<ReturnClaimed> decodeReturnClaimed(std::string_view text);
[[nodiscard]] std::optional<ReturnAnswer> decodeReturnAnswer(std::string_view text);
/// \}

} // namespace cardamombay::serving
