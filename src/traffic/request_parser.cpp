#include <cardamombay/traffic/request_parser.hpp>

#include <cardamombay/routing/prefix_hashes.hpp>
#include <traffic/team_lookup.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace cardamombay::traffic {

namespace {

namespace json = boost::json;

constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::size_t longestKey = 256;
constexpr std::uint64_t highestPriority = 1000;

/// Fields that concern one connection, or that the entry VM sets itself.
constexpr std::array<std::string_view, 18> ownFields{"authorization",
                                                     "connection",
                                                     "content-length",
                                                     "expect",
                                                     "host",
                                                     "keep-alive",
                                                     "proxy-authorization",
                                                     "te",
                                                     "trailer",
                                                     "transfer-encoding",
                                                     "upgrade",
                                                     "traceparent",
                                                     "x-attempt-id",
                                                     "x-deadline-ms",
                                                     "x-generation",
                                                     "x-group",
                                                     "x-request-id",
                                                     "x-team"};

Problem badRequest(std::string detail, std::string remedy)
{
    Problem problem;
    problem.status_ = 400;
    problem.type_ = "bad-request";
    problem.title_ = "The request cannot be understood";
    problem.detail_ = std::move(detail);
    problem.remedy_ = std::move(remedy);
    return problem;
}

Problem unknownService(std::string detail)
{
    Problem problem;
    problem.status_ = 404;
    problem.type_ = "unknown-service";
    problem.title_ = "There is no such service";
    problem.detail_ = std::move(detail);
    problem.remedy_
        = "check the name for spelling; 'cardamombayctl config show' lists the services";
    return problem;
}

Problem wrongMethod()
{
    Problem problem;
    problem.status_ = 405;
    problem.type_ = "wrong-method";
    problem.title_ = "Completions are asked for by POST";
    problem.detail_ = "the path takes POST only";
    problem.remedy_ = "send the request by POST with a JSON body";
    return problem;
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return result;
}

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

void appendText(std::string &text, const json::value &value)
{
    if (const auto *part = value.if_string())
        text.append(part->data(), part->size());
    else if (!value.is_null())
        text += json::serialize(value);
}

/// The text that the engine will prefill, near enough to compare beginnings.
std::string promptOf(const json::object &body)
{
    std::string text;
    if (const auto *prompt = body.if_contains("prompt"))
        appendText(text, *prompt);
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return text;
    for (const auto &message : messages->get_array()) {
        const auto *fields = message.if_object();
        if (fields == nullptr)
            continue;
        for (const auto *name : {"role", "content"}) {
            if (const auto *value = fields->if_contains(name))
                appendText(text, *value);
            text += '\n';
        }
    }
    return text;
}

/// Fills one request step by step; each step gives the problem that stops it, if any.
class Parser
{
public:
    Parser(net::ServerRequest &source, const config::Configuration &configuration, TimePoint now)
        : source_(source)
        , configuration_(configuration)
        , now_(now)
    {
    }

    std::optional<Problem> run(ParsedRequest &request);

private:
    std::optional<Problem> findService(ParsedRequest &request);
    std::optional<Problem> readCompletion(ParsedRequest &request);
    std::optional<Problem> readMembers(const json::object &body, ParsedRequest &request);
    std::optional<Problem> findPlainService(ParsedRequest &request);
    std::optional<Problem> readMarks(ParsedRequest &request);
    std::optional<Problem> readDeadline(ParsedRequest &request);
    std::optional<Problem> readPriority(ParsedRequest &request);
    void copyFields(ParsedRequest &request);

