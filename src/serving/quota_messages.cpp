#include <cardamombay/serving/quota_messages.hpp>

#include "serving/notification.hpp"
#include "serving/quota_report_json.hpp"

#include <cardamombay/config/address_text.hpp>

namespace cardamombay::serving {

using namespace impl;

namespace {

constexpr std::string_view requestMethod = "quota-wanted";
constexpr std::string_view transferMethod = "quota";
constexpr std::string_view reportRequestMethod = "quota-report-wanted";
constexpr std::string_view reportAnswerMethod = "quota-report";

} // namespace

std::string encode(const QuotaRequest &request)
{
    return notification(requestMethod, {{"from", request.from_.text()},
                                        {"address", request.address_.text()},
                                        {"number", request.number_},
                                        {"service", request.service_.text()},
                                        {"amount", request.amount_}});
}

std::optional<QuotaRequest> decodeQuotaRequest(std::string_view text)
{
    const auto params = paramsOf(text, requestMethod);
    const auto address
        = params ? config::addressOf(textIn(*params, "address")) : std::optional<Address>();
    if (!address || textIn(*params, "from").empty() || textIn(*params, "service").empty())
        return std::nullopt;
    return QuotaRequest{EntryId(textIn(*params, "from")), *address, numberIn(*params, "number"),
                        ServiceName(textIn(*params, "service")), realIn(*params, "amount")};
}

std::string encode(const QuotaTransfer &transfer)
{
    return notification(transferMethod, {{"from", transfer.from_.text()},
                                         {"number", transfer.number_},
                                         {"amount", transfer.amount_}});
}

std::optional<QuotaTransfer> decodeQuotaTransfer(std::string_view text)
{
    const auto params = paramsOf(text, transferMethod);
    if (!params || textIn(*params, "from").empty())
        return std::nullopt;
    return QuotaTransfer{EntryId(textIn(*params, "from")), numberIn(*params, "number"),
                         realIn(*params, "amount")};
}

std::string encode(const QuotaReportRequest &request)
{
    return notification(reportRequestMethod, {{"from", request.from_.text()},
                                              {"address", request.address_.text()},
                                              {"since", request.since_.value()}});
}

std::optional<QuotaReportRequest> decodeQuotaReportRequest(std::string_view text)
{
    const auto params = paramsOf(text, reportRequestMethod);
    const auto address
        = params ? config::addressOf(textIn(*params, "address")) : std::optional<Address>();
    if (!address || textIn(*params, "from").empty())
        return std::nullopt;
    return QuotaReportRequest{EntryId(textIn(*params, "from")), *address,
                              Incarnation(numberIn(*params, "since"))};
}

std::string encode(const QuotaReportAnswer &answer)
{
    return notification(reportAnswerMethod, {{"from", answer.from_.text()},
                                             {"since", answer.since_.value()},
                                             {"unknown", answer.isUnknown_},
                                             {"age", microsecondsOf(answer.age_)},
                                             {"report", quotaReportObject(answer.report_)}});
}

std::optional<QuotaReportAnswer> decodeQuotaReportAnswer(std::string_view text)
{
    const auto params = paramsOf(text, reportAnswerMethod);
    if (!params || textIn(*params, "from").empty())
        return std::nullopt;
    return QuotaReportAnswer{EntryId(textIn(*params, "from")),
                             Incarnation(numberIn(*params, "since")), flagIn(*params, "unknown"),
                             microsecondsIn(*params, "age"),
                             quotaReportIn(params->if_contains("report"))};
}

} // namespace cardamombay::serving
