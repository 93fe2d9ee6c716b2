#include "support/engine_completion.hpp"

#include <cardamombay/core/hash.hpp>

namespace cardamombay::support {

namespace beast = boost::beast;
namespace json = boost::json;

std::string textOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : "";
}

std::int64_t numberOf(const json::object &object, std::string_view key, std::int64_t fallback)
{
    const auto *value = object.if_contains(key);
    json::error_code error;
    if (!value)
        return fallback;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? fallback : number;
}

namespace {

constexpr std::uint32_t defaultTokens = 16;

std::string promptOf(const json::object &body)
{
    const auto *messages = body.if_contains("messages");
    if (!messages || !messages->is_array())
        return textOf(body, "prompt");
    std::string prompt;
    for (const auto &message : messages->as_array()) {
        if (!prompt.empty())
            prompt += '\n';
        prompt += message.is_object() ? textOf(message.as_object(), "content") : "";
    }
    return prompt;
}

std::uint32_t resumePoint(const json::object &body)
{
    const auto *resume = body.if_contains("resume_from");
    if (!resume || !resume->is_object())
        return 0;
    return static_cast<std::uint32_t>(numberOf(resume->as_object(), "tokens", 0));
}

} // namespace

void EngineCompletion::read(const StandinRequest &request, const json::object &body)
{
    isChat_ = request.target().find("/chat/") != beast::string_view::npos;
    const auto *wanted = body.if_contains("stream");
    isStream_ = wanted && wanted->is_bool() && wanted->as_bool();
    input_.prompt_ = promptOf(body);
    input_.seed_ = static_cast<std::uint64_t>(numberOf(body, "seed", 0));
    priority_ = numberOf(body, "priority", 0);
    last_ = static_cast<std::uint32_t>(numberOf(body, "max_tokens", defaultTokens));
    run_ = std::make_shared<EngineRun>();
    run_->attempt_ = headerOf(request, attemptHeader);
    run_->bodyHash_ = std::to_string(stableHash(request.body()));
    run_->idempotencyKey_ = headerOf(request, "Idempotency-Key");
    run_->user_ = textOf(body, "user");
    run_->firstToken_ = resumePoint(body);
    shownAttempt_ = run_->attempt_;
}

std::string EngineCompletion::event(std::uint32_t index) const
{
    const std::string text = tokenText(input_, index);
    json::object choice{{"index", 0}};
    if (isChat_)
        choice["delta"] = json::object{{"content", text}};
    else
        choice["text"] = text;
    choice["finish_reason"] = nullptr;
    if (index + 1 >= last_)
        choice["finish_reason"] = "length";
    json::object event;
    if (!shownAttempt_.empty())
        event["id"] = shownAttempt_;
    event["index"] = index;
    event["choices"] = json::array{choice};
    return "data: " + json::serialize(event) + "\n\n";
}

std::string EngineCompletion::whole() const
{
    const std::string text = completionText(input_, run_->firstToken_, last_);
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (isChat_)
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    json::object body{{"object", isChat_ ? "chat.completion" : "text_completion"},
                      {"model", input_.model_},
                      {"choices", json::array{choice}},
                      {"usage", {{"completion_tokens", run_->tokens_}}}};
    if (!shownAttempt_.empty())
        body["id"] = shownAttempt_;
    return json::serialize(body);
}

StandinResponse EngineCompletion::head() const
{
    StandinResponse response = jsonResponse(200, "");
    if (!shownAttempt_.empty())
        response.set("X-Attempt-Id", shownAttempt_);
    return response;
}

std::string tokenText(const CompletionInput &input, std::uint32_t index)
{
    const std::string key = input.model_ + '\n' + input.modelVersion_ + '\n' + input.prompt_;
    const auto hash = stableHash(key, stableHash(std::to_string(index), input.seed_));
    return " t" + std::to_string(index) + "-" + std::to_string(hash % 10000);
}

std::string completionText(const CompletionInput &input, std::uint32_t first, std::uint32_t count)
{
    std::string text;
    for (std::uint32_t index = first; index < count; ++index)
        text += tokenText(input, index);
    return text;
}

} // namespace cardamombay::support
