#include "support/caller.hpp"

#include <cardamombay/load/call_outcome.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <utility>

namespace cardamombay::support {

namespace json = boost::json;

namespace {

constexpr std::string_view endMarker = "[DONE]";

json::object parseObject(const std::string &text)
{
    json::error_code error;
    const auto value = json::parse(text, error);
    return !error && value.is_object() ? value.as_object() : json::object{};
}

std::string textAt(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : "";
}

/// Text of the first choice: "text", "delta.content" or "message.content".
std::string choiceText(const json::object &body)
{
    const auto *choices = body.if_contains("choices");
    if (!choices || !choices->is_array() || choices->as_array().empty())
        return "";
    const auto *choice = choices->as_array()[0].if_object();
    if (!choice)
        return "";
    for (const char *part : {"delta", "message"}) {
        const auto *holder = choice->if_contains(part);
        if (holder && holder->is_object())
            return textAt(holder->as_object(), "content");
    }
    return textAt(*choice, "text");
}

void readEvents(CompletionAnswer &answer)
{
    for (const auto &event : load::eventsOf(answer.result_.body_)) {
        if (event == endMarker) {
            answer.hasEnd_ = answer.result_.isWhole_;
            continue;
        }
        const std::string text = choiceText(parseObject(event));
        if (text.empty())
            continue;
        answer.text_ += text;
        ++answer.tokens_;
    }
}

void readBody(CompletionAnswer &answer)
{
    const auto body = parseObject(answer.result_.body_);
    answer.text_ = choiceText(body);
    answer.hasEnd_ = answer.result_.isWhole_ && body.contains("choices");
    const auto *usage = body.if_contains("usage");
    if (!usage || !usage->is_object())
        return;
    const auto *tokens = usage->as_object().if_contains("completion_tokens");
    if (tokens && tokens->is_int64())
        answer.tokens_ = static_cast<std::uint32_t>(tokens->as_int64());
}

} // namespace

load::CallResult Caller::send(load::Call call)
{
    if (call.address_.port_ == 0)
        call.address_ = entry_;
    boost::asio::io_context context(1);
    load::HttpCaller caller(context);
    load::CallResult received;
    caller.send(std::move(call), [&](load::CallResult result) { received = std::move(result); });
    context.run();
    return received;
}

load::CallResult Caller::fetch(std::string target)
{
    load::Call call;
    call.method_ = "GET";
    call.target_ = std::move(target);
    call.timeout_ = timeout_;
    return send(std::move(call));
}

load::CallResult Caller::post(std::string target, std::string body,
                              std::vector<net::HttpField> fields)
{
    load::Call call;
    call.target_ = std::move(target);
    call.body_ = std::move(body);
    call.fields_ = std::move(fields);
    call.fields_.push_back({"Content-Type", "application/json"});
    call.timeout_ = timeout_;
    return send(std::move(call));
}

CompletionAnswer Caller::complete(const CompletionCall &call)
{
    auto request = toCall(call);
    request.timeout_ = timeout_;
    return readCompletion(send(std::move(request)), call.isStream_);
}

load::Call toCall(const CompletionCall &call)
{
    json::object body{
        {"model", call.service_}, {"max_tokens", call.tokens_}, {"stream", call.isStream_}};
    if (call.isChat_)
        body["messages"] = json::array{json::object{{"role", "user"}, {"content", call.prompt_}}};
    else
        body["prompt"] = call.prompt_;
    if (call.seed_)
        body["seed"] = *call.seed_;
    if (!call.user_.empty())
        body["user"] = call.user_;
    load::Call request;
    request.target_ = call.isChat_ ? "/v1/chat/completions" : "/v1/completions";
    request.body_ = json::serialize(body);
    request.fields_ = call.fields_;
    request.fields_.push_back({"Content-Type", "application/json"});
    if (!call.team_.empty())
        request.fields_.push_back({"X-Team", call.team_});
    if (!call.idempotencyKey_.empty())
        request.fields_.push_back({"Idempotency-Key", call.idempotencyKey_});
    if (call.isNonIdempotent_)
        request.fields_.push_back({"X-Non-Idempotent", "true"});
    if (call.deadline_)
        request.fields_.push_back({"X-Deadline-Ms", std::to_string(call.deadline_->count())});
    return request;
}

CompletionAnswer readCompletion(load::CallResult result, bool isStream)
{
    CompletionAnswer answer;
    answer.outcome_ = load::statedOutcome(result);
    answer.result_ = std::move(result);
    if (answer.result_.status_ != 200)
        return answer;
    if (isStream)
        readEvents(answer);
    else
        readBody(answer);
    return answer;
}

} // namespace cardamombay::support
