#include "serving/quota_report_json.hpp"

#include "serving/notification.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

constexpr double unitsPerRetry = 10;

/// No release sends more steps.
constexpr std::size_t maxSteps = 32;

json::array unitsOf(std::span<const double> amounts, double (*round)(double))
{
    json::array result;
    for (const auto amount : amounts)
        result.emplace_back(static_cast<std::int64_t>(round(amount * unitsPerRetry)));
    return result;
}

std::optional<std::vector<double>> amountsIn(const json::value &value)
{
    const auto *units = value.if_array();
    if (units == nullptr || units->size() > maxSteps)
        return std::nullopt;
    std::vector<double> result;
    for (const auto &one : *units) {
        const auto amount = figureIn(one);
        if (!amount)
            return std::nullopt;
        result.push_back(*amount / unitsPerRetry);
    }
    return result;
}

} // namespace

json::object quotaReportObject(const QuotaReport &report)
{
    json::object services;
    for (const auto &[service, use] : report.services_)
        services[service.text()]
            = json::array{unitsOf(use.requests_, std::floor), unitsOf(use.spent_, std::ceil)};
    return {{"part", report.reservePart_}, {"services", std::move(services)}};
}

QuotaReport quotaReportIn(const json::value *value)
{
    QuotaReport result;
    const auto *object = value == nullptr ? nullptr : value->if_object();
    const auto *services = object == nullptr ? nullptr : object->if_contains("services");
    if (services == nullptr || !services->is_object())
        return result;
    result.reservePart_ = std::min(1.0, realIn(*object, "part"));
    for (const auto &member : services->get_object()) {
        const auto *pair = member.value().if_array();
        if (pair == nullptr || pair->size() != 2)
            continue;
        auto requests = amountsIn(pair->at(0));
        auto spent = amountsIn(pair->at(1));
        if (requests && spent)
            result.services_.emplace(std::string_view(member.key().data(), member.key().size()),
                                     QuotaUse{*std::move(requests), *std::move(spent)});
    }
    return result;
}

} // namespace cardamombay::serving::impl
