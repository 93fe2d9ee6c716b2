#include <cardamombay/serving/reservation_messages.hpp>

#include "serving/notification.hpp"

#include <cardamombay/config/address_text.hpp>

namespace cardamombay::serving {

namespace json = boost::json;
using namespace impl;

namespace {

constexpr std::string_view requestMethod = "reserve";
constexpr std::string_view answerMethod = "reserved";
constexpr std::string_view returnMethod = "reservation-returned";

} // namespace

std::string encode(const ReservationRequest &request)
{
    json::object params{
        {"from", request.from_.text()},     {"address", request.address_.text()},
        {"number", request.number_},        {"endpoint", request.endpoint_.text()},
        {"per_second", request.perSecond_}, {"within", microsecondsOf(request.within_)}};
    if (!request.unresponsiveOwner_.isEmpty())
        params["silent"] = request.unresponsiveOwner_.text();
    return notification(requestMethod, std::move(params));
}

std::optional<ReservationRequest> decodeReservationRequest(std::string_view text)
{
    const auto params = paramsOf(text, requestMethod);
    const auto address
        = params ? config::addressOf(textIn(*params, "address")) : std::optional<Address>();
    if (!address || textIn(*params, "endpoint").empty())
        return std::nullopt;
    return ReservationRequest{
        EntryId(textIn(*params, "from")),  *address,
        numberIn(*params, "number"),       EndpointIncarnation::parse(textIn(*params, "endpoint")),
        realIn(*params, "per_second"),     microsecondsIn(*params, "within"),
        EntryId(textIn(*params, "silent"))};
}

std::string encode(const ReservationAnswer &answer)
{
    json::object params{{"from", answer.from_.text()},
                        {"address", answer.address_.text()},
                        {"number", answer.number_},
                        {"endpoint", answer.endpoint_.text()},
                        {"kind", static_cast<int>(answer.kind_)},
                        {"time", microsecondsOf(answer.time_)}};
    if (!answer.owner_.isEmpty())
        params["owner"] = answer.owner_.text();
    return notification(answerMethod, std::move(params));
}

std::optional<ReservationAnswer> decodeReservationAnswer(std::string_view text)
{
    const auto params = paramsOf(text, answerMethod);
    const auto address
        = params ? config::addressOf(textIn(*params, "address")) : std::optional<Address>();
    const auto kind = params ? numberIn(*params, "kind") : 0;
    const bool isWhole = address && params->if_contains("kind") != nullptr
                         && kind <= static_cast<std::uint64_t>(ReservationAnswer::Kind::NotOwner);
    if (!isWhole)
        return std::nullopt;
    return ReservationAnswer{EntryId(textIn(*params, "from")),
                             *address,
                             numberIn(*params, "number"),
                             EndpointIncarnation::parse(textIn(*params, "endpoint")),
                             static_cast<ReservationAnswer::Kind>(kind),
                             microsecondsIn(*params, "time"),
                             EntryId(textIn(*params, "owner"))};
}

std::string encode(const ReservationReturn &back)
{
    return notification(returnMethod, {{"endpoint", back.endpoint_.text()},
                                       {"opens_in", microsecondsOf(back.opensIn_)},
                                       {"open_since", microsecondsOf(back.openSince_)}});
}

std::optional<ReservationReturn> decodeReservationReturn(std::string_view text)
{
    const auto params = paramsOf(text, returnMethod);
    if (!params || textIn(*params, "endpoint").empty())
        return std::nullopt;
    return ReservationReturn{EndpointIncarnation::parse(textIn(*params, "endpoint")),
                             microsecondsIn(*params, "opens_in"),
                             microsecondsIn(*params, "open_since")};
}

} // namespace cardamombay::serving
