#include "support/caller_crowd.hpp"

#include "support/engine_standin.hpp"

#include <cardamombay/load/call_outcome.hpp>

#include <boost/json.hpp>

#include <map>

namespace cardamombay::support {

namespace json = boost::json;

namespace {

constexpr std::uint32_t leastTokens = 8;
constexpr std::uint32_t tokenSpread = 56;
constexpr const char *team = "red";

/// The echoed body in a plain stand-in's answer.
std::string echoOf(const std::string &body)
{
    json::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return body;
    const auto *echo = value.as_object().if_contains("echo");
    return echo && echo->is_string() ? std::string(echo->as_string()) : body;
}

CallRecord toldOf(const load::CallResult &result, std::string mark)
{
    CallRecord told;
    told.callId_ = std::move(mark);
    told.status_ = result.status_;
    told.outcome_ = load::statedOutcome(result);
    told.isWhole_ = result.isWhole_;
    return told;
}

} // namespace

CallerCrowd::CallerCrowd(const Fleet &fleet, std::uint64_t seed, std::uint32_t callers,
                         CrowdMix mix)
    : fleet_(fleet)
    , mix_(mix)
{
    for (std::uint32_t i = 0; i < callers; ++i)
        threads_.emplace_back([this, seed, i] { run(seed, i); });
}

CallerCrowd::~CallerCrowd()
{
    stop();
}

std::vector<CallRecord> CallerCrowd::stop()
{
    isStopping_ = true;
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
    return told_;
}

Caller CallerCrowd::pickEntry(Random &random) const
{
    return fleet_.caller(random.below(fleet_.entryCount()));
}

void CallerCrowd::run(std::uint64_t seed, std::uint32_t caller)
{
    Random random(seed * 1000 + caller);
    for (std::uint32_t number = 0; !isStopping_; ++number) {
        const std::string mark = "c" + std::to_string(caller) + "-" + std::to_string(number);
        double drawn = random.unit();
        const auto isDrawn = [&drawn](double share) { return (drawn -= share) < 0; };
        if (isDrawn(mix_.streams_))
            complete(random, mark, true, false);
        else if (isDrawn(mix_.whole_))
            complete(random, mark, false, false);
        else if (isDrawn(mix_.markedStreams_))
            complete(random, mark, true, true);
        else
            book(random, mark, isDrawn(mix_.keyedBookings_));
    }
}

void CallerCrowd::complete(Random &random, const std::string &mark, bool isStream, bool isMarked)
{
    CompletionCall call;
    call.service_ = "lm";
    call.team_ = team;
    call.prompt_ = "prompt of " + mark;
    call.user_ = mark;
    call.seed_ = random.below(1000);
    call.tokens_ = leastTokens + static_cast<std::uint32_t>(random.below(tokenSpread));
    call.isStream_ = isStream;
    call.isNonIdempotent_ = isMarked;
    const auto answer = pickEntry(random).complete(call);
    CallRecord told = toldOf(answer.result_, mark);
    told.isNonIdempotent_ = isMarked;
    told.hasEnd_ = answer.hasEnd_;
    told.hasErrorEvent_ = answer.result_.body_.find("event: error") != std::string::npos;
    told.text_ = answer.text_;
    told.expected_ = completionText({"m", "1", call.prompt_, *call.seed_}, 0, call.tokens_);
    note(std::move(told));
}

void CallerCrowd::book(Random &random, const std::string &mark, bool isKeyed)
{
    load::Call call;
    call.target_ = "/app/bookings";
    call.body_ = mark;
    call.fields_ = {{"X-Team", team}, {"Content-Type", "text/plain"}};
    if (isKeyed)
        call.fields_.push_back({"Idempotency-Key", "key-" + mark});
    const std::uint32_t tries = isKeyed ? mix_.bookingTries_ : 1;
    CallRecord told;
    for (std::uint32_t i = 0; i < tries && told.status_ != 200; ++i) {
        const std::string before = told.outcome_;
        const auto result = pickEntry(random).send(call);
        told = toldOf(result, mark);
        // Not-run of the whole request only if every try said so.
        if (i > 0 && before != "not-run" && told.outcome_ == "not-run")
            told.outcome_ = "unknown";
        told.hasEnd_ = result.isWhole_;
        told.text_ = result.status_ == 200 ? echoOf(result.body_) : "";
    }
    told.isNonIdempotent_ = true;
    told.idempotencyKey_ = isKeyed ? "key-" + mark : "";
    told.expected_ = mark;
    note(std::move(told));
}

void CallerCrowd::note(CallRecord told)
{
    if (told.status_ == 200 && told.isWhole_ && told.hasEnd_)
        ++successes_;
    const std::lock_guard lock(mutex_);
    told_.push_back(std::move(told));
}

std::string summarize(std::span<const CallRecord> told)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto &record : told) {
        std::string name = std::to_string(record.status_);
        name += record.outcome_.empty() ? "" : " " + record.outcome_;
        name += record.status_ == 200 && !(record.isWhole_ && record.hasEnd_) ? " broken" : "";
        ++counts[name];
    }
    std::string text = std::to_string(told.size()) + " calls:";
    for (const auto &[name, count] : counts)
        text += " [" + name + "]=" + std::to_string(count);
    return text;
}

} // namespace cardamombay::support
