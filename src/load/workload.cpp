#include <cardamombay/load/workload.hpp>

#include "config/toml_reader.hpp"

#include <cardamombay/config/text_file.hpp>

#include <charconv>
#include <optional>

namespace cardamombay::load {

namespace {

using config::impl::Problems;
using config::impl::Range;
using config::impl::TableReader;

constexpr Range<double> shareRange{0, 1e6};
constexpr Range<double> rateRange{0, 5000};
constexpr Range<std::uint32_t> requestsRange{1, 1'000'000};
constexpr Range<std::uint32_t> inFlightRange{1, 20'000};
constexpr Range<std::uint32_t> seedRange{0, 0xffffffffU};
constexpr Range<std::uint32_t> wordsRange{0, 100'000};
constexpr Range<std::uint32_t> tokensRange{1, 100'000};
constexpr Range<std::uint32_t> bytesRange{0, 16U * 1024 * 1024};
constexpr Range<std::uint32_t> prefixesRange{1, 10'000};
constexpr Range<Duration> durationRange{std::chrono::seconds(1), std::chrono::hours(1)};
constexpr Range<Duration> deadlineRange{std::chrono::milliseconds(1), std::chrono::hours(1)};

std::optional<int> twoDigits(std::string_view text)
{
    int value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isNumber
        = text.size() == 2 && read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isNumber ? std::optional(value) : std::nullopt;
}

/// Reads "HH:MM" from 00:00 to 24:00.
std::optional<Duration> timeOfDay(std::string_view text)
{
    if (text.size() != 5 || text[2] != ':')
        return std::nullopt;
    const auto hours = twoDigits(text.substr(0, 2));
    const auto minutes = twoDigits(text.substr(3));
    if (!hours || !minutes || *hours < 0 || *minutes < 0 || *minutes > 59)
        return std::nullopt;
    const Duration time = std::chrono::hours(*hours) + std::chrono::minutes(*minutes);
    return time <= std::chrono::hours(24) ? std::optional(time) : std::nullopt;
}

void readSize(TableReader &reader, std::string_view key, SizeRange &target,
              Range<std::uint32_t> range)
{
    const auto *table = reader.table(key);
    if (!table)
        return;
    auto bounds = reader.child(*table, key);
    bounds.require("least", "give the least and the most");
    bounds.require("most", "give the least and the most");
    bounds.read("least", target.least_, range);
    bounds.read("most", target.most_, range);
    if (target.least_ > target.most_)
        bounds.report("most", "it is below the least", "exchange the two");
    bounds.finish();
}

void readProfile(TableReader &root, Workload &workload)
{
    root.require("profile", "add two or more [[profile]] with at and rate");
    for (const auto *table : root.tables("profile")) {
        auto reader = root.child(*table, "profile");
        reader.require("at", "give the time of the day, such as \"05:30\"");
        reader.require("rate", "give requests a second");
        ProfilePoint point;
        std::string at = "00:00";
        reader.read("at", at);
        reader.read("rate", point.rate_, rateRange);
        const auto time = timeOfDay(at);
        point.at_ = time.value_or(Duration::zero());
        if (!time)
            reader.report("at", "it is no time of the day", "write it as \"05:30\"");
        else if (!workload.profile_.empty() && workload.profile_.back().at_ >= point.at_)
            reader.report("at", "it does not rise", "order the points by time");
        reader.finish();
        workload.profile_.push_back(point);
    }
    if (root.has("profile") && workload.profile_.size() < 2)
        root.report("profile", "it needs two points", "add [[profile]] with at and rate");
}

void readTeams(TableReader &root, Workload &workload)
{
    root.require("teams", "add a [[teams]] with name");
    for (const auto *table : root.tables("teams")) {
        auto reader = root.child(*table, "teams");
        reader.require("name", "name the team as in the configuration");
        WorkloadTeam team;
        reader.read("name", team.name_);
        reader.read("token", team.token_);
        reader.read("share", team.share_, shareRange);
        reader.finish();
        workload.teams_.push_back(std::move(team));
    }
}

RequestKind kindOf(std::string_view name)
{
    if (name == "chat")
        return RequestKind::Chat;
    return name == "plain" ? RequestKind::Plain : RequestKind::Completion;
}

void readModelRequest(TableReader &reader, RequestClass &request)
{
    reader.require("service", "name the service that the request is for");
    reader.read("service", request.service_);
    reader.read("stream", request.isStream_);
    reader.read("prefixes", request.prefixes_, prefixesRange);
    reader.read("prefix_words", request.prefixWords_, wordsRange);
    readSize(reader, "prompt_words", request.promptWords_, wordsRange);
    readSize(reader, "tokens", request.tokens_, tokensRange);
}

void readPlainRequest(TableReader &reader, RequestClass &request)
{
    request.isStream_ = false;
    reader.require("path", "give the path of the call");
    reader.read("method", request.method_);
    reader.read("path", request.path_);
    readSize(reader, "body_bytes", request.bodyBytes_, bytesRange);
}

RequestClass readRequest(TableReader reader)
{
    RequestClass request;
    std::string kind = "completion";
    reader.require("name", "give the kind of request a name for the report");
    reader.read("name", request.name_);
    reader.readChoice("kind", kind, {"completion", "chat", "plain"});
    request.kind_ = kindOf(kind);
    reader.read("share", request.share_, shareRange);
    reader.read("non_idempotent", request.isNonIdempotent_);
    reader.read("keyed", request.isKeyed_);
    reader.read("deadline", request.deadline_, deadlineRange);
    if (request.kind_ == RequestKind::Plain)
        readPlainRequest(reader, request);
    else
        readModelRequest(reader, request);
    reader.finish();
    return request;
}

/// Reports a list whose shares add up to nothing, from which none could be drawn.
template<typename Item>
void checkShares(TableReader &root, const char *key, const std::vector<Item> &items)
{
    double sum = 0;
    for (const auto &item : items)
        sum += item.share_;
    if (root.has(key) && sum <= 0)
        root.report(key, "the shares add up to nothing", "give one of them a share above 0");
}

Workload readAll(TableReader root)
{
    Workload workload;
    root.require("name", "give the workload a name for the report");
    root.read("name", workload.name_);
    std::uint32_t seed = 1;
    root.read("seed", seed, seedRange);
    workload.seed_ = seed;
    root.read("duration", workload.duration_, durationRange);
    root.read("max_requests", workload.maxRequests_, requestsRange);
    root.read("max_in_flight", workload.maxInFlight_, inFlightRange);
    root.read("timeout", workload.timeout_, durationRange);
    readProfile(root, workload);
    readTeams(root, workload);
    root.require("requests", "add a [[requests]] with name");
    for (const auto *table : root.tables("requests"))
        workload.requests_.push_back(readRequest(root.child(*table, "requests")));
    checkShares(root, "teams", workload.teams_);
    checkShares(root, "requests", workload.requests_);
    root.finish();
    return workload;
}

} // namespace

Result<Workload> parseWorkload(std::string_view text, const std::string &file)
{
    Problems problems;
    Workload workload;
    if (const auto document = config::impl::parseToml(text, file, problems))
        workload = readAll(TableReader(*document, "", file, problems));
    if (!problems.isEmpty())
        return Error(problems.sorted().front());
    return workload;
}

Result<Workload> loadWorkload(const std::string &file)
{
    const auto text = config::readTextFile(file);
    if (!isOk(text))
        return errorOf(text);
    return parseWorkload(valueOf(text), file);
}

} // namespace cardamombay::load
