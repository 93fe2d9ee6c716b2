#include "serving/notification.hpp"

#include <cardamombay/core/whole_number.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

/// The method is only searched for within this many bytes at the start of a message.
constexpr std::size_t methodSearchBytes = 80;

constexpr Duration maxTime = std::chrono::hours(24 * 365 * 100);

} // namespace

std::string textOf(const json::string &text)
{
    return {text.data(), text.size()};
}

std::string notification(std::string_view method, json::object params)
{
    return json::serialize(
        json::object{{"jsonrpc", "2.0"}, {"method", method}, {"params", std::move(params)}});
}

bool isNotification(std::string_view text, std::string_view method)
{
    const auto named = "\"method\":\"" + std::string(method) + "\"";
    return text.substr(0, methodSearchBytes).find(named) != std::string_view::npos;
}

std::optional<json::object> paramsOf(std::string_view text, std::string_view method)
{
    if (!isNotification(text, method))
        return std::nullopt;
    boost::system::error_code error;
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    auto *body = value.get_object().if_contains("params");
    if (body == nullptr || !body->is_object())
        return std::nullopt;
    return std::move(body->get_object());
}

std::optional<std::uint64_t> countIn(const json::value &value)
{
    return value.is_number() ? wholeNumber(value.to_number<double>()) : std::nullopt;
}

std::string textIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? textOf(value->get_string()) : std::string();
}

std::uint64_t numberIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? 0 : countIn(*value).value_or(0);
}

std::optional<double> figureIn(const json::value &value)
{
    const double figure = value.is_number() ? value.to_number<double>() : -1;
    return std::isfinite(figure) && figure >= 0 ? std::optional(figure) : std::nullopt;
}

double realIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? 0 : figureIn(*value).value_or(0);
}

std::int64_t microsecondsOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Duration microsecondsIn(const json::object &object, std::string_view name)
{
    return std::min<Duration>(std::chrono::microseconds(numberIn(object, name)), maxTime);
}

bool flagIn(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace cardamombay::serving::impl
