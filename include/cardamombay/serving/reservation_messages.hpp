/// \file
/// \brief What entry VMs tell each other about sends to endpoints with a limit.
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

/// \brief Asks the owner of an endpoint for a send.
struct ReservationRequest
{
    EntryId from_;
    Address address_;          ///< Where the answer goes.
    std::uint64_t number_ = 0; ///< Comes back in the answer.
    EndpointIncarnation endpoint_;
    double perSecond_ = 0; ///< The endpoint's limit, as known to the sender.
    Duration within_{};    ///< The send must open within that time; zero: only asks for a sign.
    EntryId silentOwner_;  ///< An owner that did not answer; empty if none.

    friend bool operator==(const ReservationRequest &, const ReservationRequest &) = default;
};

/// \brief Answers a request for a send.
struct ReservationAnswer
{
    enum class Kind {
        Booked,
        NoSlotInTime,
        NotOwner, ///< Another entry VM owns the endpoint.
    };

    EntryId from_;
    Address address_; ///< Of the sender, or of the owner where that is another one.
    std::uint64_t number_ = 0;
    EndpointIncarnation endpoint_;
    Kind kind_ = Kind::NotOwner;
    Duration time_{}; ///< Until the send opens, or until the caller may come back.
    EntryId owner_;   ///< Where the sender is not the owner.

    friend bool operator==(const ReservationAnswer &, const ReservationAnswer &) = default;
};

/// \brief Gives a booked send back.
struct ReservationReturn
{
    EndpointIncarnation endpoint_;
    Duration opensIn_{};
    Duration openSince_{}; ///< Where it is open already.

    friend bool operator==(const ReservationReturn &, const ReservationReturn &) = default;
};

/// \name JSON-RPC notifications
/// \{
[[nodiscard]] std::string encode(const ReservationRequest &request);
[[nodiscard]] std::string encode(const ReservationAnswer &answer);
[[nodiscard]] std::string encode(const ReservationReturn &back);
/// \returns nothing if \p text is no such message.
[[nodiscard]] std::optional<ReservationRequest> decodeReservationRequest(std::string_view text);
[[nodiscard]] std::optional<ReservationAnswer> decodeReservationAnswer(std::string_view text);
[[nodiscard]] std::optional<ReservationReturn> decodeReservationReturn(std::string_view text);
/// \}

} // namespace cardamombay::serving
