#include "serving/poison_updates.hpp"

#include "serving/notification.hpp"

#include <algorithm>

namespace cardamombay::serving::impl {

namespace json = boost::json;

namespace {

/// Upper bound for quarantines read from messages, as protection against faulty peers.
constexpr Duration longestQuarantine = std::chrono::hours(48);

/// Returns two lists: requests without events, and requests with events.
json::array requestLists(const std::vector<RequestAtCrash> &requests)
{
    json::array without;
    json::array with;
    for (const auto &request : requests)
        (request.hadEvents_ ? with : without).emplace_back(request.fingerprint_.text());
    return {std::move(without), std::move(with)};
}

/// Those of the requests without events whose answer had begun. Listed apart, since earlier
/// releases read two lists for each crash.
json::array begunList(const std::vector<RequestAtCrash> &requests)
{
    json::array result;
    for (const auto &request : requests) {
        if (request.hadBegun())
            result.emplace_back(request.fingerprint_.text());
    }
    return result;
}

json::array fingerprintList(const std::vector<RequestFingerprint> &fingerprints)
{
    json::array result;
    for (const auto &one : fingerprints)
        result.emplace_back(one.text());
    return result;
}

std::vector<RequestFingerprint> fingerprintsIn(const json::value *value)
{
    std::vector<RequestFingerprint> result;
    const auto *list = value == nullptr ? nullptr : value->if_array();
    if (list == nullptr)
        return result;
    for (const auto &one : *list) {
        const auto *text = one.if_string();
        const auto fingerprint
            = text == nullptr ? std::nullopt : RequestFingerprint::parse(textOf(*text));
        if (fingerprint)
            result.push_back(*fingerprint);
    }
    return result;
}

void readCrashes(const json::value *value, PoisonUpdate &update)
{
    const auto *crashes = value == nullptr ? nullptr : value->if_object();
    if (crashes == nullptr)
        return;
    for (const auto &member : *crashes) {
        const auto *lists = member.value().if_array();
        if (lists == nullptr || lists->size() != 2)
            continue;
        auto &requests = update.crashes_[EndpointIncarnation::parse(
            std::string_view(member.key().data(), member.key().size()))];
        for (const auto &request : fingerprintsIn(&lists->at(0)))
            requests.push_back({request, false});
        for (const auto &request : fingerprintsIn(&lists->at(1)))
            requests.push_back({request, true});
    }
}

/// Marks requests that readCrashes() has read.
void readBegun(const json::value *value, PoisonUpdate &update)
{
    const auto *begun = value == nullptr ? nullptr : value->if_object();
    if (begun == nullptr)
        return;
    for (const auto &member : *begun) {
        const auto crash = update.crashes_.find(
            EndpointIncarnation::parse(std::string_view(member.key().data(), member.key().size())));
        if (crash == update.crashes_.end())
            continue;
        const auto listed = fingerprintsIn(&member.value());
        for (auto &request : crash->second) {
            const bool isListed
                = std::find(listed.begin(), listed.end(), request.fingerprint_) != listed.end();
            request.hadHead_ = request.hadHead_ || (isListed && !request.hadEvents_);
        }
    }
}

void readVerdicts(const json::value *value, PoisonUpdate &update)
{
    const auto *verdicts = value == nullptr ? nullptr : value->if_object();
    if (verdicts == nullptr)
        return;
    for (const auto &member : *verdicts) {
        const auto request
            = RequestFingerprint::parse(std::string_view(member.key().data(), member.key().size()));
        const auto microseconds = countIn(member.value());
        if (!request || !microseconds)
            continue;
        const auto longest = static_cast<std::uint64_t>(microsecondsOf(longestQuarantine));
        update.verdicts_.push_back(
            {*request, std::chrono::microseconds(std::min(*microseconds, longest))});
    }
}

void readAnswered(const json::value *value, PoisonUpdate &update)
{
    const auto *answered = value == nullptr ? nullptr : value->if_object();
    if (answered == nullptr)
        return;
    for (const auto &member : *answered) {
        const auto part
            = RequestFingerprint::parse(std::string_view(member.key().data(), member.key().size()));
        const auto microseconds = countIn(member.value());
        if (!part || !microseconds)
            continue;
        const auto oldest = static_cast<std::uint64_t>(microsecondsOf(longestQuarantine));
        update.answered_.emplace(*part, std::chrono::microseconds(std::min(*microseconds, oldest)));
    }
}

void readRetracted(const json::value *value, PoisonUpdate &update)
{
    const auto *list = value == nullptr ? nullptr : value->if_array();
    if (list == nullptr)
        return;
    for (const auto &one : *list) {
        if (const auto *text = one.if_string())
            update.retracted_.push_back(EndpointIncarnation::parse(textOf(*text)));
    }
}

} // namespace

json::object poisonObject(const PoisonUpdate &update)
{
    json::object crashes;
    json::object begun;
    for (const auto &[endpoint, requests] : update.crashes_) {
        crashes[endpoint.text()] = requestLists(requests);
        if (auto list = begunList(requests); !list.empty())
            begun[endpoint.text()] = std::move(list);
    }
    json::object verdicts;
    json::array proven;
    for (const auto &verdict : update.verdicts_) {
        verdicts[verdict.fingerprint_.text()] = microsecondsOf(verdict.left_);
        if (verdict.isProven_)
            proven.emplace_back(verdict.fingerprint_.text());
    }
    json::object answered;
    for (const auto &[part, age] : update.answered_)
        answered[part.text()] = microsecondsOf(age);
    json::object result{{"crashes", std::move(crashes)},
                        {"verdicts", std::move(verdicts)},
                        {"cleared", fingerprintList(update.cleared_)}};
    if (!begun.empty())
        result["begun"] = std::move(begun);
    if (!proven.empty())
        result["proven"] = std::move(proven);
    if (!answered.empty())
        result["answered"] = std::move(answered);
    if (!update.vouched_.empty())
        result["vouched"] = fingerprintList(update.vouched_);
    if (update.retracted_.empty())
        return result;
    json::array retracted;
    for (const auto &endpoint : update.retracted_)
        retracted.emplace_back(endpoint.text());
    result["retracted"] = std::move(retracted);
    return result;
}

PoisonUpdate poisonIn(const json::value *value)
{
    PoisonUpdate result;
    const auto *object = value == nullptr ? nullptr : value->if_object();
    if (object == nullptr)
        return result;
    readCrashes(object->if_contains("crashes"), result);
    readBegun(object->if_contains("begun"), result);
    readVerdicts(object->if_contains("verdicts"), result);
    for (const auto &proven : fingerprintsIn(object->if_contains("proven"))) {
        for (auto &verdict : result.verdicts_)
            verdict.isProven_ = verdict.isProven_ || verdict.fingerprint_ == proven;
    }
    readAnswered(object->if_contains("answered"), result);
    result.cleared_ = fingerprintsIn(object->if_contains("cleared"));
    result.vouched_ = fingerprintsIn(object->if_contains("vouched"));
    readRetracted(object->if_contains("retracted"), result);
    return result;
}

} // namespace cardamombay::serving::impl