    net::ServerRequest &source_;
    const config::Configuration &configuration_;
    TimePoint now_;
    const config::Service *service_ = nullptr;
};

std::optional<Problem> Parser::run(ParsedRequest &request)
{
    request.method_ = source_.method_;
    request.target_ = source_.target_;
    request.traceparent_ = std::string(source_.field("traceparent"));
    auto team = impl::findTeam(source_, configuration_);
    if (auto *problem = std::get_if<Problem>(&team))
        return std::move(*problem);
    request.team_ = std::get<TeamName>(std::move(team));
    if (auto problem = findService(request))
        return problem;
    if (auto problem = readMarks(request))
        return problem;
    if (auto problem = readDeadline(request))
        return problem;
    if (auto problem = readPriority(request))
        return problem;
    copyFields(request);
    request.body_ = std::move(source_.body_);
    return std::nullopt;
}

std::optional<Problem> Parser::findService(ParsedRequest &request)
{
    const auto path = pathOf(source_.target_);
    const bool isCompletion = path == completionsPath || path == chatPath;
    auto problem = isCompletion ? readCompletion(request) : findPlainService(request);
    if (problem)
        return problem;
    request.service_ = service_->name_;
    request.kind_ = service_->kind_;
    return std::nullopt;
}

std::optional<Problem> Parser::readCompletion(ParsedRequest &request)
{
    if (source_.method_ != "POST")
        return wrongMethod();
    json::error_code error;
    const auto body = json::parse(source_.body_, error);
    if (error)
        return badRequest("the body is not JSON: " + error.message(), "send a JSON object");
    if (!body.is_object())
        return badRequest("the body is not a JSON object", "send a JSON object");
    return readMembers(body.get_object(), request);
}

std::optional<Problem> Parser::readMembers(const json::object &body, ParsedRequest &request)
{
    const auto *model = body.if_contains("model");
    if (model == nullptr || !model->is_string())
        return badRequest("member 'model' is not a text", "name the service in 'model'");
    const std::string name(model->get_string().data(), model->get_string().size());
    service_ = configuration_.service(ServiceName(name));
    if (service_ == nullptr || service_->kind_ != config::ServiceKind::Model)
        return unknownService("there is no model service '" + name + "'");
    if (const auto *stream = body.if_contains("stream")) {
        if (!stream->is_bool())
            return badRequest("member 'stream' is not true or false", "send true or false");
        request.isStream_ = stream->get_bool();
    }
    if (body.contains("resume_from"))
        return badRequest("member 'resume_from' is reserved", "leave it out");
    const auto *seed = body.if_contains("seed");
    request.hasSeed_ = seed != nullptr && !seed->is_null();
    request.prefixHashes_ = routing::prefixHashes(promptOf(body));
    return std::nullopt;
}

std::optional<Problem> Parser::findPlainService(ParsedRequest &request)
{
    const auto path = pathOf(request.target_);
    for (const auto &service : configuration_.services_) {
        const bool isMatch = service.kind_ == config::ServiceKind::Plain
                             && !service.pathPrefix_.empty()
                             && path.starts_with(service.pathPrefix_);
        const bool isLonger
            = service_ == nullptr || service.pathPrefix_.size() > service_->pathPrefix_.size();
        if (isMatch && isLonger)
            service_ = &service;
    }
    if (service_ == nullptr)
        return unknownService("no service has the path '" + std::string(path) + "'");
    return std::nullopt;
}

std::optional<Problem> Parser::readMarks(ParsedRequest &request)
{
    const auto path = pathOf(request.target_);
    request.isIdempotent_ = service_->isIdempotent_;
    std::size_t longest = 0;
    for (const auto &rule : service_->routes_) {
        const bool isMethod = rule.method_.empty() || rule.method_ == request.method_;
        if (!isMethod || !path.starts_with(rule.path_) || rule.path_.size() < longest)
            continue;
        longest = rule.path_.size();
        request.isIdempotent_ = rule.isIdempotent_;
    }
    const auto mark = lowered(source_.field("X-Non-Idempotent"));
    if (!mark.empty() && mark != "true" && mark != "false")
        return badRequest("X-Non-Idempotent is neither true nor false",
                          "send true or leave it out");
    if (mark == "true")
        request.isIdempotent_ = false;
    const auto key = source_.field("Idempotency-Key");
    if (key.size() > longestKey)
        return badRequest("Idempotency-Key is longer than 256 bytes", "send a shorter key");
    request.key_ = IdempotencyKey(key);
    return std::nullopt;
}

std::optional<Problem> Parser::readDeadline(ParsedRequest &request)
{
    request.deadline_ = now_ + service_->requestTimeout_;
    const auto text = source_.field("X-Deadline-Ms");
    if (text.empty())
        return std::nullopt;
    const auto number = numberOf(text);
    if (!number || *number == 0)
        return badRequest("X-Deadline-Ms is not a whole number above zero",
                          "send the milliseconds that the answer may take");
    const auto longest = static_cast<std::uint64_t>(toMilliseconds(service_->requestTimeout_));
    if (*number < longest)
        request.deadline_ = now_ + std::chrono::milliseconds(*number);
    return std::nullopt;
}

std::optional<Problem> Parser::readPriority(ParsedRequest &request)
{
    const auto text = source_.field("X-Priority");
    if (text.empty())
        return std::nullopt;
    const auto number = numberOf(text);
    if (!number || *number > highestPriority)
        return badRequest("X-Priority is not a whole number from 0 to 1000",
                          "send a number from 0 to 1000, higher goes first; 100 is the default");
    request.priority_ = static_cast<std::uint32_t>(*number);
    return std::nullopt;
}

void Parser::copyFields(ParsedRequest &request)
{
    for (auto &field : source_.fields_) {
        const auto name = lowered(field.name_);
        if (std::find(ownFields.begin(), ownFields.end(), name) == ownFields.end())
            request.forwarded_.push_back(std::move(field));
    }
    request.forwarded_.push_back({"X-Team", request.team_.text()});
}

} // namespace

ParseResult parseRequest(net::ServerRequest request, RequestId id,
                         const config::Configuration &configuration, TimePoint now)
{
    ParsedRequest parsed;
    parsed.id_ = std::move(id);
    Parser parser(request, configuration, now);
    if (auto problem = parser.run(parsed))
        return std::move(*problem);
    return parsed;
}

} // namespace cardamombay::traffic
