#include <cardamombay/serving/return_messages.hpp>

#include "serving/notification.hpp"

#include <cardamombay/overload/return_register.hpp>
#include <cardamombay/serving/request_fingerprint.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace cardamombay::serving {

namespace json = boost::json;
using namespace impl;

namespace {

constexpr std::string_view promisedMethod = "return-promised";
constexpr std::string_view claimedMethod = "return-claimed";
constexpr std::string_view answerMethod = "return-answer";

/// Bounds the memory that a forged name can use.
constexpr std::size_t maxNameBytes = 256;

std::optional<std::uint64_t> countAt(const json::object &params, std::string_view name)
{
    const auto *value = params.if_contains(name);
    return value == nullptr ? std::nullopt : countIn(*value);
}

std::optional<Duration> timeAt(const json::object &params, std::string_view name)
{
    const auto count = countAt(params, name);
    if (!count || *count > static_cast<std::uint64_t>(microsecondsOf(maxReturnAhead)))
        return std::nullopt;
    return std::chrono::microseconds(*count);
}

/// Whole microseconds: the JSON parser may round the last digit, and the figure that is written
/// again would differ from the one that was read.
std::optional<double> workIn(const json::object &params)
{
    constexpr double perSecond = 1e6;
    const double work = std::round(realIn(params, "work") * perSecond) / perSecond;
    const bool isInRange = work >= overload::minPromisedWork && work <= overload::maxPromisedWork;
    return isInRange ? std::optional(work) : std::nullopt;
}

std::optional<std::uint64_t> fingerprintIn(const json::object &params)
{
    const auto fingerprint = RequestFingerprint::parse(textIn(params, "request"));
    return fingerprint ? std::optional(fingerprint->value()) : std::nullopt;
}

/// Empty if the name is absent or too long.
std::string nameIn(const json::object &params, std::string_view name)
{
    auto text = textIn(params, name);
    return text.size() <= maxNameBytes ? text : std::string();
}

} // namespace

bool isReturnMessage(std::string_view text)
{
    constexpr std::array methods{promisedMethod, claimedMethod, answerMethod};
    return std::any_of(methods.begin(), methods.end(),
                       [text](auto method) { return isNotification(text, method); });
}

std::string encode(const ReturnPromised &message)
{
    return notification(promisedMethod, {{"request", RequestFingerprint(message.request_).text()},
                                         {"model", message.model_.text()},
                                         {"rank", message.rank_},
                                         {"due_us", microsecondsOf(message.due_)},
                                         {"until_us", microsecondsOf(message.until_)},
                                         {"work", message.work_}});
}

std::optional<ReturnPromised> decodeReturnPromised(std::string_view text)
{
    const auto params = paramsOf(text, promisedMethod);
    if (!params)
        return std::nullopt;
    const auto request = fingerprintIn(*params);
    const auto rank = countAt(*params, "rank");
    const auto due = timeAt(*params, "due_us");
    const auto until = timeAt(*params, "until_us");
    const auto work = workIn(*params);
    ModelName model(nameIn(*params, "model"));
    const bool isWhole = request && rank && due && until && work && !model.isEmpty();
    if (!isWhole || *rank > overload::maxRank || *due >= *until)
        return std::nullopt;
    return ReturnPromised{
        *request, std::move(model), static_cast<std::uint32_t>(*rank), *work, *due, *until};
}

std::string encode(const ReturnClaimed &message)
{
    return notification(claimedMethod, {{"from", message.from_.text()},
                                        {"id", message.id_},
                                        {"request", RequestFingerprint(message.request_).text()}});
}

std::optional<ReturnClaimed> decodeReturnClaimed(std::string_view text)
{
    const auto params = paramsOf(text, claimedMethod);
    if (!params)
        return std::nullopt;
    EntryId from(nameIn(*params, "from"));
    const auto id = countAt(*params, "id");
    const auto request = fingerprintIn(*params);
    if (from.isEmpty() || !id || !request)
        return std::nullopt;
    return ReturnClaimed{std::move(from), *id, *request};
}

std::string encode(const ReturnAnswer &message)
{
    return notification(answerMethod, {{"id", message.id_}, {"granted", message.isGranted_}});
}

std::optional<ReturnAnswer> decodeReturnAnswer(std::string_view text)
{
    const auto params = paramsOf(text, answerMethod);
    if (!params)
        return std::nullopt;
    const auto id = countAt(*params, "id");
    const auto *granted = params->if_contains("granted");
    if (!id || granted == nullptr || !granted->is_bool())
        return std::nullopt;
    return ReturnAnswer{*id, granted->get_bool()};
}

} // namespace cardamombay::serving
