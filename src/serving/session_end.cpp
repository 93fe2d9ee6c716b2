// The end of a request: what its caller is told, and what is logged and counted.
#include "serving/session.hpp"

#include "serving/caller_status.hpp"
#include "serving/log_events.hpp"

#include <cardamombay/log/log.hpp>
#include <cardamombay/serving/gateway.hpp>

#include <utility>
#include <vector>

namespace cardamombay::serving {

using namespace impl;

namespace {

/// The limit of the endpoint's rate that was known when the request was sent there.
void appendLimit(std::vector<Detail> &details, const EndpointLimit &limit, TimePoint sentAt,
                 bool isReserved)
{
    details.push_back({"limit-per-second", textOf(limit.perSecond_)});
    details.push_back({"limit-age-ms", std::to_string(toMilliseconds(sentAt - limit.statedAt_))});
    details.push_back({"limit-since-ms", std::to_string(toMilliseconds(sentAt - limit.since_))});
    details.push_back({"limit-from", std::string(nameOf(limit.source_))});
    details.push_back({"reserved", isReserved ? "yes" : "no"});
}

/// Since when the endpoint wants nothing from here, and for how long still.
void appendCooldown(std::vector<Detail> &details, const Cooldown &cooldown, TimePoint now)
{
    details.push_back({"cooldown-since-ms", std::to_string(toMilliseconds(now - cooldown.since_))});
    details.push_back({"cooldown-left-ms", std::to_string(toMilliseconds(cooldown.left(now)))});
}

} // namespace

void Session::refuse(std::uint32_t status, std::string_view reason,
                     std::optional<Duration> comeBack)
{
    auto exchange = std::exchange(exchange_, nullptr);
    exchange->respond(gateway_.parts().dialect_.failure(status, reason, comeBack));
    finish("refused", reason);
}

void Session::logFailure(std::string_view detail) const
{
    const auto now = gateway_.parts().clock_.now();
    std::vector<Detail> details{{"request", head_.request_.text()},
                                {"fingerprint", fingerprint_.text()},
                                {"endpoint", target_.endpoint_.text()},
                                {"detail", std::string(detail)},
                                {"events", std::to_string(events_)},
                                {"sends", std::to_string(sends_)},
                                {"elapsed-ms", std::to_string(toMilliseconds(now - arrivedAt_))}};
    const auto incarnation = target_.incarnation();
    if (const auto cooldown = gateway_.notices().cooldown(incarnation, now))
        appendCooldown(details, *cooldown, now);
    if (gateway_.notices().isLeaving(incarnation))
        details.push_back({"says-leaving", "yes"});
    log::write(log::Level::Info, event::attemptFailed, details);
}

/// Nothing more will be tried. "Not run" is said only if no attempt can have run.
void Session::giveUp(std::string_view reason)
{
    if (events_ > 0) {
        exchange_->abort();
        exchange_.reset();
        finish("broken-off", reason);
        return;
    }
    if (mayHaveRun_ == 0) {
        refuse(statusUnavailable, reason, comeBack());
        return;
    }
    const bool isTimeout = gateway_.parts().clock_.now() >= until_;
    auto exchange = std::exchange(exchange_, nullptr);
    exchange->respond(gateway_.parts().dialect_.failure(
        isTimeout ? statusTimeout : statusBadGateway, reason, std::nullopt));
    finish("unknown", reason);
}

void Session::finish(std::string_view outcome, std::string_view reason)
{
    isDone_ = true;
    isHeld_ = false;
    dropAttempt();
    reservation_.reset();
    auto &metrics = gateway_.parts().metrics_;
    const auto elapsed = gateway_.parts().clock_.now() - arrivedAt_;
    if (outcome == "served") {
        gateway_.poisonPills().served(fingerprint_, gateway_.parts().clock_.now());
        metrics.served_.increment();
        metrics.whole_.observe(toSeconds(elapsed));
    } else if (outcome == "refused") {
        metrics.refused_.increment();
    } else if (outcome == "caller-left") {
        metrics.callerLeft_.increment();
    } else {
        metrics.failed_.increment();
    }
    std::vector<Detail> details{
        {"request", head_.request_.text()},
        {"fingerprint", fingerprint_.text()},
        {"outcome", std::string(outcome)},
        {"reason", std::string(reason)},
        {"route", route_ == nullptr ? "" : route_->name_},
        {"model", head_.model_.text()},
        {"endpoint", target_.endpoint_.text()},
        {"config", routes_ ? std::to_string(routes_->version().value()) : "0"},
        {"config-age-ms", std::to_string(toMilliseconds(gateway_.unconfirmedFor()))},
        {"endpoints-age-ms", std::to_string(toMilliseconds(viewAge_))},
        {"events", std::to_string(events_)},
        {"sends", std::to_string(sends_)},
        {"may-have-run", std::to_string(mayHaveRun_)},
        {"first-ms", std::to_string(toMilliseconds(firstAfter_))},
        {"longest-pause-ms", std::to_string(toMilliseconds(longestPause_))},
        {"prompt", std::to_string(head_.promptTokens_)},
        {"most-answer", std::to_string(head_.mostAnswerTokens_)},
        {"likely-answer", std::to_string(head_.likelyAnswerTokens_)},
        {"elapsed-ms", std::to_string(toMilliseconds(elapsed))}};
    if (target_.skippedInCooldown_ > 0)
        details.push_back({"passed-over", std::to_string(target_.skippedInCooldown_)});
    if (retryAfter_ && outcome == "refused")
        details.push_back({"come-back-ms", std::to_string(toMilliseconds(*retryAfter_))});
    if (limit_)
        appendLimit(details, *limit_, attemptAt_, isReserved_);
    log::write(log::Level::Info, event::requestFinished, details);
    gateway_.release(*this);
}

} // namespace cardamombay::serving
