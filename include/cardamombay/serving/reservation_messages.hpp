/// \file
/// \brief Messages between entry VMs that reserve sends to rate-limited endpoints.
#pragma once

#include <cardamombay/core/address.hpp>
#include <cardamombay/core/ids.hpp>
#include <cardamombay/core/time.hpp>
#include <cardamombay/serving/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamombay::serving {

/// \brief Requests a send from the owner of an endpoint.
struct ReservationRequest
{
    EntryId from_;
    Address address_;          ///< Where to send the answer.
    std::uint64_t number_ = 0; ///< Echoed in the answer.
    EndpointIncarnation endpoint_;
    double perSecond_ = 0; ///< The endpoint's rate limit as known to the sender.
    Duration within_{};    ///< The send must be due within this time; zero for a liveness probe.
    EntryId unresponsiveOwner_; ///< An owner that did not answer the sender; empty if none.

    friend bool operator==(const ReservationRequest &, const ReservationRequest &) = default;
};

/// \brief Answer to a ReservationRequest.
struct ReservationAnswer
{
    enum class Kind {
        Booked,
        NoSlotInTime,
        NotOwner, ///< Another entry VM owns the endpoint.
    };

    EntryId from_;
    Address address_; ///< Address of the sender, or of the owner if NotOwner.
    std::uint64_t number_ = 0;
    EndpointIncarnation endpoint_;
    Kind kind_ = Kind::NotOwner;
    Duration time_{}; ///< Until the send is due, or until the caller should retry.
    EntryId owner_;   ///< Set if NotOwner.

    friend bool operator==(const ReservationAnswer &, const ReservationAnswer &) = default;
};

/// \brief Returns an unused booking.
struct ReservationReturn
{
    EndpointIncarnation endpoint_;
    Duration opensIn_{};
    Duration openSince_{}; ///< How long it has been due, if it is.

    friend bool operator==(const ReservationReturn &, const ReservationReturn &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const ReservationRequest &request);
[[nodiscard]] std::string encode(const ReservationAnswer &answer);
[[nodiscard]] std::string encode(const ReservationReturn &back);
/// \returns no value if \p text is not such a message.
[[nodiscard]] std::optional<ReservationRequest> decodeReservationRequest(std::string_view text);
[[nodiscard]] std::optional<ReservationAnswer> decodeReservationAnswer(std::string_view text);
[[nodiscard]] std::optional<ReservationReturn> decodeReservationReturn(std::string_view text);
/// \}

} // namespace cardamombay::serving
